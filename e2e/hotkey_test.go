package e2e

import (
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally"
	"github.com/redwingtally/redwingtally/entry"
	"github.com/redwingtally/redwingtally/holder"
	"github.com/redwingtally/redwingtally/internal/standin"
	"github.com/redwingtally/redwingtally/service"
)

// executionTracker records which target runs requests for each key, and each case
// in which two targets run requests for the same key at the same time.
type executionTracker struct {
	mu         sync.Mutex
	running    map[string]map[string]int // number of running requests by key and target
	last       map[string]string         // target of the most recent request by key
	concurrent []string                  // keys that ran on more than one target, with the counts
}

func newExecutionTracker() *executionTracker {
	return &executionTracker{running: map[string]map[string]int{}, last: map[string]string{}}
}

// start records the start of a request and returns a function that records its end.
func (t *executionTracker) start(target, key string) func() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running[key] == nil {
		t.running[key] = map[string]int{}
	}
	t.running[key][target]++
	t.last[key] = target
	if len(t.running[key]) > 1 {
		t.concurrent = append(t.concurrent, fmt.Sprintf("%s on %v", key, t.running[key]))
	}
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.running[key][target]--; t.running[key][target] == 0 {
			delete(t.running[key], target)
		}
	}
}

func (t *executionTracker) lastTarget(key string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.last[key]
}

func (t *executionTracker) isRunning(key string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.running[key]) > 0
}

// TestHotKeyMovesAlone sends many requests for one key. The key must move to
// another target without ever running on two targets, other keys must keep their
// targets, and the key must move back once its traffic ends. With takeover,
// another daemon takes over the group while the key has a target of its own.
func TestHotKeyMovesAlone(t *testing.T) {
	tests := []struct{ checks, takeover bool }{
		{checks: true},
		{checks: false},
		{checks: true, takeover: true},
		{checks: false, takeover: true},
	}
	for _, test := range tests {
		t.Run(fmt.Sprintf("checks=%v,takeover=%v", test.checks, test.takeover), func(t *testing.T) {
			testHotKeyMoves(t, test.checks, test.takeover)
		})
	}
}

func testHotKeyMoves(t *testing.T, checks, takeover bool) {
	s := newSystem(t, 2)
	tracker := newExecutionTracker()
	addresses := make([]netip.AddrPort, 0, 4)
	for i := range 4 {
		tg := s.startTarget(standin.TargetOptions{Name: fmt.Sprint(i), ChecksGrants: checks, OnStart: tracker.start})
		addresses = append(addresses, tg.Address())
	}
	division := keyedUnchecked
	if checks {
		division = keyedChecked
	}
	s.apply(serviceRecord("desk", division, addresses) + policyRecord("desk") + "---\nkind: placement\nname: desk\nschema_version: 2\nspec: {hot_keys: 4}\n")
	for i := range 2 {
		s.startDaemon(i, redwingtally.WithHotKeyWindow(2*time.Second))
	}
	entryAddress := s.otherEntry("desk")
	keys := shardKeys(32)
	requestFor := func(key, work string) {
		r, err := call(entryAddress, "GET", "/desk/pages", waitTimeout, [2]string{entry.KeyHeader, key}, [2]string{standin.ServiceTimeHeader, work})
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, r.Status, qt.Equals, 200, qt.Commentf("%s", r.Body))
	}
	request := func(key string) { requestFor(key, "6ms") }
	initialTargets := map[string]string{}
	for _, k := range keys {
		request(k)
		initialTargets[k] = tracker.lastTarget(k)
	}
	hot := "storm-road"
	request(hot)
	initialTarget := tracker.lastTarget(hot)
	qt.Assert(t, initialTarget, qt.Equals, initialTargets[keys[service.ShardOf(hot, 32)]])
	var stop atomic.Bool
	var wg sync.WaitGroup
	// Stops the callers if the test fails, so that their failures do not hide its own.
	defer wg.Wait()
	defer stop.Store(true)
	for i := range 9 {
		// Requests for the key run at all times, and one caller's requests take
		// longer than a move.
		work := "6ms"
		if i == 0 {
			work = "500ms"
		}
		wg.Go(func() {
			for !stop.Load() {
				requestFor(hot, work)
			}
		})
	}
	s.eventuallyHeld("the hot key has a target of its own", func(g holder.Status) bool {
		return len(g.HotKeys) == 1 && tracker.lastTarget(hot) != initialTarget
	})
	if takeover {
		s.takeOver()
		s.eventuallyHeld("the hot key has a target of its own after the takeover", func(g holder.Status) bool {
			return len(g.HotKeys) == 1 && g.UnownedShards == 0
		})
		request(hot)
		qt.Assert(t, tracker.lastTarget(hot), qt.Not(qt.Equals), initialTarget)
	}
	stop.Store(true)
	wg.Wait()
	for _, k := range keys {
		request(k)
		qt.Check(t, tracker.lastTarget(k), qt.Equals, initialTargets[k])
	}
	s.eventuallyHeld("the key returns to its shard", func(g holder.Status) bool { return len(g.HotKeys) == 0 })
	request(hot)
	qt.Assert(t, tracker.lastTarget(hot), qt.Equals, initialTarget)
	qt.Assert(t, tracker.concurrent, qt.HasLen, 0)
}
