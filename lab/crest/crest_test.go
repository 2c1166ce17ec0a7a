package crest

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func workload(name string) Workload {
	for _, w := range Workloads() {
		if w.Name == name {
			return w
		}
	}
	panic(name)
}

var deployments = []string{"midlands", "finistere"}

func TestTopClassAtTheCrest(t *testing.T) {
	for _, d := range deployments {
		for _, load := range []string{"1.0", "1.5", "3.0"} {
			t.Run(d+" "+load, func(t *testing.T) {
				w := workload(d + " " + load + ", 1% long")
				core := Run(w, PolicyCore)
				qt.Assert(t, core.Classes[ClassDeposits].Goodput() >= 0.999, qt.IsTrue, qt.Commentf("%v", core.Classes[ClassDeposits].Goodput()))
				// The bottom class is never left without a start for longer than its ageing.
				qt.Assert(t, core.Classes[ClassArchive].MaxGap <= ageing[ClassArchive], qt.IsTrue, qt.Commentf("%s", core.Classes[ClassArchive].MaxGap))
				qt.Assert(t, core.FalseNotRun, qt.Equals, 0)
				for _, p := range Policies()[:5] {
					base := Run(w, p)
					qt.Assert(t, core.Classes[ClassDeposits].Goodput() >= base.Classes[ClassDeposits].Goodput(), qt.IsTrue, qt.Commentf("%s", p))
				}
			})
		}
	}
}

func TestShortWorkBesideLongWork(t *testing.T) {
	for _, d := range deployments {
		t.Run(d, func(t *testing.T) {
			without := Run(workload(d+" 0.85, no long"), PolicyCore).ShortP99()
			w := workload(d + " 0.85, 1% long")
			with := Run(w, PolicyCore).ShortP99()
			qt.Assert(t, float64(with) <= 1.3*float64(without), qt.IsTrue, qt.Commentf("%s with long work, %s without", with, without))
			for _, p := range Policies()[:5] {
				qt.Assert(t, with < Run(w, p).ShortP99(), qt.IsTrue, qt.Commentf("%s", p))
			}
		})
	}
}

func TestSameSeedSameResult(t *testing.T) {
	w := workload("midlands 1.5, 1% long")
	a, b := Run(w, PolicyCore), Run(w, PolicyCore)
	qt.Assert(t, a.ShortP99(), qt.Equals, b.ShortP99())
	qt.Assert(t, a.Classes[ClassPages].Good, qt.Equals, b.Classes[ClassPages].Good)
}

func TestWorkloadLoad(t *testing.T) {
	w := Workload{Targets: 8, Rest: 0.15, Load: 1.5}
	qt.Assert(t, w.loadAt(0), qt.Equals, 0.15)
	qt.Assert(t, w.loadAt(restTime+rampTime+time.Second), qt.Equals, 1.5)
}
