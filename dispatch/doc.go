// Package dispatch decides which waiting request goes to which target.
//
// A Core is a plain state machine: requests, results and the time come in as
// arguments, decisions come out. It has no clock, no sockets and no goroutines,
// and is not safe for concurrent use.
//
// Requests wait in one queue per class. Better ranks go first; a request that
// has waited longer than its class's ageing gets a bounded share of the slots
// all the same. Long requests never take the last free slot of a target.
// Requests that cannot meet their deadline are refused before they run. A
// request that was running when a target crashed runs alone the next time, and
// is set aside when it crashes a second target.
//
// # Usage
//
//	core := dispatch.New(cfg)
//	core.SetTarget(now, dispatch.TargetSpec{Name: "s1", Slots: 2})
//	if refusal := core.Add(now, req); refusal != nil { ... }
//	for r, ok := core.Next(now); ok; r, ok = core.Next(now) { send(r) }
//	verdict := core.Done(now, r, dispatch.ResultOK)
//	for _, r := range core.TakeRefused() { ... }
package dispatch
