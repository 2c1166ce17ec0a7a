package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/redwingtally/redwingtally/platform"
)

const (
	releaseLength = 100 * time.Second
	// callerCount is the number of callers of a service at each daemon.
	callerCount = 5
	// hotTime is the time after which other keys are busy.
	hotTime = 1200 * time.Millisecond
	// hotShare is the share of the requests that are for busy keys, of which there are hotKeys.
	hotShare = 0.4
	hotKeys  = 12
)

// releaseServices are the services, all divided by key.
var releaseServices = []string{"archives", "maps", "plans"}

// runRelease plays reads of services divided by key whose busy keys change, so that keys move. Three of the five upstreams
// of each service send a late second copy of some of their answers.
func runRelease(s *system, trouble bool) (broken bool, err error) {
	config := &platform.Configuration{
		Version: 1,
		Limits:  platform.Limits{HeaderBytes: 16 << 10, BodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
	for _, name := range releaseServices {
		config.Routes = append(config.Routes, platform.Route{
			Name: name, Host: callerHost, Prefix: "/" + name + "/", Repeat: platform.Idempotent, Timeout: 2 * time.Second,
			Objective: 1200 * time.Millisecond, Rank: 2, Attempts: 2, Shares: []platform.WeightedService{{Service: name, Weight: 1}},
		})
		config.Services = append(config.Services, platform.Service{
			Name: name, HealthPath: healthPath, MaxConnections: 110, Keyed: true, Warmup: 3 * time.Second,
		})
	}
	if err := s.configure(config); err != nil {
		return false, err
	}
	var faulty []*upstream
	for _, name := range releaseServices {
		for i := range 5 {
			o := upstreamOptions{name: fmt.Sprintf("%s-%d", name, i+1), service: name, keyed: true, slots: 2, queue: 8, work: 300 * time.Millisecond}
			u, err := s.addUpstream(o)
			if err != nil {
				return false, err
			}
			if i < 3 {
				faulty = append(faulty, u)
			}
		}
	}
	atWork := &workChecker{system: s}
	for _, u := range s.upstreams {
		u.granted = atWork.check
		u.copyOrders = true
	}
	if err := s.addDaemons(4); err != nil {
		return false, err
	}
	for _, name := range releaseServices {
		if err := s.awaitOwners(name, []uint16{0, 20000, 40000, 65535}); err != nil {
			return false, err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseLength)
	defer cancel()
	if trouble {
		go s.sendCopies(ctx, faulty)
	}
	var wg sync.WaitGroup
	for _, name := range releaseServices {
		hot := &hotKeySet{}
		go hot.change(ctx)
		l := newLoad(s.record, "/"+name+"/", nil, 120*time.Millisecond, 0)
		l.method, l.pick = http.MethodGet, hot.pick
		wg.Go(func() {
			l.run(ctx, s.daemons, callerCount)
			s.record.addf("summary: %s: %s", name, l.summary())
		})
	}
	wg.Wait()
	s.record.addf("verdict: OWNER broken %d times", atWork.broken.Load())
	return atWork.broken.Load() > 0, nil
}

// hotKeySet picks the keys of requests. The busy keys are close to one another and change.
type hotKeySet struct{ first atomic.Uint32 }

func (h *hotKeySet) change(ctx context.Context) {
	for ctx.Err() == nil {
		h.first.Store(uint32(rand.IntN(60000)))
		select {
		case <-ctx.Done():
		case <-time.After(hotTime):
		}
	}
}

func (h *hotKeySet) pick() uint16 {
	if rand.Float64() < hotShare {
		return uint16(h.first.Load()) + uint16(rand.IntN(hotKeys)*100)
	}
	return uint16(rand.IntN(1 << 16))
}

// A workChecker looks whether an upstream is given a key on which another is still at work, before that one's hold
// would have run out.
type workChecker struct {
	system *system
	mu     sync.Mutex
	broken atomic.Int64
}

func (c *workChecker) check(to *upstream, g grant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, u := range c.system.upstreams {
		if u == to || u.service != to.service {
			continue
		}
		u.mu.Lock()
		for _, w := range u.running {
			if g.keys.First <= w.key && w.key <= g.keys.Last && g.since.Before(w.heldUntil) {
				c.broken.Add(1)
				c.system.record.addf("broken: OWNER %s is given keys %d-%d with fence %d while %s is at work on %s, key %d, and would hold it for %d ms more",
					to.name, g.keys.First, g.keys.Last, g.fence, u.name, w.id, w.key, w.heldUntil.Sub(g.since).Milliseconds())
			}
		}
		u.mu.Unlock()
	}
}
