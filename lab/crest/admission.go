package crest

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/redwingtally/redwingtally/budget"
	"github.com/redwingtally/redwingtally/platform"
	"github.com/redwingtally/redwingtally/scheduler"
)

// Parameters of the replays of admission control. They follow docs/HARD-LOAD.md and the edge.
const (
	admissionHop        = 500 * time.Microsecond
	admissionQueueCheck = 20 * time.Millisecond  // of the hosts' queues
	admissionShares     = 900 * time.Millisecond // between two updates of a host's share
	admissionRateTime   = 3 * time.Second        // time constant of a host's request rate
	admissionMinShare   = 0.5                    // least share of a host as a factor of an equal share
	admissionSends      = 4                      // attempts of a request on a host
	admissionRespeed    = 400 * time.Millisecond // between two choices of the slow fifth
	admissionZones      = 3
	// longWork is the share of requests that take longWorkFactor times as long.
	longWork       = 0.03
	longWorkFactor = 7
	workSpread     = 0.3
)

// admissionRun is the state of a replay.
type admissionRun struct {
	engine
	load    AdmissionLoad
	random  *rand.Rand
	hosts   []*admissionHost
	targets map[string]*admissionTarget
	specs   []platform.Target
	result  AdmissionResult
}

type admissionHost struct {
	run       *admissionRun
	zone      int
	scheduler *scheduler.Scheduler
	budget    *budget.Budget
	rate      float64 // decayed number of requests
	rateAt    time.Duration
	checking  bool
}

type admissionTarget struct {
	speed   float64
	slow    bool // in the slow fifth
	hit     bool // slowed by the disruption
	running int
	waiting []*admissionSend
}

// admissionCaller is a caller's request with all of its attempts.
type admissionCaller struct {
	kind      int
	key       uint16
	zone      int
	arrivedAt time.Duration
	retries   int // that the caller may still make
	immediate bool
	attempted bool // a target got one of the attempts
}

// admissionCall is an attempt of a caller at a host.
type admissionCall struct {
	caller   *admissionCaller
	host     *admissionHost
	request  *scheduler.Request
	arrived  time.Duration
	deadline time.Duration
	sends    int
	current  *admissionSend
	ended    bool
}

// admissionSend is an attempt of a host at a target.
type admissionSend struct {
	call   *admissionCall
	target *admissionTarget
	sentAt time.Duration
	ended  bool
}

var admissionEpoch = time.Unix(1_000_000, 0)

func (a *admissionRun) clock() time.Time { return admissionEpoch.Add(a.now) }

// RunAdmission replays a load.
func RunAdmission(load AdmissionLoad) AdmissionResult {
	a := &admissionRun{load: load, random: rand.New(rand.NewPCG(load.Seed, 17)), targets: map[string]*admissionTarget{}}
	a.result = newAdmissionResult(load)
	for i := range load.Targets {
		name := targetLabel(i)
		a.specs = append(a.specs, platform.Target{
			Name: name, StartedAt: admissionEpoch, Slots: load.Slots, DataCentre: zoneLabel(i % admissionZones),
		})
		a.targets[name] = &admissionTarget{speed: load.SpeedMin + (load.SpeedMax-load.SpeedMin)*a.random.Float64()}
	}
	for i := range load.Hosts {
		h := &admissionHost{run: a, zone: i % admissionZones}
		a.hosts = append(a.hosts, h)
		h.restart()
		a.schedule(time.Duration(a.random.Float64()*float64(admissionShares)), h.updateShare)
	}
	for kind, k := range load.Kinds {
		a.schedule(0, func() { a.arrive(kind, k) })
	}
	if load.SlowFifth {
		a.schedule(0, a.respeed)
	}
	a.schedule(load.From, a.disrupt)
	a.schedule(load.To, a.recover)
	a.run()
	return a.result
}

func (h *admissionHost) restart() {
	a := h.run
	h.scheduler = scheduler.New(scheduler.Options{
		DataCentre: zoneLabel(h.zone),
		Owner:      func(key uint16) (string, bool) { return a.specs[int(key)%len(a.specs)].Name, true },
		Connected:  func(string) bool { return true },
		Random:     a.random.Float64,
	})
	h.scheduler.SetTargets(a.clock(), a.specs)
	h.scheduler.SetShare(1 / float64(a.load.Hosts))
	h.budget = budget.New(a.clock().Add(-time.Minute), budget.Limits{Ratio: 0.2, Extra: 56, Window: 10 * time.Second})
}

