// Package target implements the client of a target. It sends requests, orders and
// health checks.
//
// All details of the protocol between daemons and targets are in this package.
//
// # Usage
//
//	t := target.New("s1", address, 2)
//	ack, err := t.Order(ctx, order)
//	health, err := t.Health(ctx)
//	attempt, err := t.Send(ctx, req, resp)
package target

// Paths that targets serve to daemons.
const (
	// OrderPath accepts orders, which carry fenced grants.
	OrderPath = "/redwingtally/order"
	// HealthPath returns a Health as JSON.
	HealthPath = "/redwingtally/health"
)

// Headers of requests to targets.
const (
	// TermHeader carries the term under which a request is sent.
	TermHeader = "Redwing-Term"
	// ShardHeader carries the shard of the request's key.
	ShardHeader = "Redwing-Shard"
	// BudgetHeader carries the time until the deadline, as a Go duration.
	BudgetHeader = "Redwing-Budget"
	// RequestIDHeader carries the caller's request id.
	RequestIDHeader = "Redwing-Request-Id"
)

// Headers of responses from targets.
const (
	// NotRunHeader is "true" if the target did not run the request.
	NotRunHeader = "Redwing-Not-Run"
	// ReasonHeader carries the reason why the request was not run.
	ReasonHeader = "Redwing-Reason"
)

// ReasonNotOwner is the value of ReasonHeader from a target that does not own the
// shard.
const ReasonNotOwner = "not_owner"

// Health is the state that a target reports about itself. It is a hint
// and proves nothing about requests or ownership.
type Health struct {
	// Incarnation identifies one start of the target.
	Incarnation uint64 `json:"incarnation"`
	// Draining reports whether the target wants no new requests.
	Draining bool `json:"draining"`
	// Load is the number of requests in progress divided by the number of slots.
	Load float64 `json:"load"`
}
