package main

import (
	"context"
	"net/http"
	"time"

	"github.com/redwingtally/redwingtally/platform"
)

const (
	refusalService = "stockroom"
	refusalLength  = 80 * time.Second
	// Faulty upstreams send a second copy of copyShare of their answers for copyLength, as the sites' garble "extra late" does.
	copyShare  = 0.03
	copyLength = 5 * time.Second
	copyPause  = time.Second
)

// runRefusal plays uploads to a service divided by key whose upstreams are full at times. Of five upstreams, three send a
// late second copy of some answers.
func runRefusal(s *system, trouble bool) (broken bool, err error) {
	config := &platform.Configuration{
		Version: 1,
		Routes: []platform.Route{{
			Name: "upload", Host: callerHost, Prefix: "/upload/", Repeat: platform.AtMostOnce, Timeout: 1200 * time.Millisecond,
			Objective: 400 * time.Millisecond, Rank: 1, Attempts: 2, Shares: []platform.WeightedService{{Service: refusalService, Weight: 1}},
		}},
		Services: []platform.Service{{Name: refusalService, HealthPath: healthPath, MaxConnections: 110, Keyed: true, Warmup: 3 * time.Second}},
		Limits:   platform.Limits{HeaderBytes: 16 << 10, BodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
	if err := s.configure(config); err != nil {
		return false, err
	}
	for _, name := range []string{"stock-1", "stock-2", "stock-3", "stock-4", "stock-5"} {
		if _, err := s.addUpstream(upstreamOptions{name: name, service: refusalService, keyed: true, slots: 2, queue: 2, work: 30 * time.Millisecond}); err != nil {
			return false, err
		}
	}
	keys := []uint16{100, 100, 9000, 100, 20000, 30000, 100, 40000, 50000, 60000} // two fifths of the requests are for one key
	if err := s.addDaemons(8); err != nil {
		return false, err
	}
	if err := s.awaitOwners(refusalService, keys); err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), refusalLength)
	defer cancel()
	if trouble {
		go s.sendCopies(ctx, s.upstreams[:3])
	}
	l := newLoad(s.record, "/upload/", keys, 2*time.Millisecond, 3000)
	l.run(ctx, s.daemons, 8)
	time.Sleep(time.Second) // runs that nobody waits for end
	s.record.addf("summary: %s", l.summary())
	return s.judgeRuns(l), nil
}

// sendCopies makes upstreams send late second copies of their answers, for copyLength at a time, until ctx ends.
func (s *system) sendCopies(ctx context.Context, faulty []*upstream) {
	for ctx.Err() == nil {
		for _, phase := range []struct {
			share  float64
			length time.Duration
		}{{0, copyPause}, {copyShare, copyLength}} {
			for _, u := range faulty {
				u.setCopyShare(phase.share)
			}
			select {
			case <-ctx.Done():
			case <-time.After(phase.length):
			}
		}
	}
}

// judgeRuns reports whether a request that may not be repeated ran more than once, or was refused and ran.
func (s *system) judgeRuns(l *load) bool {
	runs := map[string]int{}
	for _, u := range s.upstreams {
		u.mu.Lock()
		for id, n := range u.runs {
			runs[id] += n
		}
		s.record.addf("summary: %s sent %d second copies of %d answers in the time of its fault", u.name, u.copies, u.answers)
		u.mu.Unlock()
	}
	twice, refused := 0, 0
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, status := range l.statuses {
		if runs[id] > 1 {
			twice++
			s.record.addf("broken: TWICE %s ran %d times, its answer was %d", id, runs[id], status)
		}
		promise := status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable || status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
		if promise && runs[id] > 0 {
			refused++
			s.record.addf("broken: REFUSED %s was answered %d and ran %d times", id, status, runs[id])
		}
	}
	s.record.addf("verdict: TWICE %d, REFUSED %d", twice, refused)
	return twice > 0 || refused > 0
}
