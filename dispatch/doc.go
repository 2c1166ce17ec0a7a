// Package dispatch queues requests and assigns them to targets.
//
// A Dispatcher is a deterministic state machine: requests, results and the current
// time are arguments, and dispatch decisions are return values. It has no clock,
// no sockets and no goroutines, and is not safe for concurrent use.
//
// Requests are queued by class. Lower ranks are dispatched first. To
// prevent starvation, at most one dispatch in ten goes to a request that has
// waited longer than its class's ageing time. Long requests never take the last
// free slot of a target with more than one slot. Requests that cannot meet their
// deadline are rejected before they run. A request that was running when a target
// crashed is suspect: its next attempt runs with no other request on the target,
// and if that target crashes too, the request's fingerprint is quarantined.
//
// # Usage
//
//	d := dispatch.New(cfg)
//	d.SetTarget(dispatch.TargetSpec{Name: "s1", Slots: 2})
//	if rejection := d.Add(now, req); rejection != nil { ... }
//	for r, ok := d.Next(now); ok; r, ok = d.Next(now) { send(r) }
//	outcome := d.Finish(now, r, dispatch.ResultOK)
//	for _, r := range d.TakeRejected() { ... }
package dispatch
