package scheduler

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// archiveReads yields times of work as the archives of the users' sheets have
// them: 410 ms in the mean, three in a hundred seven times as long.
func archiveReads(random *rand.Rand) time.Duration {
	const mean, spread, tail, tailFactor = 410.0, 0.3, 0.03, 7.0
	sigma := math.Sqrt(math.Log(1 + spread*spread))
	work := math.Exp(random.NormFloat64()*sigma - sigma*sigma/2)
	if random.Float64() < tail {
		work *= tailFactor
	}
	return time.Duration(work * mean / (1 + tail*(tailFactor-1)) * float64(time.Millisecond))
}

// How long work takes is known through a crest at which requests wait at the
// targets for several times their work. On scale-1 of jalons-arree-grown every owner of
// keys seemed to be at 1.7 to 4 times its slots, and keys moved off all of them.
func TestWorkIsKnownThroughACrest(t *testing.T) {
	speeds := []float64{0.7, 0.7, 1.6}
	const mean = 410 * time.Millisecond
	tests := []struct {
		name  string
		queue float64 // how many requests wait before each one at the crest
	}{
		{"calm", 0}, {"short queues", 1}, {"full queues", 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			random := rand.New(rand.NewPCG(1, 2))
			core := newCore(nil)
			core.SetTargets(start, targets(len(speeds)))
			answer := func(target int, waiting float64) {
				took := archiveReads(random)
				for range int(waiting) {
					took += archiveReads(random)
				}
				r := newRequest(start, 0, time.Second, time.Minute)
				r.target = core.ordered[target]
				core.start(start, r, r.target)
				core.Done(start, r, Result{Outcome: Answered, Took: time.Duration(speeds[target] * float64(took))})
			}
			for i := range 90 { // a host sees some three archive reads a second
				answer(i%len(speeds), 0)
			}
			for i := range 45 {
				answer(i%len(speeds), test.queue)
			}
			t.Logf("%v; the mean seen is %v", core.UnhurriedWork(), core.MeanWork())
			c.Check(core.UnhurriedWork() > mean*7/10, qt.IsTrue, qt.Commentf("%v", core.UnhurriedWork()))
			c.Check(core.UnhurriedWork() < mean*2, qt.IsTrue, qt.Commentf("%v; the mean seen is %v", core.UnhurriedWork(), core.MeanWork()))
		})
	}
}
