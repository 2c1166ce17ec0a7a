package edge

import (
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/internal/ports"
	"github.com/redwingtally/redwingtally/platform"
	"github.com/redwingtally/redwingtally/quarantine"
	"github.com/redwingtally/redwingtally/scheduler"
)

// The connections of a host that loses its targets break as if the targets had crashed. Such
// crashes are recorded only if the host is not found to be cut off.
func TestCrashesDuringALossOfAllTargets(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = ln.Close() }()
	open, refused := netip.MustParseAddrPort(ln.Addr().String()), ports.Free(t)
	tests := []struct {
		name        string
		other       netip.AddrPort // of another target; the zero value if there is none
		cutOff      bool           // before the crash
		found       bool           // after it
		atOnce, end bool           // recorded
	}{
		{"only target", netip.AddrPort{}, false, false, true, true},
		{"another can be reached", open, false, false, true, true},
		{"another refuses", refused, false, false, false, true},
		{"another refuses, and the host is found to be cut off", refused, false, true, false, false},
		{"the host is cut off", open, true, false, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			q, _ := newRequest(t, func(q *request) { q.fingerprint = 7 })
			e, now := q.edge, time.Now()
			target := targetOf("a", now)
			target.Address = refused
			targets := []platform.Target{target}
			if test.other.IsValid() {
				other := targetOf("b", now)
				other.Address = test.other
				targets = append(targets, other)
			}
			for _, each := range targets {
				e.targets.Set(now, each)
			}
			s := e.service("stock")
			s.setTargets(now, platform.Service{Name: "stock"}, targets, 1)
			recorded := func() bool {
				e.mu.Lock()
				defer e.mu.Unlock()
				return e.crashTable.Suspected(quarantine.Fingerprint(7))
			}
			if test.cutOff {
				findCut(e)
			}
			q.checkCrash(schedulerDecision{dispatch: scheduler.Dispatch{Target: target}, client: s.clientsByName["a"]})
			c.Check(recorded(), qt.Equals, test.atOnce)
			if test.found {
				findCut(e)
			}
			time.Sleep(cutVerdictTime + 100*time.Millisecond) // the verdict is awaited
			c.Check(recorded(), qt.Equals, test.end)
		})
	}
}

// The crash of a target that restarts at its address is recorded when its entry names a later start, unless
// a target has responded to the request in the meantime.
func TestCrashBeforeARestartInPlace(t *testing.T) {
	const fingerprint = 7
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = ln.Close() }()
	start := time.Unix(1_000_000, 0)
	target := func(name string, startedAt time.Time, draining bool) platform.Target {
		out := targetOf(name, startedAt)
		out.Address, out.Draining = netip.MustParseAddrPort(ln.Addr().String()), draining
		return out
	}
	entryOf := func(service string, t platform.Target) platform.Target {
		t.Service = service
		return t
	}
	tests := []struct {
		name   string
		before *platform.Target // entry that is received before the connection is found broken
		answer bool             // a target responds to the request
		cutOff bool             // when the connection breaks
		after  *platform.Target // entry that is received afterwards
		want   bool
	}{
		{"no change", nil, false, false, nil, false},
		{"later start", nil, false, false, new(target("a", start.Add(time.Second), false)), true},
		{"later start, known before the break", new(target("a", start.Add(time.Second), false)), false, false, nil, true},
		{"earlier start, of a copy of the store", nil, false, false, new(target("a", start.Add(-time.Second), false)), false},
		{"same start, draining", nil, false, false, new(target("a", start, true)), false},
		{"later start in an entry of another service", nil, false, false, new(entryOf("other", target("a", start.Add(time.Second), false))), false},
		{"later start in an entry of another service, before the break", new(entryOf("other", target("a", start.Add(time.Second), false))), false, false, nil, false},
		{"another target starts", nil, false, false, new(target("b", start.Add(time.Second), false)), false},
		{"response in between", nil, true, false, new(target("a", start.Add(time.Second), false)), false},
		{"host is cut off", nil, false, true, new(target("a", start.Add(time.Second), false)), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			q, _ := newRequest(t, func(q *request) { q.fingerprint = fingerprint })
			e := q.edge
			receive := func(target platform.Target) {
				entry, err := platform.EncodeTarget(target, 1)
				c.Assert(err, qt.IsNil)
				e.applyObjects([]platform.Object{{Kind: platform.KindTargets, Name: target.Name, Value: entry}})
			}
			first := target("a", start, false)
			receive(first)
			s := e.service("stock")
			s.setTargets(time.Now(), platform.Service{Name: "stock"}, []platform.Target{first}, 1)
			client := s.clientsByName["a"]
			if test.before != nil {
				receive(*test.before)
			}
			if test.cutOff {
				findCut(e)
			}
			q.checkCrash(schedulerDecision{dispatch: scheduler.Dispatch{Target: first}, client: client})
			if test.answer {
				q.clearSuspicion()
			}
			if test.after != nil {
				receive(*test.after)
			}
			e.mu.Lock()
			defer e.mu.Unlock()
			c.Check(e.crashTable.Suspected(fingerprint), qt.Equals, test.want)
			c.Check(e.pendingCrashes, qt.HasLen, map[bool]int{true: 1}[test.want])
		})
	}
}

// Requests whose connections broke are kept for restartTime, and at most maxBrokenRequests.
func TestRestartsAreBounded(t *testing.T) {
	c := qt.New(t)
	at := time.Unix(1_000_000, 0)
	var r restarts
	for i := range maxBrokenRequests + 10 {
		r.add(brokenRequest{target: fmt.Sprint("t", i), service: "stock", startedAt: at, brokenAt: at})
	}
	c.Check(r.broken, qt.HasLen, maxBrokenRequests)
	c.Check(r.take(at.Add(restartTime), targetOf("t1", at.Add(1))), qt.HasLen, 1)
	c.Check(r.take(at.Add(restartTime+1), targetOf("t2", at.Add(1))), qt.HasLen, 0)
	c.Check(r.broken, qt.HasLen, maxBrokenRequests-2)
	r.add(brokenRequest{target: "t", startedAt: at, brokenAt: at.Add(restartTime + 1)})
	c.Check(r.broken, qt.HasLen, 1)
}
