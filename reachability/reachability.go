// Package reachability decides whether a host has lost the path to all targets.
//
// A Tracker is a state machine without I/O: signs of life of targets, failures and the
// current time are arguments, and the probes to be made are return values. It has no
// clock, sockets or goroutines, and is not safe for concurrent use. A host has one
// Tracker for the targets of all services.
//
// A host suspects that it is cut off if
//   - requests at two or more distinct targets fail, or wait for silenceTimeout, and no
//     response of any target comes in between, or
//   - connections to two or more distinct targets cannot be opened, and none is opened in
//     between. Responses on open connections don't count here, as these may live on while
//     all new ones are refused.
//
// A suspicion proves nothing: targets end, and work takes long. It makes a round of probes
// due, which are attempts to open a connection to distinct targets. If one opens, the
// suspicion has ended, and the next round is due after a backoff at the earliest. If none
// opens, the host is cut off, at once if the probes timed out after a silence, and else
// after a second round to other targets: processes that end refuse connections at once, and
// a third of the targets may have ended.
//
// While the host is cut off, one probe is due at a time. When one opens its connection and
// one of a round to other targets does too, the cut has ended. A third of those may have ended
// their processes meanwhile, so that asking for most of them would prolong the cut.
//
// # Usage
//
//	t := reachability.New(reachability.Options{Targets: len(targets)})
//	t.Sent(now, target)
//	t.Responded(now) // or t.Failed(now, target)
//	t.Ended(target)
//	if n := t.ProbesDue(now); n > 0 {
//		succeeded, closed := probe(n)
//		if t.RecordProbes(now, succeeded, closed, n-succeeded-closed) { report(t.CutOff()) }
//	}
package reachability

import "time"

const (
	// silenceTimeout is how long nothing may come from any target while requests wait. Work may take longer.
	silenceTimeout = 500 * time.Millisecond
	// recentResponse is the age up to which a response speaks against a cut.
	recentResponse = 250 * time.Millisecond
	// suspiciousTargets is the number of distinct targets whose failures make a suspicion.
	suspiciousTargets = 2
	// stronglySuspiciousTargets is the number that makes a round due before the backoff ends.
	stronglySuspiciousTargets = 4
	// roundSize is the number of probes of a round that checks a suspicion.
	roundSize = 4
	// endRoundSize is the number of probes of a round that checks whether a cut has ended.
	endRoundSize = 3
	// answeredLately is the age of a response up to which connections that are closed at once are put down to targets that
	// have too many.
	answeredLately = 500 * time.Millisecond
	// slowRound is the time above which the host itself may have been suspended during a round.
	slowRound = 600 * time.Millisecond
	// quickRound is the time below which failed probes were refused, by ended processes maybe, and did not time out.
	quickRound = 150 * time.Millisecond
	// cutOffProbeInterval is the time from one probe of a host that is cut off to the next.
	cutOffProbeInterval = 500 * time.Millisecond
	// minBackoff and maxBackoff bound the time from a round that ended a suspicion to the next one.
	minBackoff = time.Second
	maxBackoff = 8 * time.Second
	// calmTime is the time without rounds after which the backoff starts anew.
	calmTime = 2 * maxBackoff
)

// Options configure a Tracker.
type Options struct {
	// Targets is the number of known targets.
	Targets int
}

// A round is what probes are made for.
type round int

const (
	noRound         round = iota
	suspicionRound        // checks a suspicion
	confirmingRound       // checks it at other targets
	cutOffProbe           // looks whether a cut has ended
	endRound              // confirms that it has
)

// waiting describes the requests in progress at a target.
type waiting struct {
	requests int
	since    time.Time // when the first of an unbroken series of requests was sent
}

// A Tracker decides whether its host is cut off from all targets.
type Tracker struct {
	targets     int
	failed      map[string]struct{} // targets of failures since the last response
	dialsFailed map[string]struct{} // targets of failed connection attempts since the last one that succeeded
	waiting     map[string]*waiting // by target
	responded   time.Time           // when a target last responded

	round     round // round whose probes are being made
	due       round // round that is due at once
	started   time.Time
	ended     time.Time // when the last round ended
	nextRound time.Time
	backoff   time.Duration // from the next round that ends a suspicion
	cutOff    bool
	changedAt time.Time // when cutOff last changed
}

// New returns a Tracker of a host that is not cut off.
func New(o Options) *Tracker {
	return &Tracker{
		targets: o.Targets, failed: map[string]struct{}{}, dialsFailed: map[string]struct{}{}, waiting: map[string]*waiting{}, backoff: minBackoff,
	}
}

// SetTargets sets the number of known targets.
func (t *Tracker) SetTargets(n int) { t.targets = n }

// Responded records a response of any target.
func (t *Tracker) Responded(now time.Time) {
	t.responded = now
	clear(t.failed)
}

// Opened records that a connection to any target was opened.
func (t *Tracker) Opened() { clear(t.dialsFailed) }

// Failed records that a request to a target got no response: its connection failed or
// its time ran out.
func (t *Tracker) Failed(target string) { t.failed[target] = struct{}{} }

// DialFailed records that no connection to a target could be opened.
func (t *Tracker) DialFailed(target string) {
	t.failed[target] = struct{}{}
	t.dialsFailed[target] = struct{}{}
}

// Sent records that a request is sent to a target.
func (t *Tracker) Sent(now time.Time, target string) {
	w := t.waiting[target]
	if w == nil {
		w = &waiting{since: now}
		t.waiting[target] = w
	}
	w.requests++
}

