package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/redwingtally/redwingtally/internal/standin"
)

const (
	// limitSettleTime is how long the daemons have to apply the rate limit of a target, and limitWindow the time over which
	// it is checked.
	limitSettleTime = 3 * time.Second
	limitWindow     = 4 * time.Second
	// limitFactor and limitExtra are the tolerance of the check: a factor of the limit and a number of requests.
	limitFactor = 1.5
	limitExtra  = 5
	// limitPerSecond is the rate limit that targets state.
	limitPerSecond = 4
)

// rateLimit is a period in which a target stated a rate limit.
type rateLimit struct {
	target   *target
	from, to time.Time
}

// limitRate makes a target state a rate limit for a duration, unless it states one already.
func (s *system) limitRate(tg *target, duration time.Duration) {
	s.mu.Lock()
	for _, l := range s.rateLimits {
		if l.target == tg {
			s.mu.Unlock()
			return
		}
	}
	s.rateLimits = append(s.rateLimits, rateLimit{target: tg, from: time.Now(), to: time.Now().Add(duration)})
	s.mu.Unlock()
	tg.UpdateFaults(func(f *standin.ServerFaults) { f.RateLimit = limitPerSecond })
	wait(duration)
	tg.UpdateFaults(func(f *standin.ServerFaults) { f.RateLimit = 0 })
}

// rateLimitViolations returns the targets that got more requests in some limitWindow than their limit allows.
func (s *system) rateLimitViolations() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var violations []string
	for _, l := range s.rateLimits {
		most, first := 0, 0
		var counted []time.Time
		for _, at := range l.target.Arrivals() {
			if at.After(l.from.Add(limitSettleTime)) && at.Before(l.to) {
				counted = append(counted, at)
			}
		}
		for i, at := range counted {
			for at.Sub(counted[first]) >= limitWindow {
				first++
			}
			most = max(most, i-first+1)
		}
		if allowed := int(limitFactor*limitPerSecond*limitWindow.Seconds()) + limitExtra; most > allowed {
			violations = append(violations, fmt.Sprintf("a target that stated %d requests per second got %d in %s, %d are allowed", limitPerSecond, most, limitWindow, allowed))
		}
	}
	return violations
}

// restoreStore makes the store come back from a copy of some age. Operators and targets write again what it lacks.
func (s *system) restoreStore(age time.Duration) {
	body, err := json.Marshal(standin.RestoreRequest{Age: age})
	if err != nil {
		s.results.addViolationf("%v", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	req, err := http.NewRequest(http.MethodPut, "http://"+s.platformAddress.String()+"/standin/restore", bytes.NewReader(body))
	if err != nil {
		s.results.addViolationf("%v", err)
		return
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		s.results.addViolationf("restore: %v", err)
		return
	}
	_ = resp.Body.Close()
	s.t.Logf("restore the store to a copy of %s: status %d", age, resp.StatusCode)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, tg := range s.targets {
		if tg.stopped {
			if err := tg.Deregister(ctx); err != nil {
				s.t.Logf("delete the entry of a stopped target again: %v", err)
			}
		}
	}
	s.configure()
}
