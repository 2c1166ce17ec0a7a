package coordination

import (
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/platform"
)

// cutTarget is a target that owns keys. It leaves orders unanswered from the coordinators that are cut off from it.
type cutTarget struct {
	address   netip.AddrPort
	mu        sync.Mutex
	fence     uint64    // highest token that it has seen
	cutFence  uint64    // orders with tokens up to this one do not reach it
	heldUntil time.Time // zero before the first grant
	gap       time.Duration
}

// startCutTarget starts a target that ends with the test.
func startCutTarget(t *testing.T) *cutTarget {
	s := &cutTarget{}
	s.address, _ = startCountingServer(t, http.HandlerFunc(s.serve))
	return s
}

// serve carries out a grant.
func (s *cutTarget) serve(w http.ResponseWriter, r *http.Request) {
	grant, err := platform.DecodeGrant(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	cut := grant.FencingToken <= s.cutFence
	if !cut && grant.TTL > 0 && grant.FencingToken >= s.fence {
		if t := time.Now(); !s.heldUntil.IsZero() && t.After(s.heldUntil) {
			s.gap = max(s.gap, t.Sub(s.heldUntil))
		}
		s.fence, s.heldUntil = grant.FencingToken, time.Now().Add(grant.TTL)
	}
	s.mu.Unlock()
	if cut {
		<-r.Context().Done()
	}
}

// cut drops the orders of coordinators up to the present one.
func (s *cutTarget) cut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutFence = s.fence
}

// Keys stay granted when the coordinator has lost the targets for a second before it knows.
func TestKeysStayGrantedWhenTheCoordinatorIsCutOff(t *testing.T) {
	c := qt.New(t)
	s := startCutTarget(t)
	target := platform.Target{Name: "t0", Service: "stock", Slots: 2, StartedAt: time.Unix(1, 0), Address: s.address}
	f := startCutFleet(t, 3, func(_ int, o *Options) {
		o.Targets = func() Targets {
			return Targets{Version: TargetsVersion{Directory: 1}, ByService: map[string][]platform.Target{"stock": {target}}, All: []platform.Target{target}}
		}
	})
	held := func(h *cutHost) bool {
		holdings := h.State().Holdings["stock"]
		return len(holdings) == 1 && holdings[0].Held && holdings[0].Target == "t0"
	}
	waitFor(t, "keys are granted", func() bool { return held(f.hosts[1]) })
	time.Sleep(HoldTime / 2) // several renewals
	s.cut()
	time.Sleep(time.Second) // until the host finds that it is cut off
	f.hosts[0].cut(true)
	f.waitForLeader(t, "another host coordinates", func(i int) bool { return i != 0 })
	end := time.Now().Add(2 * HoldTime)
	for ; time.Now().Before(end); time.Sleep(20 * time.Millisecond) { // the keys must be held at all times
		s.mu.Lock()
		heldUntil := s.heldUntil
		s.mu.Unlock()
		c.Assert(heldUntil.After(time.Now()), qt.IsTrue)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c.Check(s.gap, qt.Equals, time.Duration(0))
	c.Check(s.fence > s.cutFence, qt.IsTrue)
}
