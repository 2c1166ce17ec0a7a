package edge

import (
	"slices"
	"sync"
	"time"

	"github.com/redwingtally/redwingtally/coordination"
	"github.com/redwingtally/redwingtally/exchange"
	"github.com/redwingtally/redwingtally/relay"
)

const (
	// maxIdleRelayConnections bounds the number of idle connections of a host to one relay.
	maxIdleRelayConnections = 8
	// relayPoolIdleTimeout is the time without requests after which the connections to all relays are closed.
	relayPoolIdleTimeout = 5 * time.Second
)

// relayPool holds the known relays and the connections to them. It is safe for
// concurrent use.
type relayPool struct {
	edge     *Edge
	mu       sync.Mutex
	listed   []coordination.Relay // as last received
	selector *relay.Selector
	clients  map[relay.Relay]*exchange.Client // of relays that were used
	checks   map[relay.Relay]*relayCheck      // in progress
	idle     *time.Timer                      // closes idle connections
}

// newRelayPool returns a pool without relays.
func newRelayPool(e *Edge) *relayPool {
	p := &relayPool{
		edge:     e,
		selector: relay.NewSelector(relay.Options{Host: e.settings.Host, DataCentre: e.settings.DataCentre, Random: e.random}),
		clients:  map[relay.Relay]*exchange.Client{},
		checks:   map[relay.Relay]*relayCheck{},
	}
	p.idle = time.AfterFunc(relayPoolIdleTimeout, p.closeIdle)
	return p
}

// setRelays replaces the known relays if the list has changed.
func (p *relayPool) setRelays(listed []coordination.Relay) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !slices.Equal(listed, p.listed) {
		p.listed = listed
		p.replace(listed)
	}
}

// replace replaces the known relays and closes the idle connections to those that have left. The caller holds p.mu.
func (p *relayPool) replace(listed []coordination.Relay) {
	relays, known := make([]relay.Relay, 0, len(listed)), make(map[relay.Relay]bool, len(listed))
	for _, l := range listed {
		r := relay.Relay(l)
		relays, known[r] = append(relays, r), true
	}
	p.selector.SetRelays(relays)
	for r, client := range p.clients {
		if !known[r] {
			client.Close()
			delete(p.clients, r)
		}
	}
}

// count returns the number of known relays.
func (p *relayPool) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.selector.Len()
}

// choose selects a relay that is not among the tried hosts, or returns false.
func (p *relayPool) choose(tried []string) (relay.Ticket, *exchange.Client, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if silent, ok := p.selector.CheckDue(now); ok {
		p.startCheck(silent, p.client(silent.Relay))
	}
	t, ok := p.selector.Choose(now, tried)
	if !ok {
		return t, nil, false
	}
	return t, p.client(t.Relay), true
}

// client returns the client of a relay. The caller holds p.mu.
func (p *relayPool) client(r relay.Relay) *exchange.Client {
	client := p.clients[r]
	if client == nil {
		client = exchange.New(r.Address, exchange.Options{MaxIdle: maxIdleRelayConnections, Spawn: p.edge.submit, ReuseIDs: true, Memory: p.edge.responses}) // all checks have one ID
		p.clients[r] = client
	}
	return client
}

// done ends a request at a relay.
func (p *relayPool) done(t relay.Ticket, o relay.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.selector.Done(time.Now(), t, o)
	p.idle.Reset(relayPoolIdleTimeout)
}

// closeIdle closes the idle connections to all relays.
func (p *relayPool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, client := range p.clients {
		client.CloseIdle()
	}
}

// close closes the idle connections to all relays, and those that become idle later.
func (p *relayPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, client := range p.clients {
		client.Close()
	}
	clear(p.clients)
	p.idle.Stop()
}
