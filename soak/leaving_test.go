package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/internal/standin"
	"github.com/redwingtally/redwingtally/platform"
)

// drainTime is the time after a statement that a target leaves from which its daemon must send it no requests.
const drainTime = 2 * time.Second

// TestTargetsLeaveWithoutTheStore has targets of one service leave while the store is down, some or all of them, again and again,
// while daemons are paused, killed and restarted.
func TestTargetsLeaveWithoutTheStore(t *testing.T) {
	runLeaving(t, *seedFlag)
	for range *seedCount {
		seed := uint64(time.Now().UnixNano())
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runLeaving(t, seed) })
	}
}

func runLeaving(t *testing.T, seed uint64) {
	c := qt.New(t)
	s := newSystem(t, seed, defaultSystem)
	ctx, stop := context.WithCancel(context.Background())
	var callers, activeFaults sync.WaitGroup
	for _, d := range s.daemons {
		for caller := range 4 {
			callers.Go(func() { s.sendRequests(ctx, d, caller) })
		}
	}
	end := time.Now().Add(*runLength)
	activeFaults.Go(func() { s.disturbDaemons(end, rand.New(rand.NewPCG(seed, 7))) })
	for time.Now().Before(end) {
		s.leaveWithoutStore(s.pickTarget().service, 1+s.random.IntN(s.options.targetPairs))
	}
	activeFaults.Wait()
	s.awaitRecovery()
	stop()
	callers.Wait()
	told := 0
	for _, r := range s.results.responses {
		if r.leaving != "" {
			told++
		}
	}
	t.Logf("%d requests, %d of them to targets that left", len(s.results.responses), told)
	c.Check(told > 0, qt.IsTrue, qt.Commentf("seed %d", seed))
	c.Check(s.findViolations(), qt.HasLen, 0, qt.Commentf("seed %d", seed))
}

// disturbDaemons pauses, kills or restarts one daemon after the other until end.
func (s *system) disturbDaemons(end time.Time, random *rand.Rand) {
	for time.Now().Before(end) {
		wait(time.Duration(500+random.IntN(2000)) * time.Millisecond)
		d := s.daemons[random.IntN(len(s.daemons))]
		switch random.IntN(3) {
		case 0:
			d.signal(syscall.SIGSTOP)
			wait(time.Duration(300+random.IntN(1500)) * time.Millisecond)
			d.signal(syscall.SIGCONT)
		case 1:
			d.kill()
			d.start(s.t)
		default:
			d.signal(syscall.SIGTERM)
			<-d.exited
			d.start(s.t)
		}
	}
}

// leaveWithoutStore makes up to n targets of a service leave while the store is down, and starts as many others. The targets go on for
// longer than drainTime, so that late requests reach them.
func (s *system) leaveWithoutStore(service string, n int) {
	s.setStoreFaults(standin.PlatformFaults{Unavailable: true})
	s.mu.Lock()
	var leaving []*target
	for _, tg := range s.targets {
		if tg.service == service && !tg.stopped && len(leaving) < n {
			leaving = append(leaving, tg)
		}
	}
	s.mu.Unlock()
	s.t.Logf("%d targets of %s leave", len(leaving), service)
	for _, tg := range leaving {
		tg.Leave()
	}
	wait(drainTime + 1500*time.Millisecond)
	s.setStoreFaults(standin.PlatformFaults{})
	for _, tg := range leaving {
		s.stopTarget(tg)
		s.addTarget(service)
	}
	wait(time.Second)
}

// setStoreFaults replaces the faults of the store.
func (s *system) setStoreFaults(f standin.PlatformFaults) {
	body, err := json.Marshal(f)
	qt.Assert(s.t, err, qt.IsNil)
	req, err := http.NewRequest(http.MethodPut, "http://"+s.platformAddress.String()+"/standin/faults", bytes.NewReader(body))
	qt.Assert(s.t, err, qt.IsNil)
	resp, err := http.DefaultClient.Do(req)
	qt.Assert(s.t, err, qt.IsNil)
	_ = resp.Body.Close()
}

// leavingTarget returns the name of the target that states in a response that it leaves, or an empty string.
func leavingTarget(resp *http.Response, body string) string {
	if meta := platform.ReadResponseMeta(resp.StatusCode, resp.Header); !meta.Leaving || !meta.Signed {
		return ""
	}
	name, _, _ := strings.Cut(body, " ")
	return name
}

// lateRequests returns the requests that ran at a target although their daemon had passed on its statement that it leaves more
// than drainTime before they were sent. A daemon that was paused or stopped since is excused.
func lateRequests(runs []standin.Run, results []callResult) []string {
	type pair struct {
		daemon *daemon
		target string
	}
	told, sent := map[pair]time.Time{}, map[string]callResult{}
	for _, r := range results {
		sent[r.id] = r
		p := pair{r.daemon, r.leaving}
		if r.leaving != "" && (told[p].IsZero() || r.ended.Before(told[p])) {
			told[p] = r.ended
		}
	}
	var violations []string
	for _, run := range runs {
		r := sent[run.ID]
		at := told[pair{r.daemon, run.Server}]
		if at.IsZero() || r.sent.Before(at.Add(drainTime)) {
			continue
		}
		if _, faulty := r.daemon.faults.find(at, r.ended); faulty {
			continue
		}
		if _, stopped := r.daemon.stops.find(at, r.ended); stopped {
			continue
		}
		violations = append(violations, fmt.Sprintf("request %s ran at %s, sent %s after %s had passed on that it leaves", run.ID, run.Server, r.sent.Sub(at), r.daemon.name))
	}
	return violations
}
