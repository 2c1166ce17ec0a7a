package reachability_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/reachability"
)

// A step is an event at a time.
type step struct {
	at time.Duration
	do func(t *reachability.Tracker, now time.Time)
}

func failed(at time.Duration, targets ...string) step {
	return step{at, func(t *reachability.Tracker, _ time.Time) {
		for _, target := range targets {
			t.Failed(target)
		}
	}}
}

func dialFailed(at time.Duration, targets ...string) step {
	return step{at, func(t *reachability.Tracker, _ time.Time) {
		for _, target := range targets {
			t.DialFailed(target)
		}
	}}
}

func sent(at time.Duration, targets ...string) step {
	return step{at, func(t *reachability.Tracker, now time.Time) {
		for _, target := range targets {
			t.Sent(now, target)
		}
	}}
}

func finished(at time.Duration, target string) step {
	return step{at: at, do: func(t *reachability.Tracker, _ time.Time) { t.Ended(target) }}
}

func responded(at time.Duration) step {
	return step{at: at, do: func(t *reachability.Tracker, now time.Time) { t.Responded(now) }}
}

func opened(at time.Duration) step {
	return step{at: at, do: func(t *reachability.Tracker, _ time.Time) { t.Opened() }}
}

// round makes the due probes and records their results after a time.
func round(at, took time.Duration, succeeded, failed int) step {
	return step{at: at, do: func(t *reachability.Tracker, now time.Time) {
		t.ProbesDue(now)
		t.RecordProbes(now.Add(took), succeeded, 0, failed)
	}}
}

// closedRound makes the due probes, four connections of which are closed at once, and records that 22 ms later.
func closedRound(at time.Duration) step {
	return step{at: at, do: func(t *reachability.Tracker, now time.Time) {
		t.ProbesDue(now)
		t.RecordProbes(now.Add(22*time.Millisecond), 0, 4, 0)
	}}
}

// started makes the due probes, whose results are outstanding.
func started(at time.Duration) step {
	return step{at: at, do: func(t *reachability.Tracker, now time.Time) { t.ProbesDue(now) }}
}

