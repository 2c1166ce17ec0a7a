package scheduler

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// archiveReadTime returns a random processing time of an archive read as specified
// by the users: 410 ms in the mean, and seven times as long in 3 % of the reads.
func archiveReadTime(random *rand.Rand) time.Duration {
	const mean, spread, tail, tailFactor = 410.0, 0.3, 0.03, 7.0
	sigma := math.Sqrt(math.Log(1 + spread*spread))
	work := math.Exp(random.NormFloat64()*sigma - sigma*sigma/2)
	if random.Float64() < tail {
		work *= tailFactor
	}
	return time.Duration(work * mean / (1 + tail*(tailFactor-1)) * float64(time.Millisecond))
}

// The estimate of the processing time holds while requests queue at the targets for
// several times their processing time. If it includes queueing, every owner of keys
// seems overloaded and keys are moved off all of them: in the scale-1 run of
// jalons-arree-grown, the computed load of the owners was 1.7 to 4 times their slots.
func TestProcessingTimeExcludesQueueing(t *testing.T) {
	speeds := []float64{0.7, 0.7, 1.6}
	const mean = 410 * time.Millisecond
	tests := []struct {
		name  string
		queue float64 // requests queued ahead of each request at peak load
	}{
		{"no queues", 0}, {"short queues", 1}, {"full queues", 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			random := rand.New(rand.NewPCG(1, 2))
			sched := newScheduler(nil)
			sched.SetTargets(start, targets(len(speeds)))
			complete := func(target int, ahead float64) {
				took := archiveReadTime(random)
				for range int(ahead) {
					took += archiveReadTime(random)
				}
				r := newRequest(start, 0, time.Second, time.Minute)
				r.target = sched.ordered[target]
				sched.start(start, r, r.target)
				sched.Finish(start, r, Result{Outcome: Answered, ResponseTime: time.Duration(speeds[target] * float64(took))})
			}
			for i := range 90 { // about three archive reads a second on a host, for 30 s
				complete(i%len(speeds), 0)
			}
			for i := range 45 {
				complete(i%len(speeds), test.queue)
			}
			t.Logf("processing time %v, mean response time %v", sched.MeanProcessingTime(), sched.MeanResponseTime())
			c.Check(sched.MeanProcessingTime() > mean*7/10, qt.IsTrue, qt.Commentf("processing time %v", sched.MeanProcessingTime()))
			c.Check(sched.MeanProcessingTime() < mean*2, qt.IsTrue, qt.Commentf("processing time %v, mean response time %v", sched.MeanProcessingTime(), sched.MeanResponseTime()))
		})
	}
}

// Only targets that responded since the last call are reported as slow or fast. A report of
// each of 300 hosts about all of 300 targets took half of a core at the coordinator.
func TestObservedSlownessIsReportedOnce(t *testing.T) {
	c := qt.New(t)
	sched := newScheduler(keyOwners{1: "t1"})
	sched.SetTargets(start, targets(3))
	c.Check(sched.ObservedSlowness(start), qt.HasLen, 0)
	r := newRequest(start, 0, time.Second, time.Minute)
	r.Key, r.Keyed = 1, true
	_, ok := sched.Add(start, r)
	c.Assert(ok, qt.IsTrue)
	_, ok = sched.Next(start)
	c.Assert(ok, qt.IsTrue)
	sched.Finish(start.Add(100*ms), r, Result{Outcome: Answered, ResponseTime: 100 * ms})
	observed := sched.ObservedSlowness(start.Add(100 * ms))
	c.Check(observed, qt.HasLen, 1)
	c.Check(observed["t1"] > 0, qt.IsTrue)
	c.Check(sched.ObservedSlowness(start.Add(200*ms)), qt.HasLen, 0)
}
