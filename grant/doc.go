// Package grant assigns shards to servers so that each shard has at most one
// owner at any time.
//
// A server is a target in its role of holding leases and voting on terms. A Holder
// is a daemon's side of the protocol: the daemon that holds a group grants leases
// on shards to the group's servers, under a Term, which acts as a fencing token. A
// Voter is the server's side, for servers that check grants. The voters on
// a term are these servers and the platform's store; a majority decides. Holder
// and Voter are deterministic state machines: messages and the current time are
// arguments, and orders are return values.
//
// Time is divided into rounds. A holder's evidence is the start of the latest
// round that a majority of voters accepted under its term. At that time, no higher
// term had a majority.
//
// The rules, with the numbers used in docs/DESIGN.md:
//
//	R1  A term is in force once a majority of voters has accepted it.
//	R2  A new holder renews only leases that are reported after it has its
//	    majority. Every other shard stays without owner until all leases of
//	    older terms have expired.
//	R3  A shard is assigned to another server only on evidence from after the
//	    old lease expired or was released.
//	R4  Orders and requests carry a deadline that is derived from the evidence.
//	R5  A server votes only once its uptime exceeds the lifetime of everything
//	    that it may have forgotten in a restart.
//	R6  Not used: a holder whose evidence has expired keeps its term and acts
//	    again once it has new evidence. R5 makes this safe, see docs/DESIGN.md.
//	R7  A holder has at most one order of unknown outcome per server.
//
// # Usage
//
//	h := grant.New(grant.Config{Group: "stockroom", Servers: names, ChecksGrants: true, Shards: 64})
//	h.Campaign(now)
//	out := h.Tick(now)                  // send out.Orders and call the store
//	h.ServerAck(now, "s1", ack)         // for each reply
//	owner, ok := h.Owner(now, shard)    // the server to send a request to
package grant
