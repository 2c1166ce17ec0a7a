package main

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/redwingtally/redwingtally/platform"
)

const (
	forgedService = "stockroom"
	forgedLength  = 20 * time.Second
	// forgedAfter is when the other writer writes its entry.
	forgedAfter = 8 * time.Second
	// foreignName and foreignService are those of the other writer's entry.
	foreignName    = "node-agent-1"
	foreignService = "node-agent"
	// maxOverlap is how long two upstreams may hold the same keys.
	maxOverlap = 500 * time.Millisecond
)

// runForged plays requests to a service divided by key while another writer registers a service that the configuration
// does not name, at the address of an upstream.
func runForged(s *system, trouble bool) (broken bool, err error) {
	config := &platform.Configuration{
		Version: 1,
		Routes: []platform.Route{{
			Name: "read", Host: callerHost, Prefix: "/read/", Repeat: platform.Idempotent, Timeout: time.Second,
			Objective: 300 * time.Millisecond, Rank: 2, Attempts: 2, Shares: []platform.WeightedService{{Service: forgedService, Weight: 1}},
		}},
		Services: []platform.Service{{Name: forgedService, HealthPath: healthPath, MaxConnections: 110, Keyed: true, Warmup: 3 * time.Second}},
		Limits:   platform.Limits{HeaderBytes: 16 << 10, BodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
	if err := s.configure(config); err != nil {
		return false, err
	}
	for i := range 4 {
		o := upstreamOptions{name: fmt.Sprintf("stock-%d", i+1), service: forgedService, keyed: true, slots: 2, queue: 8, work: 40 * time.Millisecond}
		if _, err := s.addUpstream(o); err != nil {
			return false, err
		}
	}
	var keys []uint16
	for i := range 32 {
		keys = append(keys, uint16(i*2048+7))
	}
	if err := s.addDaemons(4); err != nil {
		return false, err
	}
	if err := s.awaitOwners(forgedService, keys); err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), forgedLength)
	defer cancel()
	written := make(chan error, 1)
	go func() {
		time.Sleep(forgedAfter)
		if !trouble {
			written <- nil
			return
		}
		written <- s.writeForeignEntry(ctx, s.upstreams[0].address())
	}()
	l := newLoad(s.record, "/read/", keys, 30*time.Millisecond, 0)
	l.run(ctx, s.daemons, 4)
	if err := <-written; err != nil {
		return false, err
	}
	s.record.addf("summary: %s", l.summary())
	return s.judgeOwners(keys), nil
}

// writeForeignEntry writes the entry of a process of a service that the configuration does not name.
func (s *system) writeForeignEntry(ctx context.Context, address netip.AddrPort) error {
	entry, err := platform.EncodeTarget(platform.Target{
		Name: foreignName, StartedAt: time.Now(), Service: foreignService, Address: address, DataCentre: "leicester", Slots: 1,
	}, 1)
	if err != nil {
		return err
	}
	s.record.addf("foreign: entry %s %s", foreignName, entry)
	_, err = s.client.Put(ctx, platform.KindTargets, foreignName, entry, platform.Unconditional())
	return err
}

// judgeOwners reports whether two upstreams held one of the keys at the same time for longer than maxOverlap.
func (s *system) judgeOwners(keys []uint16) bool {
	broken := false
	for _, key := range keys {
		for i, a := range s.upstreams {
			for _, b := range s.upstreams[i+1:] {
				if at, d := longestOverlap(a.holdings(key), b.holdings(key)); d > maxOverlap {
					broken = true
					s.record.addf("broken: OWNER %s and %s both held key %d for %d ms from %.3f on", a.name, b.name, key, d.Milliseconds(), at.Sub(s.record.started).Seconds())
				}
			}
		}
	}
	s.record.addf("verdict: OWNER broken %t", broken)
	return broken
}

// holdings returns the grants by which an upstream has held a key, joined where one follows another.
func (u *upstream) holdings(key uint16) []grant {
	u.mu.Lock()
	defer u.mu.Unlock()
	var out []grant
	for _, list := range [][]grant{u.history, u.grants} {
		for _, g := range list {
			if key < g.keys.First || g.keys.Last < key {
				continue
			}
			if n := len(out); n > 0 && !g.since.After(out[n-1].until) {
				out[n-1].until = g.until
				continue
			}
			out = append(out, g)
		}
	}
	return out
}

// longestOverlap returns the start and the length of the longest time in which both lists have a grant.
func longestOverlap(a, b []grant) (at time.Time, longest time.Duration) {
	for _, x := range a {
		for _, y := range b {
			from, until := x.since, x.until
			if y.since.After(from) {
				from = y.since
			}
			if y.until.Before(until) {
				until = y.until
			}
			if d := until.Sub(from); d > longest {
				at, longest = from, d
			}
		}
	}
	return at, longest
}
