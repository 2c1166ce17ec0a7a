// Package target is the client side of targets: how requests, orders and health
// checks reach them.
//
// Everything that depends on how targets speak is in this package.
//
// # Usage
//
//	t := target.New("s1", address, 2)
//	ack, err := t.Order(ctx, order)
//	health, err := t.Health(ctx)
//	attempt, err := t.Send(ctx, req, resp)
package target

// Paths that targets serve for the system.
const (
	// OrderPath takes fenced grants.
	OrderPath = "/redwingtally/order"
	// HealthPath tells health and load.
	HealthPath = "/redwingtally/health"
)

// Headers of requests to targets.
const (
	// TermHeader carries the term under which a request is sent.
	TermHeader = "Redwing-Term"
	// ShardHeader carries the shard of the request's key.
	ShardHeader = "Redwing-Shard"
	// BudgetHeader carries the time that is left, as a duration.
	BudgetHeader = "Redwing-Budget"
	// RequestIDHeader carries the caller's request id.
	RequestIDHeader = "Redwing-Request-Id"
)

// Headers of answers from targets.
const (
	// NotRunHeader says "true" when the target did not run the request.
	NotRunHeader = "Redwing-Not-Run"
	// ReasonHeader says why.
	ReasonHeader = "Redwing-Reason"
)

// ReasonNotOwner is the reason of a target that does not own the shard.
const ReasonNotOwner = "not_owner"

// Health is what a target says of itself; it is a hint, not evidence.
type Health struct {
	Incarnation uint64  `json:"incarnation"`
	Draining    bool    `json:"draining"`
	Load        float64 `json:"load"`
}
