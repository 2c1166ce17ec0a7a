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

// The class of highest priority must keep its goodput under overload and do no
// worse than under any baseline, without starving the class of lowest priority.
func TestHighestPriorityAtPeak(t *testing.T) {
	for _, d := range deployments {
		for _, load := range []string{"1.0", "1.5", "3.0"} {
			t.Run(d+" "+load, func(t *testing.T) {
				w := workload(d + " " + load + ", 1% long")
				core := Run(w, PolicyDispatcher)
				qt.Assert(t, core.Classes[ClassDeposits].Goodput() >= 0.999, qt.IsTrue, qt.Commentf("%v", core.Classes[ClassDeposits].Goodput()))
				// Ageing bounds how long the class of lowest priority goes without a start.
				qt.Assert(t, core.Classes[ClassArchive].MaxGap <= classAgeing[ClassArchive], qt.IsTrue, qt.Commentf("%s", core.Classes[ClassArchive].MaxGap))
				qt.Assert(t, core.FalseNotRun, qt.Equals, 0)
				for _, p := range Policies()[:5] {
					reference := Run(w, p)
					qt.Assert(t, core.Classes[ClassDeposits].Goodput() >= reference.Classes[ClassDeposits].Goodput(), qt.IsTrue, qt.Commentf("%s", p))
				}
			})
		}
	}
}

// Long requests must not occupy all slots: the 99th percentile of the latency of
// short requests may rise by at most 30%.
func TestLongRequestsDoNotDelayShortRequests(t *testing.T) {
	for _, d := range deployments {
		t.Run(d, func(t *testing.T) {
			without := Run(workload(d+" 0.85, no long"), PolicyDispatcher).ShortP99()
			w := workload(d + " 0.85, 1% long")
			with := Run(w, PolicyDispatcher).ShortP99()
			qt.Assert(t, float64(with) <= 1.3*float64(without), qt.IsTrue, qt.Commentf("p99 of short requests: %s with long requests, %s without", with, without))
			for _, p := range Policies()[:5] {
				qt.Assert(t, with < Run(w, p).ShortP99(), qt.IsTrue, qt.Commentf("%s", p))
			}
		})
	}
}

func TestSameSeedYieldsSameResult(t *testing.T) {
	w := workload("midlands 1.5, 1% long")
	a, b := Run(w, PolicyDispatcher), Run(w, PolicyDispatcher)
	qt.Assert(t, a.ShortP99(), qt.Equals, b.ShortP99())
	qt.Assert(t, a.Classes[ClassPages].InTime, qt.Equals, b.Classes[ClassPages].InTime)
}

func TestLoadAtBaseAndPeak(t *testing.T) {
	w := Workload{Targets: 8, BaseLoad: 0.15, PeakLoad: 1.5}
	qt.Assert(t, w.loadAt(0), qt.Equals, 0.15)
	qt.Assert(t, w.loadAt(baseTime+rampTime+time.Second), qt.Equals, 1.5)
}