func (h *admissionHost) decayRate() {
	h.rate *= math.Exp(-(h.run.now - h.rateAt).Seconds() / admissionRateTime.Seconds())
	h.rateAt = h.run.now
}

// updateShare sets the host's share of the slots from its request rate, as the edge does.
func (h *admissionHost) updateShare() {
	a := h.run
	own, all := 0.0, 0.0
	for _, other := range a.hosts {
		other.decayRate()
		all += other.rate
	}
	own = h.rate
	equal := 1 / float64(a.load.Hosts)
	share := equal
	if all > 0 && own > 0 {
		share = max(own/all, equal*admissionMinShare)
	}
	h.scheduler.SetShare(share)
	h.dispatch()
	if a.now < a.load.Duration {
		a.scheduleAfter(admissionShares, h.updateShare)
	}
}

// respeed chooses the fifth of the targets that is slow.
func (a *admissionRun) respeed() {
	for _, spec := range a.specs {
		a.targets[spec.Name].slow = a.random.Float64() < 0.2
	}
	if a.now < a.load.Duration {
		a.scheduleAfter(admissionRespeed, a.respeed)
	}
}

func (a *admissionRun) disrupt() {
	for _, spec := range a.specs {
		a.targets[spec.Name].hit = a.random.Float64() < a.load.SlowShare
	}
	if a.load.Restart {
		for _, h := range a.hosts {
			h.restart()
		}
	}
}

func (a *admissionRun) recover() {
	for _, t := range a.targets {
		t.hit = false
	}
}

// arrive admits a caller of a kind and schedules the next one.
func (a *admissionRun) arrive(kind int, k AdmissionKind) {
	rate := k.PerSecond
	if a.now >= a.load.From && a.now < a.load.To && k.Burst > 0 {
		rate *= k.Burst
	}
	a.scheduleAfter(time.Duration(a.random.ExpFloat64()/rate*float64(time.Second)), func() {
		if a.now < a.load.Duration {
			a.arrive(kind, k)
		}
	})
	c := &admissionCaller{kind: kind, zone: a.random.IntN(admissionZones), arrivedAt: a.now, retries: 1, key: a.key()}
	if a.random.Float64() < a.load.ImmediateCallers {
		c.immediate, c.retries = true, 3
	}
	a.result.offered(c)
	a.call(c)
}

// key draws a key: the hot key, one of the warm keys, or any.
func (a *admissionRun) key() uint16 {
	if a.now >= a.load.From && a.now < a.load.To {
		u := a.random.Float64()
		switch {
		case u < a.load.HotKeyShare:
			return 0
		case u < a.load.HotKeyShare+a.load.WarmKeyShare:
			return uint16(1 + a.random.IntN(a.load.WarmKeys))
		}
	}
	return uint16(a.random.IntN(1 << 16))
}

// call makes an attempt of a caller at a host.
func (a *admissionRun) call(c *admissionCaller) {
	k := a.load.Kinds[c.kind]
	h := a.hosts[(a.random.IntN(len(a.hosts))/admissionZones*admissionZones+c.zone)%len(a.hosts)]
	call := &admissionCall{caller: c, host: h, arrived: a.now, deadline: c.arrivedAt + k.Timeout}
	call.request = &scheduler.Request{
		Rank: k.Rank, Route: k.Name, Key: c.key, Keyed: k.Keyed, Value: call,
		Objective: a.clock().Add(k.Objective), Deadline: admissionEpoch.Add(call.deadline),
	}
	h.decayRate()
	h.rate++
	h.budget.RecordRequest(a.clock())
	a.schedule(call.deadline, call.timeOut)
	if rejection, ok := h.scheduler.Add(a.clock(), call.request); !ok {
		call.refuse(string(rejection.Reason), rejection.RetryAfter)
		return
	}
	h.dispatch()
}

// timeOut ends a call at its deadline.
func (c *admissionCall) timeOut() {
	if c.ended {
		return
	}
	c.ended = true
	h := c.host
	if c.current != nil {
		c.current.ended = true
		h.scheduler.Finish(h.run.clock(), c.request, scheduler.Result{Outcome: scheduler.TimedOut})
	} else {
		h.scheduler.Remove(c.request)
	}
	h.run.result.timedOut(c)
	h.dispatch()
}