// The number of probes that are due, and whether the host is cut off, follow from what the
// results of its requests and probes.
func TestRules(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name    string
		targets int
		steps   []step
		at      time.Duration
		due     int
		cutOff  bool
	}{
		{"nothing has happened", 9, nil, time.Hour, 0, false},
		{"failures at one target", 9, []step{failed(0, "a", "a", "a")}, 0, 0, false},
		{"failures at two targets", 9, []step{failed(0, "a", "b")}, 0, 4, false},
		{"failures at two targets, with a response between", 9, []step{failed(0, "a"), responded(1 * ms), failed(2*ms, "b")}, 2 * ms, 0, false},
		{"failure at the only target", 1, []step{failed(0, "a")}, 0, 1, false},
		{"failure at one of two targets", 2, []step{failed(0, "a")}, 0, 0, false},
		{"no target is known", 0, []step{failed(0, "a", "b")}, 0, 0, false},
		{"failed dials, with a response between", 9, []step{dialFailed(0, "a"), responded(1 * ms), dialFailed(2*ms, "b")}, 2 * ms, 4, false},
		{"failed dials, with an opened connection between", 9, []step{dialFailed(0, "a"), opened(1 * ms), responded(1 * ms), dialFailed(2*ms, "b")}, 2 * ms, 0, false},
		{"two targets are silent, not for long", 9, []step{sent(0, "a", "b")}, 499 * ms, 0, false},
		{"two targets are silent", 9, []step{sent(0, "a", "b")}, 500 * ms, 4, false},
		{"two targets are silent, a third responds", 9, []step{sent(0, "a", "b"), responded(400 * ms)}, 899 * ms, 0, false},
		{"two targets are silent after a third responded", 9, []step{sent(0, "a", "b"), responded(400 * ms)}, 900 * ms, 4, false},
		{"one of two targets got its request later", 9, []step{sent(0, "a"), sent(300*ms, "b")}, 799 * ms, 0, false},
		{"one target is silent", 9, []step{sent(0, "a", "a", "a")}, time.Hour, 0, false},
		{"one target is silent after a failure of another", 9, []step{failed(0, "a"), sent(0, "b")}, 500 * ms, 4, false},
		{"one target is silent after a failure of the same", 9, []step{failed(0, "a"), sent(0, "a")}, time.Hour, 0, false},
		{"one of two requests has ended", 9, []step{sent(0, "a", "b"), finished(100*ms, "a")}, time.Hour, 0, false},
		{"one of three requests has ended", 9, []step{sent(0, "a", "a", "b"), finished(100*ms, "a")}, 500 * ms, 4, false},
		{"probes are outstanding", 9, []step{failed(0, "a", "b"), started(0)}, time.Hour, 0, false},
		{"no probe could be made", 9, []step{failed(0, "a", "b"), round(0, 0, 0, 0)}, 999 * ms, 0, false},
		{"no probe could be made, later", 9, []step{failed(0, "a", "b"), round(0, 0, 0, 0)}, 1000 * ms, 4, false},

		{"probes time out after a silence", 9, []step{responded(0), sent(0, "a", "b"), round(500*ms, 300*ms, 0, 4)}, 800 * ms, 0, true},
		{"probes time out after a recent response", 9, []step{responded(0), dialFailed(10*ms, "a", "b"), round(10*ms, 300*ms, 0, 4)}, 310 * ms, 4, false},
		{"probes are refused", 9, []step{failed(0, "a", "b"), round(0, ms, 0, 4)}, ms, 4, false},
		{"probes are refused twice", 9, []step{failed(0, "a", "b"), round(0, ms, 0, 4), round(ms, ms, 0, 4)}, 2 * ms, 0, true},
		{"probes are refused, then one opens", 9, []step{failed(0, "a", "b"), round(0, ms, 0, 4), round(ms, ms, 1, 3)}, 2 * ms, 0, false},
		{"connections are closed at once, others answered", 9, []step{failed(0, "a", "b"), responded(1 * ms), failed(2*ms, "a", "b"), closedRound(2 * ms), closedRound(502 * ms)}, 524 * ms, 4, false},
		{"connections are closed at once, then nothing responds", 9, []step{responded(0), failed(2*ms, "a", "b"), closedRound(2 * ms), closedRound(500 * ms), closedRound(522 * ms)}, 544 * ms, 0, true},
		{"connections are closed at once, answers go on", 9, []step{
			failed(0, "a", "b"), closedRound(0), responded(30 * ms), failed(40*ms, "a", "b"), closedRound(40 * ms), responded(70 * ms),
		}, 80 * ms, 0, false},
		{"host suspended during a round", 9, []step{failed(0, "a", "b"), round(0, 5*time.Second, 0, 4)}, 5 * time.Second, 4, false},
		{"one probe opens", 9, []step{failed(0, "a", "b"), round(0, 300*ms, 1, 3), failed(301*ms, "a", "b")}, 1299 * ms, 0, false},
		{"one probe opens, after the backoff", 9, []step{failed(0, "a", "b"), round(0, 300*ms, 1, 3), failed(301*ms, "a", "b")}, 1300 * ms, 4, false},
		{"backoff doubles", 9, []step{failed(0, "a", "b"), round(0, 0, 4, 0), failed(0, "a", "b"), round(1000*ms, 0, 4, 0), failed(1000*ms, "a", "b")}, 2999 * ms, 0, false},
		{"doubled backoff ends", 9, []step{failed(0, "a", "b"), round(0, 0, 4, 0), failed(0, "a", "b"), round(1000*ms, 0, 4, 0), failed(1000*ms, "a", "b")}, 3000 * ms, 4, false},
		{"many failures and silence end the backoff", 9, []step{
			failed(0, "a", "b"), round(0, 0, 4, 0), failed(0, "a", "b"), round(1000*ms, 0, 4, 0), failed(1000*ms, "a", "b", "c", "d"),
		}, 2000 * ms, 4, false},
		{"many failures and a recent response don't", 9, []step{
			failed(0, "a", "b"), round(0, 0, 4, 0), failed(0, "a", "b"), round(1000*ms, 0, 4, 0), responded(1990 * ms), failed(1990*ms, "a", "b", "c", "d"),
		}, 2000 * ms, 0, false},

		{"cut off, before the next probe", 9, []step{failed(0, "a", "b"), round(0, 0, 0, 4), round(0, 0, 0, 4)}, 499 * ms, 0, true},
		{"cut off, next probe", 9, []step{failed(0, "a", "b"), round(0, 0, 0, 4), round(0, 0, 0, 4)}, 500 * ms, 1, true},
		{"cut off, after a probe that failed", 9, []step{failed(0, "a", "b"), round(0, 0, 0, 4), round(0, 0, 0, 4), round(500*ms, 300*ms, 0, 1)}, 1000 * ms, 1, true},
		{"cut off, after a probe that opened", 9, []step{failed(0, "a", "b"), round(0, 0, 0, 4), round(0, 0, 0, 4), round(500*ms, 0, 1, 0)}, 500 * ms, 3, true},
		{"cut off, after a round that failed", 9, []step{failed(0, "a", "b"), round(0, 0, 0, 4), round(0, 0, 0, 4), round(500*ms, 0, 1, 0), round(500*ms, 0, 0, 3)}, 1000 * ms, 1, true},
		{"responses don't end a cut", 9, []step{failed(0, "a", "b"), round(0, 0, 0, 4), round(0, 0, 0, 4), responded(100 * ms)}, 200 * ms, 0, true},
		{"cut has ended", 9, []step{failed(0, "a", "b"), round(0, 0, 0, 4), round(0, 0, 0, 4), round(500*ms, 0, 1, 0), round(500*ms, 0, 1, 2)}, 500 * ms, 0, false},
		{"cut begins again", 9, []step{
			failed(0, "a", "b"), round(0, 0, 0, 4), round(0, 0, 0, 4), round(500*ms, 0, 1, 0), round(500*ms, 0, 1, 2), failed(600*ms, "a", "b"),
		}, 1000 * ms, 4, false},
		{"only target, end of the cut", 1, []step{failed(0, "a"), round(0, 0, 0, 1), round(0, 0, 0, 1), round(500*ms, 0, 1, 0)}, 500 * ms, 1, true},
	}
	for _, test := range tests {
		tracker := reachability.New(reachability.Options{Targets: test.targets})
		for _, s := range test.steps {
			s.do(tracker, origin.Add(s.at))
		}
		comment := qt.Commentf("%s", test.name)
		qt.Check(t, tracker.CutOff(), qt.Equals, test.cutOff, comment)
		qt.Check(t, tracker.ProbesDue(origin.Add(test.at)), qt.Equals, test.due, comment)
	}
}
