package edge

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Callers that begin long bodies and stop must not keep the slots that others wait for.
func TestChooseStreamToEnd(t *testing.T) {
	const short, long, longer = minStreamStall - 1, minStreamStall, 2 * minStreamStall
	tests := []struct {
		name    string
		streams []streamView
		want    int
	}{
		{"none", nil, -1},
		{"in progress", []streamView{{"wanted", short}}, -1},
		{"longest stalled", []streamView{{"wanted", long}, {"wanted", longer}, {"wanted", long}}, 1},
		{"nobody waits for the target", []streamView{{"other", longer}, {"wanted", long}}, 1},
		{"nobody waits", []streamView{{"other", longer}}, -1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Check(t, chooseStreamToEnd(test.streams, func(target string) bool { return target == "wanted" }), qt.Equals, test.want)
		})
	}
}

// A stream stalls while the host waits for its caller, also for one that trickles, but not while the target does not read.
func TestStreamStalls(t *testing.T) {
	type read struct {
		after, took time.Duration // since the last read, and of this one
		bytes       int
	}
	tests := []struct {
		name    string
		reads   []read
		waiting time.Duration // in a read after these
		want    time.Duration
	}{
		{"waits", []read{{0, time.Second, minStreamProgress}}, time.Second, time.Second},
		{"trickles", []read{{0, time.Second, 1}, {0, time.Second, 1}}, time.Second, 3 * time.Second},
		{"progress in pieces", []read{{0, time.Second, minStreamProgress / 2}, {0, time.Second, minStreamProgress / 2}}, 0, 0},
		{"target does not read", []read{{0, 0, 100}, {time.Minute, 0, 100}}, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var s streamedRest
			now := time.Unix(1000, 0)
			for _, r := range test.reads {
				now = now.Add(r.after)
				c.Check(s.stalledFor(now), qt.Equals, time.Duration(0), qt.Commentf("between reads"))
				s.begin(now)
				now = now.Add(r.took)
				s.finish(now, r.bytes, false)
			}
			s.begin(now)
			c.Check(s.stalledFor(now.Add(test.waiting)), qt.Equals, test.want)
			s.finish(now, 0, true)
			c.Check(s.stalledFor(now.Add(time.Minute)), qt.Equals, time.Duration(0), qt.Commentf("complete"))
		})
	}
}
