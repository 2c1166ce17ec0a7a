package scheduler

import (
	"math"
	"time"
)

const (
	// loadStatedMemory is how long a service counts as one whose targets state their load after the last response that
	// stated one.
	loadStatedMemory = 30 * time.Second
	// speedLifetime is the age at which a stated speed says nothing more about the present one; targets change their
	// speed about every 400 ms.
	speedLifetime = 400 * time.Millisecond
	// meanLoadTimeConstant is the time constant with which the mean load of a target that sends no responses approaches
	// that of all targets. A host of a large fleet uses some targets only once in half a minute.
	meanLoadTimeConstant = time.Minute
	// meanLoadWeight is the weight of a stated load in the mean load of the target.
	meanLoadWeight = 0.2
	// meanSpeedWeight is the weight of a stated speed in the mean speed of the target. A fifth of the targets is three times
	// slower at any moment, so that a single reading says little.
	meanSpeedWeight = 0.1
	// minWorkShare is the least share of a response time that counts as work when the expected wait is deducted.
	minWorkShare = 0.2
	// waitCost is the cost of a second of expected waiting, in seconds of work. Loads are stated at the end of requests, so
	// they are below the mean over time, and a wait varies more than work.
	waitCost = 2.0
	// longWorkFactor is how much longer the requests of a route take than those of another one that they would delay much.
	longWorkFactor = 2.0
	// yieldExponent is the exponent of a target's mean speed in the cost of the work of a request that yields. At 1, long
	// requests gather at the quick targets, where short ones then wait behind them. At 0 and below, more long requests than
	// without stated loads miss their own objective.
	yieldExponent = 0.1
	// costJitter is the greatest random increase of a cost, so that hosts with the same figures choose different targets.
	costJitter = 0.05
	// defaultWork is the usual time of a request before the first response.
	defaultWork = 100 * time.Millisecond
	// minUtilisation bounds the running limit of a host in a service that is hardly used.
	minUtilisation = 0.1
)

// statedLoad is what a host knows of a target from the loads that it stated.
type statedLoad struct {
	at         time.Time // when the last one was received; zero if none was
	others     float64   // requests of other hosts that ran or waited there then
	speed      float64   // how long work took then, as a multiple of the usual time; 0 if not stated
	meanSpeed  float64   // mean of the stated speeds
	speeds     int       // number of stated speeds
	meanOthers float64   // mean of others
}

// serviceLoad is what a host knows of all targets of a service from the loads that they stated.
type serviceLoad struct {
	at          time.Time // when the last one was received; zero if none was
	speed       average   // of the stated speeds
	others      average   // requests of other hosts at a target
	utilisation average   // requests at a target as a multiple of its slots
	work        average   // time of a request at usual speed and without queueing, in seconds
	routes      map[string]*routeWork
}

// routeWork is the time that requests of a route take at usual speed and without queueing.
type routeWork struct {
	average       // in seconds
	rank      int // of the last request
	updatedAt time.Time
}

// statesLoad reports whether the targets of the service state their load.
func (s *Scheduler) statesLoad(now time.Time) bool {
	return !s.load.at.IsZero() && now.Sub(s.load.at) < loadStatedMemory
}

// recordLoad records the load that a target stated in the response to r, which has ended.
func (s *Scheduler) recordLoad(now time.Time, t *target, r *Request, result Result) {
	l := result.Load
	if !l.Stated || result.Outcome == WrongOwner {
		return // another target may have the address
	}
	others := max(0, float64(l.Running+l.Waiting-t.running))
	s.load.at = now
	s.load.others.addSlowly(others)
	s.load.utilisation.addSlowly(float64(l.Running+l.Waiting) / float64(max(1, l.Slots)))
	mean := t.load.expectedOthers(now, s.load.others.value)
	t.load.meanOthers = mean + meanLoadWeight*(others-mean)
	t.load.at, t.load.others, t.load.speed = now, others, float64(l.Speed)/100
	if l.Speed > 0 {
		s.load.speed.addSlowly(t.load.speed)
		t.load.addSpeed(s.load.speed.value)
	}
	if result.Outcome == Answered {
		s.recordWork(now, t, r, result.ResponseTime.Seconds())
	}
}

// recordWork updates the work of r's route with a response time in seconds.
func (s *Scheduler) recordWork(now time.Time, t *target, r *Request, responseTime float64) {
	speed := t.load.speed
	if speed == 0 {
		speed = s.meanSpeed(t)
	}
	work := max(minWorkShare*responseTime, responseTime-r.expected.wait) / speed
	s.load.work.addSlowly(work)
	if s.load.routes == nil {
		s.load.routes = map[string]*routeWork{}
	}
	route, ok := s.load.routes[r.Route]
	if !ok {
		route = &routeWork{}
		s.load.routes[r.Route] = route
	}
	route.addSlowly(work)
	route.rank, route.updatedAt = r.Rank, now
}

// addSpeed adds the last stated speed to the mean, which begins at the mean of all targets.
func (l *statedLoad) addSpeed(all float64) {
	if l.speeds == 0 {
		l.meanSpeed = all
	}
	l.speeds++
	l.meanSpeed += max(meanSpeedWeight, 1/float64(l.speeds+1)) * (l.speed - l.meanSpeed)
}

// expectedOthers returns the expected number of other hosts' requests at the target without a recent response.
func (l *statedLoad) expectedOthers(now time.Time, all float64) float64 {
	if l.at.IsZero() {
		return all
	}
	return all + math.Exp(-now.Sub(l.at).Seconds()/meanLoadTimeConstant.Seconds())*(l.meanOthers-all)
}

