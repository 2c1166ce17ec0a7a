package edge

import (
	"log/slog"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/metric"
)

// Callers that hold memory and send no more must not keep it from others, and bodies that wait for each other must not
// wait until their deadlines.
func TestChooseBodyToRefuse(t *testing.T) {
	now := time.Unix(1000, 0)
	type held struct {
		name  string
		held  int64
		large bool
		phase requestPhase
		idle  time.Duration // since the last progress
	}
	const short, long, longer = minStall - 1, minStall, 2 * minStall
	tests := []struct {
		name  string
		large bool // the body that lacks memory
		held  []held
		want  string
		err   error
	}{
		{"nobody", true, nil, "", nil},
		{"in progress", true, []held{{"a", 1, true, requestReceiving, short}}, "", nil},
		{"longest stalled", true, []held{{"a", 1, true, requestReceiving, long}, {"b", 1, true, requestReceiving, longer}}, "b", errStalled},
		{"stalled without memory", true, []held{{"a", 0, true, requestReceiving, longer}}, "", nil},
		{"small for large", true, []held{{"a", 1, false, requestReceiving, longer}}, "", nil},
		{"small for small", false, []held{{"a", 1, false, requestReceiving, longer}}, "a", errStalled},
		{"large for small", false, []held{{"a", 1, true, requestReceiving, longer}}, "a", errStalled},
		{"at a target", true, []held{{"a", 1, true, requestReceived, longer}}, "", nil},
		{"one waits", true, []held{{"a", 1, true, requestWaiting, longer}}, "", nil},
		{"all wait", true, []held{{"a", 1, true, requestWaiting, longer}, {"b", 1, true, requestWaiting, 0}}, "b", errNoMemory},
		{"all but one wait", true, []held{{"a", 1, true, requestWaiting, 0}, {"b", 1, true, requestWaiting, 0}, {"c", 1, true, requestReceived, 0}}, "", nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			bodies, names := map[*heldRequest]struct{}{}, map[*heldRequest]string{}
			for i, b := range test.held {
				h := &heldRequest{held: b.held, large: b.large, phase: b.phase, progressed: now.Add(-b.idle), order: uint64(i)}
				bodies[h], names[h] = struct{}{}, b.name
			}
			got, err := chooseRequestToRefuse(now, bodies, test.large)
			c.Check(names[got], qt.Equals, test.want)
			c.Check(err, qt.Equals, test.err)
		})
	}
}

// newTestBudget returns a budget of 64 kB, of which large bodies may use 48 kB, and a function that opens a body with some memory.
func newTestBudget(c *qt.C) (*requestBudget, func(n int64) *heldRequest) {
	b := newRequestBudget(4*smallRequest, 3*smallRequest, slog.New(slog.DiscardHandler), metric.New())
	return b, func(n int64) *heldRequest {
		h := b.open(func() {})
		c.Assert(h.reserve(n, time.Now().Add(10*time.Second)), qt.IsNil)
		return h
	}
}

// Large bodies fill their part; small ones are served nevertheless, and a body that grows counts as large from its first byte.
func TestSmallBodiesHaveMemoryOfTheirOwn(t *testing.T) {
	c := qt.New(t)
	b, open := newTestBudget(c)
	large := open(3 * smallRequest)
	c.Check(large.received(), qt.IsNil)
	late := b.open(func() {})
	c.Check(late.reserve(smallRequest+1, time.Now().Add(50*time.Millisecond)), qt.Equals, errNoMemory)
	late.close()
	small := open(smallRequest / 2)
	c.Check(small.reserve(smallRequest, time.Now().Add(50*time.Millisecond)), qt.Equals, errNoMemory, qt.Commentf("a small body that grows"))
	small.close()
	open(smallRequest).close()
	large.shrinkTo(smallRequest)
	grown := open(smallRequest)
	c.Check(grown.reserve(smallRequest, time.Now().Add(time.Second)), qt.IsNil)
	grown.close()
	large.close()
	c.Check([]int64{b.held, b.heldLarge, b.freeing, int64(len(b.requests))}, qt.DeepEquals, []int64{0, 0, 0, 0})
}

// A body that has stalled is interrupted for one that waits. Its request learns it also if it was received just then.
func TestStalledBodyIsRefused(t *testing.T) {
	c := qt.New(t)
	b, open := newTestBudget(c)
	interrupted := make(chan struct{})
	stalled := b.open(func() { close(interrupted) })
	c.Assert(stalled.reserve(3*smallRequest, time.Now()), qt.IsNil)
	go func() {
		<-interrupted
		c.Check(stalled.received(), qt.Equals, errStalled)
		c.Check(stalled.reserve(1, time.Now()), qt.Equals, errStalled)
		stalled.close()
	}()
	open(2 * smallRequest).close()
}

// Bodies that hold all memory and need more would wait for each other until their deadlines. The last of them is refused.
func TestBodiesDoNotWaitForEachOther(t *testing.T) {
	c := qt.New(t)
	_, open := newTestBudget(c)
	first, second := open(smallRequest+1), open(smallRequest+1)
	served := make(chan error)
	go func() { served <- first.reserve(smallRequest, time.Now().Add(10*time.Second)) }()
	c.Check(second.reserve(smallRequest, time.Now().Add(10*time.Second)), qt.Equals, errNoMemory)
	second.close()
	c.Check(<-served, qt.IsNil)
}

// Bodies that arrived later must not take the memory for which an earlier one waits.
func TestBodiesGetMemoryInTheirOrder(t *testing.T) {
	c := qt.New(t)
	b, open := newTestBudget(c)
	holder := open(2 * smallRequest)
	c.Check(holder.received(), qt.IsNil)
	first := b.open(func() {})
	served := make(chan error)
	go func() { served <- first.reserve(2*smallRequest, time.Now().Add(10*time.Second)) }()
	for b.waitingCount() == 0 {
		time.Sleep(time.Millisecond)
	}
	second := b.open(func() {})
	c.Check(second.reserve(smallRequest+1, time.Now().Add(20*time.Millisecond)), qt.Equals, errNoMemory)
	holder.close()
	c.Check(<-served, qt.IsNil)
}

// waitingCount returns the number of bodies that wait for memory.
func (b *requestBudget) waitingCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.waiting)
}

// Log lines of refusals are bounded, as callers decide how many there are.
func TestRefusalsAreLoggedAtABoundedRate(t *testing.T) {
	c := qt.New(t)
	var lines strings.Builder
	b := newRequestBudget(smallRequest, smallRequest-smallRequest/4, slog.New(slog.NewTextHandler(&lines, nil)), metric.New())
	now := time.Unix(1000, 0)
	b.now = func() time.Time { return now }
	for range 2 {
		for range 3 {
			h := b.open(func() {})
			c.Check(h.reserve(2*smallRequest, now), qt.Equals, errNoMemory)
			h.close()
		}
		now = now.Add(budgetLogInterval)
	}
	c.Check(strings.Count(lines.String(), "\n"), qt.Equals, 2)
	c.Check(lines.String(), qt.Contains, "refused=3")
}
