package grant

import "time"

// An Order asks a server to accept a term and, if ReplaceShards is true, to hold
// leases on exactly the listed shards. A server applies an order at most once, and the
// orders of a term in sequence.
type Order struct {
	Group string `json:"group"`
	Term  Term   `json:"term"`
	// Epoch is the version of the set of voters under which the holder campaigned.
	Epoch uint64 `json:"epoch,omitempty"`
	// Round increases with every order of a term. A server ignores the shards of
	// an order that is not newer than the last one it handled.
	Round uint64 `json:"round"`
	// ReplaceShards reports whether Shards replaces the shards that the server holds.
	ReplaceShards bool  `json:"set,omitempty"`
	Shards        []int `json:"shards,omitempty"`
	// Incarnation is the incarnation of the server that Shards is intended for.
	Incarnation uint64 `json:"incarnation,omitempty"`
	// Deadline is the reading of the server's clock after which Shards must not be
	// applied.
	Deadline time.Duration `json:"before,omitempty"`
	// TTL is the duration of the leases from when the order is applied.
	TTL time.Duration `json:"ttl,omitempty"`
}

// An Ack is a server's reply to an Order.
type Ack struct {
	// Accepted reports whether the server has seen no higher term or epoch.
	Accepted bool `json:"accepted"`
	// Term is the highest term that the server has seen.
	Term Term `json:"term"`
	// Epoch is the highest version of the set of voters that the server has seen.
	Epoch uint64 `json:"epoch,omitempty"`
	// Round is the round of the order.
	Round uint64 `json:"round"`
	// Applied reports whether the order's shards were applied.
	Applied bool `json:"applied,omitempty"`
	// Incarnation identifies this start of the server.
	Incarnation uint64 `json:"incarnation"`
	// Clock is the time since the server started.
	Clock time.Duration `json:"clock"`
	// HeldShards lists the shards on which the server has unexpired leases, in
	// ascending order.
	HeldShards []int `json:"live,omitempty"`
}

// A ServerOrder is an order and the name of its recipient.
type ServerOrder struct {
	Server string
	Order  Order
}

// An Output lists the actions that the caller of Holder.Tick must perform.
type Output struct {
	// Orders are the orders to send.
	Orders []ServerOrder
	// FenceStore requests a conditional update of the group's object to Term.
	FenceStore bool
	// ReadStore requests a read of the group's object.
	ReadStore bool
	// Term is the term of the orders.
	Term Term
}

// A StoreAck is the state of the group's object in the store.
type StoreAck struct {
	// RequestedAt is the time at which the read or conditional update was started.
	RequestedAt time.Time
	// Term is the term in the object.
	Term Term
	// Epoch is the version of the set of voters in the object.
	Epoch uint64
}
