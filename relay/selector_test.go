package relay

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Unix(1000, 0)

// at returns a relay with the given name; its address follows from its position.
func at(host, dataCentre string, port uint16) Relay {
	return Relay{Host: host, DataCentre: dataCentre, Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port)}
}

// newSelector returns a Selector of host e0 in derby.
func newSelector(relays ...Relay) *Selector {
	s := NewSelector(Options{Host: "e0", DataCentre: "derby", Random: func() float64 { return 0 }})
	s.SetRelays(relays)
	return s
}

// choose returns the host that is chosen, or "" if there is none.
func choose(s *Selector, now time.Time, tried ...string) (string, Ticket) {
	t, ok := s.Choose(now, tried)
	if !ok {
		return "", t
	}
	return t.Relay.Host, t
}

func TestChoosePrefersTheOwnDataCentre(t *testing.T) {
	near, far := at("near", "derby", 1), at("far", "leicester", 2)
	tests := []struct {
		name      string
		nearCount int
		farCount  int
		tried     []string
		want      string
	}{
		{"idle", 0, 0, nil, "near"},
		{"somewhat busier", busierMargin, 0, nil, "near"},
		{"clearly busier", busierMargin + 1, 0, nil, "far"},
		{"twice as busy", 2*3 + busierMargin, 3, nil, "near"},
		{"more than twice as busy", 2*3 + busierMargin + 1, 3, nil, "far"},
		{"already tried", 0, 0, []string{"near"}, "far"},
		{"all tried", 0, 0, []string{"near", "far"}, ""},
		{"all full", maxInProgress, maxInProgress, nil, ""},
		{"near full", maxInProgress, maxInProgress - 1, nil, "far"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newSelector(far, near)
			s.relays[1].inProgress, s.relays[0].inProgress = test.nearCount, test.farCount
			got, _ := choose(s, start, test.tried...)
			qt.Check(t, got, qt.Equals, test.want)
		})
	}
}

func TestChooseSpreadsRequests(t *testing.T) {
	c := qt.New(t)
	random := 0.0
	s := newSelector(at("a", "derby", 1), at("b", "derby", 2), at("d", "derby", 3))
	s.options.Random = func() float64 { return random }
	counts := map[string]int{}
	for i := range 9 {
		random = float64(i) / 9
		host, _ := choose(s, start)
		counts[host]++
	}
	c.Check(counts, qt.DeepEquals, map[string]int{"a": 3, "b": 3, "d": 3})
	firsts := map[string]bool{}
	for i := range 3 {
		fresh := newSelector(at("a", "derby", 1), at("b", "derby", 2), at("d", "derby", 3))
		fresh.options.Random = func() float64 { return float64(i) / 3 }
		host, _ := choose(fresh, start)
		firsts[host] = true
	}
	c.Check(firsts, qt.HasLen, 3, qt.Commentf("hosts that choose at the same time choose the same relay"))
}

func TestFailuresPauseARelay(t *testing.T) {
	tests := []struct {
		name    string
		outcome Outcome
		paused  bool
	}{
		{"answered", Answered, false}, {"refused", Refused, true}, {"lost", Lost, true}, {"timed out", TimedOut, true}, {"abandoned", Abandoned, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newSelector(at("a", "derby", 1))
			_, ticket := choose(s, start)
			s.Done(start, ticket, test.outcome)
			host, _ := choose(s, start.Add(minPause-1))
			c.Check(host == "", qt.Equals, test.paused)
			host, _ = choose(s, start.Add(minPause))
			c.Check(host, qt.Equals, "a")
		})
	}
}

// The pause doubles up to its maximum with failures that follow each other, counts
// failures at the same time once, and starts anew after an answer.
func TestPauseGrows(t *testing.T) {
	c := qt.New(t)
	s, now := newSelector(at("a", "derby", 1)), start
	for _, want := range []time.Duration{100, 200, 400, 800, 1600, 2000, 2000} {
		want *= time.Millisecond
		tickets := make([]Ticket, 0, 3)
		for range 3 {
			host, ticket := choose(s, now)
			c.Assert(host, qt.Equals, "a")
			tickets = append(tickets, ticket)
		}
		s.Done(now, tickets[0], Lost)
		s.Done(now, tickets[1], Lost)
		s.Done(now, tickets[2], Answered) // was in progress before the failure
		host, _ := choose(s, now.Add(want-1))
		c.Check(host, qt.Equals, "", qt.Commentf("%s", want))
		now = now.Add(want)
	}
	_, ticket := choose(s, now)
	s.Done(now, ticket, Answered)
	_, ticket = choose(s, now)
	s.Done(now, ticket, Lost)
	host, _ := choose(s, now.Add(minPause))
	c.Check(host, qt.Equals, "a")
}

