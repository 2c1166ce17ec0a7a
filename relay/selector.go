package relay

import (
	"slices"
	"time"
)

const (
	// maxKnown bounds the number of known relays.
	maxKnown = 1024
	// maxInProgress bounds the requests in progress at one relay, and with them the connections to it.
	maxInProgress = 128
	// minPause and maxPause bound the time for which a relay gets no requests after a failure. The pause doubles with
	// every failure that follows it.
	minPause = 100 * time.Millisecond
	maxPause = 2 * time.Second
	// busierFactor and busierMargin define when the relays of the own data centre are clearly busier: when the least busy
	// of them has more requests in progress than busierFactor times those of the least busy other one plus busierMargin.
	busierFactor = 2
	busierMargin = 4
)

// Outcome is how an exchange with a relay ended.
type Outcome int

const (
	// Answered means that the relay took the request and answered it.
	Answered Outcome = iota
	// Refused means that the relay did not take the request.
	Refused
	// Lost means that the relay was not reached or its connection failed.
	Lost
	// TimedOut means that no response arrived by the deadline. The relay failed only if it was silent all the while;
	// otherwise a target may be slow.
	TimedOut
	// Abandoned means that the exchange ended for a reason that does not lie with the relay.
	Abandoned
)

// Options configure a Selector.
type Options struct {
	// Host and DataCentre are those of this host, which is not a relay of its own requests.
	Host       string
	DataCentre string
	// Random returns a number in [0, 1).
	Random func() float64
}

// Selector selects the relay for a request. It has no I/O and no clock, and is not
// safe for concurrent use.
type Selector struct {
	options Options
	relays  []*relayState
}

// relayState is what a Selector knows of a relay.
type relayState struct {
	Relay
	inProgress   int
	pause        time.Duration // the last pause; 0 after an answer
	pausedUntil  time.Time
	lastResponse time.Time
	silent       bool // found to accept connections at most; usable again when it answers
}

// Ticket is a request at a relay. Done takes it back.
type Ticket struct {
	Relay  Relay
	SentAt time.Time
	state  *relayState
}

// NewSelector returns a Selector without relays.
func NewSelector(o Options) *Selector { return &Selector{options: o} }

// SetRelays replaces the known relays. What is known of those that stay is kept.
// Relays beyond maxKnown are ignored.
func (s *Selector) SetRelays(relays []Relay) {
	old := make(map[Relay]*relayState, len(s.relays))
	for _, r := range s.relays {
		old[r.Relay] = r
	}
	s.relays = s.relays[:0:0]
	for _, r := range relays {
		if r.Host == s.options.Host || !r.Address.IsValid() {
			continue
		}
		if len(s.relays) == maxKnown {
			return
		}
		state := old[r]
		if state == nil {
			state = &relayState{Relay: r}
		}
		delete(old, r) // a relay that is listed twice gets a state of its own
		s.relays = append(s.relays, state)
	}
}

// Len returns the number of known relays.
func (s *Selector) Len() int { return len(s.relays) }

// Choose selects a relay that is not paused and not among the tried hosts, and counts a
// request at it. It returns false if there is none.
func (s *Selector) Choose(now time.Time, tried []string) (Ticket, bool) {
	near := s.leastBusy(now, tried, true)
	far := s.leastBusy(now, tried, false)
	chosen := near
	if near == nil || far != nil && near.inProgress > busierFactor*far.inProgress+busierMargin {
		chosen = far
	}
	if chosen == nil {
		return Ticket{}, false
	}
	chosen.inProgress++
	return Ticket{Relay: chosen.Relay, SentAt: now, state: chosen}, true
}

// leastBusy returns the usable relay with the fewest requests in progress, within the own data
// centre or outside it, or nil. Equals are chosen at random, as other hosts choose too.
func (s *Selector) leastBusy(now time.Time, tried []string, near bool) *relayState {
	var least *relayState
	start := 0
	if len(s.relays) > 0 {
		start = int(s.options.Random()*float64(len(s.relays))) % len(s.relays)
	}
	for i := range s.relays {
		r := s.relays[(start+i)%len(s.relays)]
		usable := r.inProgress < maxInProgress && !r.silent && !now.Before(r.pausedUntil) && !slices.Contains(tried, r.Host)
		if usable && (r.DataCentre == s.options.DataCentre) == near && (least == nil || r.inProgress < least.inProgress) {
			least = r
		}
	}
	return least
}

// Done ends a request at a relay.
func (s *Selector) Done(now time.Time, t Ticket, o Outcome) {
	r := t.state
	r.inProgress--
	switch {
	case o == Answered:
		r.answered(now)
		if !now.Before(r.pausedUntil) { // else a request from before the failure ended
			r.pause = 0
		}
		return
	case o == Refused:
		r.answered(now)
	case o == Abandoned, o == TimedOut && r.lastResponse.After(t.SentAt):
		return
	}
	r.fail(now)
}

// SilentFor returns for how long a relay has not answered any request since it was sent that of the ticket.
func (s *Selector) SilentFor(now time.Time, t Ticket) time.Duration {
	if t.state.lastResponse.After(t.SentAt) {
		return now.Sub(t.state.lastResponse)
	}
	return now.Sub(t.SentAt)
}

// Checked records whether a relay has answered a check. One that has not gets no requests until it answers.
func (s *Selector) Checked(now time.Time, t Ticket, answered bool) {
	if answered {
		t.state.answered(now)
		return
	}
	t.state.silent = true
	t.state.fail(now)
}

// CheckDue returns a silent relay whose pause has passed, to be checked again, or false if there is none.
func (s *Selector) CheckDue(now time.Time) (Ticket, bool) {
	for _, r := range s.relays {
		if r.silent && !now.Before(r.pausedUntil) {
			return Ticket{Relay: r.Relay, SentAt: now, state: r}, true
		}
	}
	return Ticket{}, false
}

// answered records a response of the relay.
func (r *relayState) answered(now time.Time) {
	r.lastResponse = now
	if r.silent {
		r.silent, r.pause, r.pausedUntil = false, 0, time.Time{}
	}
}

// fail pauses the relay. The failures of requests in progress at the same time count once.
func (r *relayState) fail(now time.Time) {
	if now.Before(r.pausedUntil) {
		return
	}
	r.pause = min(maxPause, max(minPause, 2*r.pause))
	r.pausedUntil = now.Add(r.pause)
}