// meanSpeed returns how long work takes at a target on average, as a multiple of the usual time. Without a stated speed
// it follows from the response times.
func (s *Scheduler) meanSpeed(t *target) float64 {
	all := 1.0
	if s.load.speed.initialised {
		all = s.load.speed.value
	}
	switch {
	case t.load.speeds > 0:
		return max(minSlowness, t.load.meanSpeed)
	case t.relativeTime.initialised:
		return all * max(minSlowness, t.relativeTime.value)
	}
	return all
}

// speedAt returns how long work is expected to take at a target now, as a multiple of the usual time.
func (s *Scheduler) speedAt(now time.Time, t *target) float64 {
	speed := s.meanSpeed(t)
	if age := now.Sub(t.load.at); t.load.speed > 0 && age < speedLifetime {
		speed += (1 - age.Seconds()/speedLifetime.Seconds()) * (t.load.speed - speed)
	}
	if now.Before(t.warmAt) {
		speed = max(speed, coldSlowdown)
	}
	return speed
}

// meanWork returns the mean time of the service's requests at usual speed, in seconds.
func (s *Scheduler) meanWork() float64 {
	if s.load.work.initialised {
		return s.load.work.value
	}
	return defaultWork.Seconds()
}

// expectedWork returns the time of a request of r's route at usual speed, in seconds.
func (s *Scheduler) expectedWork(r *Request) float64 {
	if route, ok := s.load.routes[r.Route]; ok {
		return route.value
	}
	return s.meanWork()
}

// yields reports whether r leaves the quicker targets to other requests: those of a route that is at least as urgent and
// takes a much shorter time.
func (s *Scheduler) yields(now time.Time, r *Request) bool {
	work := s.expectedWork(r)
	for _, other := range s.load.routes {
		if other.rank <= r.Rank && work >= longWorkFactor*other.value && now.Sub(other.updatedAt) < loadStatedMemory {
			return true
		}
	}
	return false
}

// A completion is the expected time of a request at a target.
type completion struct {
	work float64 // seconds
	wait float64 // seconds for which the request waits at the target before
}

// expectedCompletion returns the expected time of r at a target. The requests of this host are known. Those of others are
// as last stated, until the target is likely to have worked them off, and then random with the mean that it has stated
// over time.
func (s *Scheduler) expectedCompletion(now time.Time, t *target, r *Request) completion {
	speed, work, slots := s.speedAt(now, t), s.meanWork(), max(1, t.Slots)
	own, others := float64(t.running), t.load.expectedOthers(now, s.load.others.value)
	waiting := expectedWaiting(own, others, slots)
	if !t.load.at.IsZero() {
		recent := math.Exp(-now.Sub(t.load.at).Seconds() / (work * s.meanSpeed(t)))
		waiting += recent * (max(0, own+t.load.others-float64(slots)+1) - waiting)
	}
	return completion{work: speed * s.expectedWork(r), wait: speed * work * waiting / float64(slots)}
}

// expectedWaiting returns the mean number of requests that must end before another one starts, at a target with own
// requests of this host and a Poisson number of others.
func expectedWaiting(own, others float64, slots int) float64 {
	free := float64(slots) - 1 - own
	waiting, probability := others-free, math.Exp(-others)
	for n := 0.0; n < free; n++ {
		waiting += (free - n) * probability
		probability *= others / (n + 1)
	}
	return waiting
}

// completionCost returns the cost of r at a target in seconds. yields is the result of Scheduler.yields for r.
func (s *Scheduler) completionCost(now time.Time, t *target, r *Request, yields bool) float64 {
	expected := s.expectedCompletion(now, t, r)
	if yields {
		expected.work *= math.Pow(s.meanSpeed(t), yieldExponent-1)
	}
	cost := (expected.work + waitCost*expected.wait) * (1 + errorCost*t.errorRate.value)
	cost += s.accessCost(t, r) * s.meanWork()
	return cost * (1 + costJitter*s.options.Random())
}

// secondsOf returns the duration of s seconds.
func secondsOf(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// A LoadState is what a host knows of a target from the loads that it stated.
type LoadState struct {
	// AgeMs is the age of the last stated load in milliseconds. Others are the requests of other hosts at the target then,
	// and Speed how long work took, as a multiple of the usual time; 0 if it was not stated.
	AgeMs  int64   `json:"age_ms"`
	Others float64 `json:"others"`
	Speed  float64 `json:"speed"`
	// MeanOthers and MeanSpeed are the expected values without a recent response.
	MeanOthers float64 `json:"mean_others"`
	MeanSpeed  float64 `json:"mean_speed"`
	// WaitMs is the expected wait of a request there now in milliseconds.
	WaitMs float64 `json:"wait_ms"`
}

// loadState returns what this host knows of a target from the loads that it stated, or nil if it stated none.
func (s *Scheduler) loadState(now time.Time, t *target) *LoadState {
	if t.load.at.IsZero() {
		return nil
	}
	return &LoadState{
		AgeMs: now.Sub(t.load.at).Milliseconds(), Others: t.load.others, Speed: t.load.speed,
		MeanOthers: t.load.expectedOthers(now, s.load.others.value), MeanSpeed: s.meanSpeed(t),
		WaitMs: 1000 * s.expectedCompletion(now, t, &Request{}).wait,
	}
}