// refuse ends a call that has not run. The caller comes back if it may and has the time.
func (c *admissionCall) refuse(reason string, retryAfter time.Duration) {
	a := c.host.run
	c.ended = true
	a.result.refused(c, reason, a.now)
	caller := c.caller
	left := c.deadline - a.now
	if caller.retries == 0 || left <= 0 {
		a.result.givenUp(caller)
		return
	}
	caller.retries--
	wait := min(retryAfter, left/3)
	if caller.immediate {
		wait = time.Millisecond
	}
	a.scheduleAfter(wait, func() { a.call(caller) })
}

// dispatch sends the queued requests that the scheduler has slots for.
func (h *admissionHost) dispatch() {
	a := h.run
	for d, ok := h.scheduler.Next(a.clock()); ok; d, ok = h.scheduler.Next(a.clock()) {
		call := d.Request.Value.(*admissionCall)
		call.sends++
		call.caller.attempted = true
		send := &admissionSend{call: call, target: a.targets[d.Target.Name], sentAt: a.now}
		call.current = send
		a.scheduleAfter(admissionHop, func() { a.receive(send) })
	}
	if h.scheduler.Queued() > 0 && !h.checking {
		h.checking = true
		a.scheduleAfter(admissionQueueCheck, h.check)
	}
}

func (h *admissionHost) check() {
	h.checking = false
	for _, rejection := range h.scheduler.Expire(h.run.clock()) {
		rejection.Request.Value.(*admissionCall).refuse(string(rejection.Reason), rejection.RetryAfter)
	}
	h.dispatch()
}

// receive handles a request at its target.
func (a *admissionRun) receive(s *admissionSend) {
	switch t := s.target; {
	case s.ended:
	case t.running < a.load.Slots:
		a.work(s)
	case len(t.waiting) < a.load.Queue:
		t.waiting = append(t.waiting, s)
	default:
		a.scheduleAfter(admissionHop, func() { a.turnedAway(s) })
	}
}

func (a *admissionRun) turnedAway(s *admissionSend) {
	call, h := s.call, s.call.host
	if s.ended {
		return
	}
	s.ended, call.current = true, nil
	a.result.TurnedAway++
	h.scheduler.Finish(a.clock(), call.request, scheduler.Result{Outcome: scheduler.Rejected})
	switch {
	case call.sends >= admissionSends || !h.budget.AllowRetry(a.clock(), a.load.Hosts, a.now > call.caller.arrivedAt):
		call.refuse("turned_away", 150*time.Millisecond)
	default:
		if rejection, ok := h.scheduler.Retry(a.clock(), call.request); !ok {
			call.refuse(string(rejection.Reason), rejection.RetryAfter)
		}
	}
	h.dispatch()
}

// work runs a request on a slot. Work whose caller has left continues to its end.
func (a *admissionRun) work(s *admissionSend) {
	t := s.target
	t.running++
	factor := t.speed
	if t.slow {
		factor *= 3
	}
	if t.hit {
		factor *= a.load.SlowFactor
	}
	a.scheduleAfter(time.Duration(factor*float64(a.drawWork(a.load.Kinds[s.call.caller.kind].Work))), func() {
		t.running--
		for len(t.waiting) > 0 && t.running < a.load.Slots {
			next := t.waiting[0]
			t.waiting = t.waiting[1:]
			if !next.ended {
				a.work(next)
			}
		}
		a.scheduleAfter(admissionHop, func() { a.answer(s) })
	})
}

// answer passes the response of a target on to the caller.
func (a *admissionRun) answer(s *admissionSend) {
	if s.ended {
		return
	}
	call := s.call
	s.ended, call.current, call.ended = true, nil, true
	call.host.scheduler.Finish(a.clock(), call.request, scheduler.Result{Outcome: scheduler.Answered, ResponseTime: a.now - s.sentAt})
	a.result.answered(call, a.now)
	call.host.dispatch()
}

// drawWork draws the duration of a request's work at a target of normal speed.
func (a *admissionRun) drawWork(mean time.Duration) time.Duration {
	sigma := math.Sqrt(math.Log(1 + workSpread*workSpread))
	x := math.Exp(sigma*a.random.NormFloat64()-sigma*sigma/2) / (1 + longWork*(longWorkFactor-1))
	if a.random.Float64() < longWork {
		x *= longWorkFactor
	}
	return time.Duration(x * float64(mean))
}
