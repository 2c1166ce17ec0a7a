package coordination

import (
	"context"
	"fmt"
	"reflect"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A waitingReport receives the reply to a report that waits at the coordinator.
type waitingReport chan *Reply

// startReport sends a report that waits for a minute. Its sender has the list that the coordinator selects for it.
func startReport(t *testing.T, l *leader, r *Report) waitingReport {
	r.Wait = time.Minute
	r.FeedVersions = l.member.options.Feed.ConfirmedVersions()
	l.mu.Lock()
	r.KnownRelays = l.buildReply(r).RelaysVersion
	l.mu.Unlock()
	w := make(waitingReport, 1)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() {
		if reply, err := l.sync(ctx, r); err == nil {
			w <- reply
		}
	}()
	return w
}

// answered returns the reply if it arrives within a short time, and nil otherwise.
func (w waitingReport) answered() *Reply {
	select {
	case reply := <-w:
		return reply
	case <-time.After(8 * summaryMaxAge): // a change reaches the waiting reports of a small fleet within summaryMaxAge
		return nil
	}
}

// Waiting reports are answered when a relay of their sender is lost, and others are not.
func TestLostRelaysWakeTheirSenders(t *testing.T) {
	const hosts, dataCentres = 24, 2
	tests := []struct {
		name   string
		change func(r *Report)
		lost   bool
	}{
		{"cut off", func(r *Report) { r.CutOff = true }, true},
		{"stopping", func(r *Report) { r.AcceptsRelayed = false }, true},
		{"usable", func(*Report) {}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			l := newRelayLeader(hosts, dataCentres)
			lost := relayReport(5, dataCentres)
			var with, without waitingReport
			for i := range hosts {
				r := relayReport(i, dataCentres)
				if i == 5 {
					continue
				}
				if has := slices.Contains(hostsOf(l.listOf(r)), lost.Host); has && with == nil {
					with = startReport(t, l, r)
				} else if !has && without == nil {
					without = startReport(t, l, r)
				}
			}
			c.Assert(with != nil && without != nil, qt.IsTrue)
			test.change(lost)
			_, err := l.sync(context.Background(), lost)
			c.Assert(err, qt.IsNil)
			reply := with.answered()
			c.Check(reply != nil, qt.Equals, test.lost)
			if reply != nil {
				c.Check(reply.Relays, qt.HasLen, maxRelays)
				c.Check(slices.Contains(hostsOf(reply.Relays), lost.Host), qt.IsFalse)
			}
			c.Check(without.answered(), qt.IsNil)
		})
	}
}

// A waiting report is answered when its sender is cut off and has no relay, and one appears.
func TestCutOffHostsGetTheirFirstRelayAtOnce(t *testing.T) {
	for _, cutOff := range []bool{true, false} {
		c := qt.New(t)
		l := newRelayLeader(0, 1)
		sender := relayReport(0, 1)
		sender.CutOff = cutOff
		l.applyReport(sender)
		w := startReport(t, l, sender)
		c.Check(w.answered(), qt.IsNil)
		_, err := l.sync(context.Background(), relayReport(1, 1))
		c.Assert(err, qt.IsNil)
		reply := w.answered()
		c.Check(reply != nil, qt.Equals, cutOff)
		if reply != nil {
			c.Check(hostsOf(reply.Relays), qt.DeepEquals, []string{"host-1"})
		}
	}
}

// A report that waits without a list is answered when its sender reports that it is cut off.
func TestHostThatIsCutOffGetsItsListAtOnce(t *testing.T) {
	for _, cutOff := range []bool{true, false} {
		c := qt.New(t)
		l := newRelayLeader(4, 1)
		sender := relayReport(0, 1)
		sender.AcceptsRelayed = false
		l.applyReport(sender)
		waiting := *sender
		waiting.Wait, waiting.FeedVersions = time.Minute, l.member.options.Feed.ConfirmedVersions()
		w := make(waitingReport, 1)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() {
			if reply, err := l.sync(ctx, &waiting); err == nil {
				w <- reply
			}
		}()
		c.Check(w.answered(), qt.IsNil)
		sender.CutOff = cutOff
		_, err := l.sync(ctx, sender)
		c.Assert(err, qt.IsNil)
		reply := w.answered()
		c.Check(reply != nil && len(reply.Relays) == 3, qt.Equals, cutOff)
	}
}

// When many hosts are cut off within a short time, waiting reports are woken a few times only.
func TestChangesOfRelaysAreRateLimited(t *testing.T) {
	const hosts, dataCentres = 60, 3
	c := qt.New(t)
	l := newRelayLeader(hosts, dataCentres)
	var mu sync.Mutex
	var list []string
	replies := 0
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { // a host that reports as soon as it has a reply
		r := relayReport(hosts-1, dataCentres)
		r.FeedVersions = l.member.options.Feed.ConfirmedVersions()
		for ; ; r.Wait = time.Minute {
			reply, err := l.sync(ctx, r)
			if err != nil {
				return
			}
			mu.Lock()
			if replies++; reply.RelaysVersion != 0 {
				r.KnownRelays, list = reply.RelaysVersion, hostsOf(reply.Relays)
			}
			mu.Unlock()
		}
	}()
	cutOff := map[string]bool{}
	wakes, start := 0, time.Now()
	for i := range hosts / 2 {
		r := relayReport(i, dataCentres)
		r.CutOff = true
		cutOff[r.Host] = true
		l.mu.Lock()
		woken := l.changed
		l.applyReport(r)
		l.mu.Unlock()
		time.Sleep(4 * time.Millisecond) // spreads the changes over 120 ms
		l.mu.Lock()
		if l.changed != woken {
			wakes++
		}
		l.mu.Unlock()
	}
	most := int(time.Since(start)/(hosts*viewIntervalPerHost)) + 2
	c.Check(wakes >= 1 && wakes <= most, qt.IsTrue, qt.Commentf("%d wakes, want at most %d", wakes, most))
	waitFor(t, "the list has no host that is cut off", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(list) == maxRelays && !slices.ContainsFunc(list, func(host string) bool { return cutOff[host] })
	})
	mu.Lock()
	defer mu.Unlock()
	c.Check(replies <= most+1, qt.IsTrue, qt.Commentf("%d replies, want at most %d", replies, most+1))
}

// A coordinator's own host has a list like the others, and is in theirs.
func TestCoordinatorsHostIsARelayToo(t *testing.T) {
	hosts := startHosts(t, 3, func(o *Options) {
		o.RelayAddress, o.DataCentre, o.AcceptsRelayed = o.Address, "x", func() bool { return true }
	})
	for i, h := range hosts {
		waitFor(t, "the two other hosts are relays", func() bool {
			want := map[string]bool{}
			for j := range hosts {
				want[fmt.Sprint("h", j)] = j != i
			}
			got := map[string]bool{fmt.Sprint("h", i): false}
			for _, relay := range h.State().Relays {
				got[relay.Host] = relay.DataCentre == "x" && relay.Address.IsValid()
			}
			return reflect.DeepEqual(got, want)
		})
	}
}
