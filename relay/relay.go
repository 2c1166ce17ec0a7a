// Package relay implements the parts of passing requests on between hosts that
// need no network and no clock.
//
// A host that has lost its path to all targets (a host that is cut off) passes its
// callers' requests on to another host, the relay, which serves them like requests
// of its own. The package holds what both sides agree on:
//
//   - A Request is what the sender states with a request in headers of its own.
//     They replace any headers of these names that the caller sent.
//   - A Result is what the relay states with its response: whether the response is
//     that of a target, and otherwise whether the request may have run and whether
//     another relay may take it.
//   - A Selector selects the relay for the next request.
//
// A relay that answers nothing for a while is checked, and gets no requests from when a check
// goes unanswered until it answers one; see Selector.Checked.
//
// A relayed request is never relayed again. The relay serves relayed requests on a
// listener of its own, which callers do not reach, and trusts no header for it.
//
// A relay that may have run a request more often than it states, because it was lost
// on the way, is counted with all the attempts that it was allowed. The sender
// therefore allows a relay fewer attempts than it has left if it could use the rest
// at another one; see AttemptsFor.
//
// # Usage
//
// The sender:
//
//	s := relay.NewSelector(relay.Options{Host: "e1", DataCentre: "derby", Random: rand.Float64})
//	s.SetRelays(relays)
//	ticket, ok := s.Choose(now, tried)
//	relay.Request{Configuration: 12, Attempts: 1}.Set(header)
//	response, err := client(ticket.Relay).Do(ctx, request)
//	s.Done(now, ticket, relay.Answered)
//	result, err := relay.ReadResult(response.Header)
//	relay.Strip(response.Header)
//
// The relay:
//
//	stated, err := relay.ReadRequest(header)
//	relay.Strip(header)
//	...
//	relay.Result{Kind: relay.Response, Runs: 1}.Set(responseHeader)
package relay

import "net/netip"

// Relay is a host that serves requests that other hosts pass on.
type Relay struct {
	Host       string
	Address    netip.AddrPort
	DataCentre string
}

// AttemptsFor returns how many of the left attempts of a request a relay may use. One
// is kept for another relay, in case this one is lost with the request.
func AttemptsFor(left int) int { return max(1, left-1) }