// Ended records the end of a request, whatever its result.
func (t *Tracker) Ended(target string) {
	if w := t.waiting[target]; w != nil {
		if w.requests--; w.requests == 0 {
			delete(t.waiting, target)
		}
	}
}

// CutOff reports whether the host has lost all targets.
func (t *Tracker) CutOff() bool { return t.cutOff }

// Silent reports whether no target has responded lately.
func (t *Tracker) Silent(now time.Time) bool { return now.Sub(t.responded) >= recentResponse }

// Suspect reports whether a target counts towards a suspicion, so that probes of other
// targets tell more. During a cut the last failures tell nothing of a target.
func (t *Tracker) Suspect(target string) bool {
	if t.cutOff {
		return false
	}
	_, failed := t.failed[target]
	_, dialFailed := t.dialsFailed[target]
	return failed || dialFailed
}

// ProbesDue returns the number of distinct targets that are to be probed now. Unless it is
// 0, RecordProbes must follow, and nothing further is due before.
func (t *Tracker) ProbesDue(now time.Time) int {
	if t.round != noRound || t.targets <= 0 {
		return 0
	}
	switch {
	case t.due != noRound:
		t.round, t.due = t.due, noRound
	case t.cutOff && !now.Before(t.nextRound):
		t.round = cutOffProbe
	case !t.cutOff && t.suspicionDue(now):
		t.round = suspicionRound
	default:
		return 0
	}
	t.started = now
	size := roundSize
	switch t.round {
	case cutOffProbe:
		size = 1
	case endRound:
		size = endRoundSize
	}
	return min(size, t.targets)
}

// suspicionDue reports whether there is a suspicion and its round is due.
func (t *Tracker) suspicionDue(now time.Time) bool {
	needed := min(suspiciousTargets, t.targets)
	suspects := t.suspects(now)
	if now.Before(t.nextRound) {
		strong := suspects >= min(stronglySuspiciousTargets, t.targets) && len(t.failed) >= needed && t.Silent(now)
		return strong && !now.Before(t.ended.Add(minBackoff))
	}
	return suspects >= needed || len(t.dialsFailed) >= needed
}

// suspects returns the number of targets that have failed, or have kept requests waiting
// for silenceTimeout, since the last response of any target.
func (t *Tracker) suspects(now time.Time) int {
	n := len(t.failed)
	if now.Sub(t.responded) < silenceTimeout {
		return n
	}
	for target, w := range t.waiting {
		if _, counted := t.failed[target]; !counted && now.Sub(w.since) >= silenceTimeout {
			n++
		}
	}
	return n
}

// RecordProbes records the results of the probes that were due: the numbers of connections that opened, were
// closed at once, and failed to open. It reports whether they change the result of CutOff.
func (t *Tracker) RecordProbes(now time.Time, succeeded, closed, failed int) (changed bool) {
	kind, took := t.round, now.Sub(t.started)
	t.round, t.ended = noRound, now
	switch {
	case succeeded+closed+failed == 0:
		t.nextRound = now.Add(minBackoff)
	case kind == cutOffProbe && succeeded > 0:
		t.due = endRound
	case kind == endRound && succeeded > 0:
		t.setCutOff(now, false)
		return true
	case kind == cutOffProbe, kind == endRound:
		t.nextRound = t.started.Add(cutOffProbeInterval)
	case succeeded > 0:
		t.endSuspicion(now)
	case closed > 0 && now.Sub(t.responded) < answeredLately:
		t.nextRound = t.responded.Add(answeredLately) // overloaded targets close new connections and respond on open ones
	case kind == suspicionRound && (took < quickRound || took > slowRound || t.started.Sub(t.responded) < recentResponse):
		t.due = confirmingRound
	case kind == suspicionRound, kind == confirmingRound:
		t.setCutOff(now, true)
		return true
	}
	return false
}

// endSuspicion forgets the failures and makes the next round wait for the backoff.
func (t *Tracker) endSuspicion(now time.Time) {
	clear(t.failed)
	clear(t.dialsFailed)
	if now.Sub(t.nextRound) > calmTime {
		t.backoff = minBackoff
	}
	t.nextRound = now.Add(t.backoff)
	t.backoff = min(2*t.backoff, maxBackoff)
}

// setCutOff begins or ends a cut.
func (t *Tracker) setCutOff(now time.Time, cutOff bool) {
	t.cutOff, t.changedAt = cutOff, now
	clear(t.failed)
	clear(t.dialsFailed)
	t.backoff, t.nextRound = minBackoff, now.Add(cutOffProbeInterval)
}

// A State is the state of a Tracker for state dumps and the log.
type State struct {
	CutOff bool `json:"cut_off"`
	// Age is the time since CutOff changed, or 0 if it never did.
	Age time.Duration `json:"age"`
	// Silence is the time since the last response, or 0 if there was none.
	Silence time.Duration `json:"silence"`
	Targets int           `json:"targets"`
	// Failed and DialsFailed are the numbers of targets that failed since the last response and the last opened connection.
	Failed      int `json:"failed"`
	DialsFailed int `json:"dials_failed"`
	// Waiting is the number of targets with requests in progress.
	Waiting int           `json:"waiting"`
	Backoff time.Duration `json:"backoff"`
}

// State returns the state of the tracker.
func (t *Tracker) State(now time.Time) State {
	s := State{CutOff: t.cutOff, Targets: t.targets, Failed: len(t.failed), DialsFailed: len(t.dialsFailed), Waiting: len(t.waiting), Backoff: t.backoff}
	if !t.changedAt.IsZero() {
		s.Age = now.Sub(t.changedAt)
	}
	if !t.responded.IsZero() {
		s.Silence = now.Sub(t.responded)
	}
	return s
}
