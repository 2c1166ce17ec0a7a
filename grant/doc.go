// Package grant gives each shard at most one owner at any moment.
//
// A Holder works under a Term and gives servers leases on shards. A Voter is
// the rule that a checking server follows; together with the platform's store,
// the checking servers of a group vote for terms, and a majority decides. Both
// are plain state machines: messages and the time come in, orders come out.
//
// The rules, by the numbers that the design page uses:
//
//	R1  A term counts once a majority of voters has accepted it.
//	R2  A new holder extends only leases that were reported after its majority
//	    stood; every other shard waits until no older lease can live.
//	R3  A shard is given to another server only with evidence gathered after
//	    the old lease lapsed or was given up.
//	R4  Orders and requests carry a deadline that follows from the evidence.
//	R5  A server votes only when it has been up for longer than anything that
//	    it may have forgotten can last.
//	R6  Not used: a holder whose evidence lapsed keeps its term and acts again
//	    once it has fresh evidence. R5 makes that safe; docs/DESIGN.md says why.
//	R7  A holder has at most one order to a server whose fate is unknown.
//
// # Usage
//
//	h := grant.New(grant.Config{Group: "stockroom", Servers: names, Checks: true, Shards: 64})
//	h.Campaign(now)
//	out := h.Tick(now)                  // send out.Orders, call the store
//	h.ServerAck(now, "s1", ack)         // as answers arrive
//	owner, ok := h.Owner(now, shard)    // where a request goes
package grant
