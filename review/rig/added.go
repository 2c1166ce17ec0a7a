package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/redwingtally/redwingtally/platform"
)

const (
	// firstService and addedService are divided by key. The second one is added by a later configuration.
	firstService = "stockroom"
	addedService = "placements"
	addedAfter   = 10 * time.Second
	// addedUpstreamsAfter is the time from that configuration to the start of the upstreams, which are cold for coldTime.
	addedUpstreamsAfter = time.Second
	coldTime            = 3 * time.Second
	// addedMeasured is how long after the start of the upstreams requests are counted, for addedLength.
	addedMeasured = 20 * time.Second
	addedLength   = 40 * time.Second
	// hotPhase is the time for which the same keys are busy.
	hotPhase = 2500 * time.Millisecond
	// minAdded is the number of requests on added routes from which the rule counts.
	minAdded = 20
)

// addedRoute returns a route to a service.
func addedRoute(service string) platform.Route {
	return platform.Route{
		Name: service, Host: callerHost, Prefix: "/" + service + "/", Repeat: platform.Idempotent, Timeout: time.Second,
		Objective: 300 * time.Millisecond, Rank: 2, Attempts: 2, Shares: []platform.WeightedService{{Service: service, Weight: 1}},
	}
}

// keyedService returns a service divided by key.
func keyedService(name string) platform.Service {
	return platform.Service{Name: name, HealthPath: healthPath, MaxConnections: 110, Keyed: true, Warmup: coldTime}
}

// runAdded plays reads of a divided service whose busy keys change. A later configuration adds another divided service, whose
// upstreams start then. Without trouble that service is there from the beginning.
func runAdded(s *system, trouble bool) (broken bool, err error) {
	config := &platform.Configuration{
		Version: 1, Routes: []platform.Route{addedRoute(firstService)}, Services: []platform.Service{keyedService(firstService)},
		Limits: platform.Limits{HeaderBytes: 16 << 10, BodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
	addService := func() error {
		config.Routes = append(config.Routes, addedRoute(addedService))
		config.Services = append(config.Services, keyedService(addedService))
		return s.configure(config)
	}
	if err := s.configure(config); err != nil {
		return false, err
	}
	if err := s.addColdUpstreams("stock", firstService, 9); err != nil {
		return false, err
	}
	if !trouble {
		if err := errors.Join(addService(), s.addColdUpstreams("place", addedService, 4)); err != nil {
			return false, err
		}
	}
	time.Sleep(coldTime + heartbeat) // the entries change no more
	if err := s.addDaemons(4); err != nil {
		return false, err
	}
	if err := s.awaitOwners(firstService, []uint16{0, 20000, 40000, 65535}); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	hot := &busyRange{share: 0.44, count: 60, period: hotPhase}
	go hot.change(ctx)
	even := &busyRange{count: 1}
	first := newLoad(s.record, "/"+firstService+"/", nil, 100*time.Millisecond, 0)
	first.method, first.pick = http.MethodGet, hot.pick
	added := newLoad(s.record, "/"+addedService+"/", nil, 300*time.Millisecond, 0)
	added.method, added.pick = http.MethodGet, even.pick
	var wg sync.WaitGroup
	wg.Go(func() { first.run(ctx, s.daemons, 5) })
	time.Sleep(addedAfter)
	if trouble {
		config.Version = 2
		if err := addService(); err != nil {
			return false, err
		}
		s.record.addf("config: version 2 adds service %s", addedService)
		time.Sleep(addedUpstreamsAfter)
		if err := s.addColdUpstreams("place", addedService, 4); err != nil {
			return false, err
		}
	}
	from := time.Now().Add(addedMeasured)
	wg.Go(func() { added.run(ctx, s.daemons, 2) })
	time.Sleep(addedMeasured + addedLength)
	cancel()
	wg.Wait()
	s.record.addf("summary: %s: %s", firstService, first.summary())
	s.record.addf("summary: %s: %s", addedService, added.summary())
	return s.judgeAdded(first, added, from), nil
}

// addColdUpstreams starts n upstreams of a service, which are cold at first.
func (s *system) addColdUpstreams(prefix, service string, n int) error {
	for i := range n {
		o := upstreamOptions{
			name: fmt.Sprintf("%s-%d", prefix, i+1), service: service, keyed: true, slots: 2, queue: 8, work: 76 * time.Millisecond, cold: coldTime,
		}
		if _, err := s.addUpstream(o); err != nil {
			return err
		}
	}
	return nil
}

// judgeAdded reports whether requests on the added route, sent after from, were served less than a quarter as often as those
// on the first route.
func (s *system) judgeAdded(first, added *load, from time.Time) bool {
	served, all := first.servedAfter(from)
	servedAdded, allAdded := added.servedAfter(from)
	broken := allAdded >= minAdded && 4*servedAdded*all < served*allAdded
	s.record.addf("verdict: CONFIG broken %t: %d of %d requests served on the first route, %d of %d on the added one", broken, served, all, servedAdded, allAdded)
	return broken
}

// servedAfter returns how many of the requests that were sent after from were served, and their number.
func (l *load) servedAfter(from time.Time) (served, all int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.answers {
		if a.sent.Before(from) {
			continue
		}
		all++
		if a.status == http.StatusOK && a.signed {
			served++
		}
	}
	return served, all
}
