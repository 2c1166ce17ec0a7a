package edge

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/redwingtally/redwingtally/exchange"
	"github.com/redwingtally/redwingtally/platform"
	"github.com/redwingtally/redwingtally/relay"
)

const (
	// relaySilence is how long a relay may answer nothing before it is checked. Its targets may be slow.
	relaySilence = 200 * time.Millisecond
	// relayCheckTimeout bounds the check, which needs no target.
	relayCheckTimeout = 250 * time.Millisecond
	// relayCheckID is the request ID of a check.
	relayCheckID = "relay-check"
)

// relayCheck is a check of whether a relay answers.
type relayCheck struct {
	done     chan struct{}
	answered bool // valid once done is closed
}

// watchRelay returns the context of an exchange with a relay. It is cancelled when the relay is found to be silent and
// another one may serve the request; its retry is then taken. detach ends the watch and reports whether that has
// happened.
func (q *request) watchRelay(ctx context.Context, t relay.Ticket, client *exchange.Client, attempts int) (_ context.Context, detach func() bool) {
	watched, cancel := context.WithCancel(ctx)
	mayRepeat := q.attemptsLeft() > attempts && len(q.triedRelays) < maxRelays
	var (
		mu             sync.Mutex // guards the variables below, and q as long as the watch has not ended
		timer          *time.Timer
		ended, givenUp bool
	)
	check := func() {
		answered := q.edge.relays.answers(ctx, t, client)
		mu.Lock()
		defer mu.Unlock()
		switch {
		case ended:
		case answered:
			timer.Reset(relaySilence)
		case mayRepeat && q.takeRetry(ctx, true):
			givenUp = true
			cancel()
		}
	}
	mu.Lock()
	defer mu.Unlock()
	timer = time.AfterFunc(relaySilence, check)
	return watched, func() bool {
		mu.Lock()
		defer mu.Unlock()
		ended = true
		timer.Stop()
		return givenUp
	}
}

// answers reports whether a relay has answered lately or answers a check.
func (p *relayPool) answers(ctx context.Context, t relay.Ticket, client *exchange.Client) bool {
	p.mu.Lock()
	if p.selector.SilentFor(time.Now(), t) < relaySilence {
		p.mu.Unlock()
		return true
	}
	c := p.startCheck(t, client)
	p.mu.Unlock()
	select {
	case <-c.done:
		return c.answered
	case <-ctx.Done():
		return true
	}
}

// startCheck checks a relay unless a check is in progress. The caller holds p.mu.
func (p *relayPool) startCheck(t relay.Ticket, client *exchange.Client) *relayCheck {
	c := p.checks[t.Relay]
	if c == nil {
		c = &relayCheck{done: make(chan struct{})}
		p.checks[t.Relay] = c
		go p.check(t, client, c)
	}
	return c
}

// check sends a check to a relay. A connection that fails counts as an answer: a relay that stops refuses new ones and
// finishes its requests.
func (p *relayPool) check(t relay.Ticket, client *exchange.Client, c *relayCheck) {
	ctx, cancel := context.WithTimeout(context.Background(), relayCheckTimeout)
	defer cancel()
	h := http.Header{}
	relay.SetCheck(h)
	platform.SetRequestMeta(h, platform.RequestMeta{ID: relayCheckID})
	resp, err := client.Do(ctx, &exchange.Request{Method: http.MethodGet, URI: "/", Host: t.Relay.Host, Header: h, ID: relayCheckID})
	if err == nil {
		resp.Close()
	}
	c.answered = ctx.Err() == nil && !eris.Is(err, exchange.ErrTimeout) && !eris.Is(err, exchange.ErrUnreachable)
	p.mu.Lock()
	p.selector.Checked(time.Now(), t, c.answered)
	delete(p.checks, t.Relay)
	p.mu.Unlock()
	if !c.answered {
		client.CloseIdle()
		p.edge.log.Warn("relay: Relay does not answer.", "relay", t.Relay.Host, "error", errorText(err))
	}
	close(c.done)
}

// answerCheck answers a check of another host.
func answerCheck(w http.ResponseWriter) {
	platform.SetRequestID(w.Header(), relayCheckID)
	w.WriteHeader(http.StatusServiceUnavailable) // a success would need a target's signature
}
