package soak

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/internal/standin"
	"github.com/redwingtally/redwingtally/platform"
)

var (
	seedCount = flag.Int("soak.seeds", 0, "fresh seeds to run")
	oneSeed   = flag.Uint64("soak.seed", 1, "seed of TestSeed")
	length    = flag.Duration("soak.length", 12*time.Second, "length of a run")
)

// regressions are seeds that failed once, with the cause.
var regressions = []struct {
	seed  uint64
	cause string
}{}

func TestRegressions(t *testing.T) {
	for _, r := range regressions {
		t.Run(fmt.Sprint(r.seed), func(t *testing.T) { soak(t, r.seed) })
	}
}

func TestSeed(t *testing.T) { soak(t, *oneSeed) }

// TestFresh runs seeds that no earlier run had.
func TestFresh(t *testing.T) {
	for range *seedCount {
		seed := uint64(time.Now().UnixNano())
		t.Run(fmt.Sprint(seed), func(t *testing.T) { soak(t, seed) })
	}
}

// fault is one thing that goes wrong for a time.
type fault struct {
	name string
	do   func(s *system, d *daemon, v *server, lasting time.Duration)
}

var faults = []fault{
	{"pause a daemon", func(_ *system, d *daemon, _ *server, lasting time.Duration) {
		d.signal(syscall.SIGSTOP)
		hold(lasting)
		d.signal(syscall.SIGCONT)
	}},
	{"kill a daemon", func(s *system, d *daemon, _ *server, lasting time.Duration) {
		d.kill()
		hold(lasting / 4)
		d.start(s.t)
	}},
	{"restart a daemon", func(s *system, d *daemon, _ *server, _ time.Duration) {
		d.signal(syscall.SIGTERM)
		<-d.done
		d.start(s.t)
	}},
	{"reload", func(_ *system, d *daemon, _ *server, _ time.Duration) { d.signal(syscall.SIGHUP) }},
	{"silence the store", storeFault(silence)},
	{"cut answers of the store", storeFault(oneWay)},
	{"reset the store", storeFault(reset)},
	{"delay the store", storeFault(delay)},
	{"silence a server", serverFault(silence)},
	{"cut answers of a server", serverFault(oneWay)},
	{"reset a server", serverFault(reset)},
	{"delay a server", serverFault(delay)},
	{"bad answers", func(_ *system, _ *daemon, v *server, lasting time.Duration) {
		v.SetFaults(standin.ServerFaults{Fail: 0.1, Lose: 0.1, Cut: 0.1})
		hold(lasting)
		v.SetFaults(standin.ServerFaults{})
	}},
	{"slow server", func(_ *system, _ *daemon, v *server, lasting time.Duration) {
		v.SetFaults(standin.ServerFaults{Slow: 10})
		hold(lasting)
		v.SetFaults(standin.ServerFaults{})
	}},
	{"drain a server", func(s *system, _ *daemon, v *server, _ time.Duration) {
		s.addServer(v.service)
		v.Drain()
		hold(drainTime)
		s.stopServer(v)
	}},
	{"crash a server", func(s *system, _ *daemon, v *server, _ time.Duration) {
		s.stopServer(v)
		s.addServer(v.service)
	}},
}

// drainTime is how long a server goes on after it has said that it leaves.
const drainTime = 3 * time.Second

// hold lets a fault, or the time between two, last; the run plays in real time.
func hold(d time.Duration) { time.Sleep(d) }

func storeFault(m mode) func(*system, *daemon, *server, time.Duration) {
	return func(_ *system, d *daemon, _ *server, lasting time.Duration) {
		d.store.set(m)
		hold(lasting)
		d.store.set(pass)
	}
}

func serverFault(m mode) func(*system, *daemon, *server, time.Duration) {
	return func(_ *system, _ *daemon, v *server, lasting time.Duration) {
		v.proxy.set(m)
		hold(lasting)
		v.proxy.set(pass)
	}
}

// soak runs a system under faults and checks it.
func soak(t *testing.T, seed uint64) {
	c := qt.New(t)
	s := newSystem(t, seed)
	ctx, stop := context.WithCancel(context.Background())
	var callers, series sync.WaitGroup
	for _, d := range s.daemons {
		for caller := range 4 {
			callers.Go(func() { s.call(ctx, d, caller) })
		}
	}
	end := time.Now().Add(*length)
	busy := map[*daemon]bool{} // a daemon has one fault at a time; faults of different daemons overlap
	var mu sync.Mutex
	for time.Now().Before(end) {
		f := faults[s.random.IntN(len(faults))]
		d := s.daemons[s.random.IntN(len(s.daemons))]
		v := s.pickServer()
		lasting := time.Duration(300+s.random.IntN(4000)) * time.Millisecond
		pause := time.Duration(s.random.IntN(900)) * time.Millisecond
		mu.Lock()
		free := !busy[d]
		busy[d] = true
		mu.Unlock()
		if free {
			t.Logf("%s: %s (%s, %s) for %s", time.Until(end), f.name, d.name, v.service, lasting)
			series.Go(func() {
				f.do(s, d, v, lasting)
				mu.Lock()
				defer mu.Unlock()
				delete(busy, d)
			})
		}
		if s.random.IntN(4) == 0 {
			s.configure()
		}
		hold(pause)
	}
	series.Wait()
	s.recovered()
	stop()
	callers.Wait()
	problems := s.check()
	served := 0
	for _, a := range s.seen.answers {
		if a.status == http.StatusOK {
			served++
		}
	}
	t.Logf("%d requests, %d served, %d runs", len(s.seen.answers), served, len(s.runs()))
	c.Check(problems, qt.HasLen, 0, qt.Commentf("seed %d", seed))
	c.Check(served > len(s.seen.answers)/4, qt.IsTrue, qt.Commentf("seed %d: %d of %d served", seed, served, len(s.seen.answers)))
}

// pickServer returns a server that runs.
func (s *system) pickServer() *server {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		if v := s.servers[s.random.IntN(len(s.servers))]; !v.stopped {
			return v
		}
	}
}

// recovered waits until every daemon serves every key and the newest configuration.
func (s *system) recovered() {
	s.configure()
	client := &http.Client{Timeout: 3 * time.Second}
	for _, d := range s.daemons {
		s.eventually(d.name+" is ready", d.isReady)
		for i, key := range keys {
			n := 0
			s.eventually(fmt.Sprintf("%s serves key %d", d.name, key), func() bool {
				n++
				return s.one(context.Background(), client, d, fmt.Sprintf("recovered-%s-%d-%d", d.name, i, n), key, false) == http.StatusOK
			})
		}
		s.eventually(d.name+" has the newest configuration", func() bool {
			req, err := http.NewRequest(http.MethodGet, "http://"+d.entry.String()+fmt.Sprintf("/v%d/1", s.version), nil)
			qt.Assert(s.t, err, qt.IsNil)
			req.Host = "quotes.example"
			platform.SetRequestMeta(req.Header, platform.RequestMeta{ID: fmt.Sprint("newest-", d.name, time.Now().UnixNano())})
			resp, err := client.Do(req)
			if err != nil {
				return false
			}
			_ = resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		})
	}
}