// A deadline that passes while other requests are answered says nothing of the relay.
func TestTimeoutOfAnAnsweringRelay(t *testing.T) {
	c := qt.New(t)
	s := newSelector(at("a", "derby", 1))
	_, slow := choose(s, start)
	_, quick := choose(s, start)
	s.Done(start.Add(time.Millisecond), quick, Answered)
	s.Done(start.Add(time.Second), slow, TimedOut)
	host, _ := choose(s, start.Add(time.Second))
	c.Check(host, qt.Equals, "a")
}

// Relays that stay in the list keep their state, a relay that starts again at another
// address does not, and requests at relays that have left may still end.
func TestSetRelays(t *testing.T) {
	c := qt.New(t)
	a, b := at("a", "derby", 1), at("b", "derby", 2)
	s := newSelector(a, b, at("e0", "derby", 9), Relay{Host: "none", DataCentre: "derby"})
	c.Check(s.Len(), qt.Equals, 2, qt.Commentf("the own host and hosts without an address are left out"))
	_, lost := choose(s, start, "b")
	_, gone := choose(s, start, "a")
	s.Done(start, lost, Lost)
	s.SetRelays([]Relay{a, at("b", "derby", 3)})
	s.Done(start, gone, Lost)
	host, _ := choose(s, start)
	c.Check(host, qt.Equals, "b", qt.Commentf("a is still paused; b is not"))
	s.SetRelays(nil)
	host, _ = choose(s, start)
	c.Check(host, qt.Equals, "")
}

func TestKnownRelaysAreBounded(t *testing.T) {
	many := make([]Relay, 0, maxKnown+10)
	for i := range maxKnown + 10 {
		many = append(many, at(fmt.Sprint("host-", i), "derby", uint16(i+1)))
	}
	s := newSelector(many...)
	qt.Check(t, s.Len(), qt.Equals, maxKnown)
	for range 10 {
		s.SetRelays(many)
	}
	qt.Check(t, s.Len(), qt.Equals, maxKnown)
}

// A silent relay gets no requests, however long its pause, until it answers.
func TestSilentRelay(t *testing.T) {
	r := at("a", "derby", 1)
	answers := []struct {
		name   string
		answer func(s *Selector, now time.Time, t Ticket)
		usable bool
	}{
		{"none", func(*Selector, time.Time, Ticket) {}, false},
		{"response", func(s *Selector, now time.Time, t Ticket) { s.Done(now, t, Answered) }, true},
		{"check", func(s *Selector, now time.Time, t Ticket) { s.Checked(now, t, true) }, true},
		{"timeout", func(s *Selector, now time.Time, t Ticket) { s.Done(now, t, TimedOut) }, false},
		{"refusal", func(s *Selector, now time.Time, t Ticket) { s.Done(now, t, Refused) }, false},
		{"no answer to a check", func(s *Selector, now time.Time, t Ticket) { s.Checked(now, t, false) }, false},
	}
	for _, test := range answers {
		for _, after := range []time.Duration{0, minPause} {
			t.Run(fmt.Sprint(test.name, " after ", after), func(t *testing.T) {
				c := qt.New(t)
				s := newSelector(r)
				_, ticket := choose(s, start)
				s.Checked(start, ticket, false)
				now := start.Add(after)
				host, _ := choose(s, now)
				c.Check(host, qt.Equals, "")
				again, due := s.CheckDue(now)
				c.Check(due, qt.Equals, after > 0)
				if due {
					c.Check(again.Relay, qt.Equals, r)
				}
				test.answer(s, now, ticket)
				host, _ = choose(s, now)
				c.Check(host == "a", qt.Equals, test.usable)
			})
		}
	}
}

func TestSilentFor(t *testing.T) {
	c := qt.New(t)
	s := newSelector(at("a", "derby", 1))
	_, first := choose(s, start)
	_, second := choose(s, start.Add(time.Second))
	c.Check(s.SilentFor(start.Add(2*time.Second), first), qt.Equals, 2*time.Second)
	c.Check(s.SilentFor(start.Add(2*time.Second), second), qt.Equals, time.Second)
	s.Done(start.Add(1500*time.Millisecond), second, Answered)
	c.Check(s.SilentFor(start.Add(2*time.Second), first), qt.Equals, 500*time.Millisecond)
	_, third := choose(s, start.Add(2*time.Second))
	c.Check(s.SilentFor(start.Add(2*time.Second), third), qt.Equals, time.Duration(0))
}
