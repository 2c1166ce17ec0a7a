package grant

import "time"

// An Order asks a server to accept a term and, when Set is true, to hold
// exactly the listed shards. It takes effect at most once and in order.
type Order struct {
	Group string `json:"group"`
	Term  Term   `json:"term"`
	// Epoch is the version of the group's set of voters that the term is sought under.
	Epoch uint64 `json:"epoch,omitempty"`
	// Round grows with every order of a term; a server ignores the set of an older one.
	Round uint64 `json:"round"`
	// Set says that Shards replaces the shards that the server holds.
	Set    bool  `json:"set,omitempty"`
	Shards []int `json:"shards,omitempty"`
	// Incarnation is the server's incarnation that the set is meant for.
	Incarnation uint64 `json:"incarnation,omitempty"`
	// Before is the reading of the server's clock after which the set is void.
	Before time.Duration `json:"before,omitempty"`
	// TTL is how long the leases live.
	TTL time.Duration `json:"ttl,omitempty"`
}

// An Ack is a server's answer to an Order.
type Ack struct {
	// Accepted says that no higher term had been seen.
	Accepted bool `json:"accepted"`
	// Term is the highest term that the server has seen.
	Term Term `json:"term"`
	// Epoch is the highest version of the set of voters that the server has seen.
	Epoch uint64 `json:"epoch,omitempty"`
	// Round is the round of the order.
	Round uint64 `json:"round"`
	// Applied says that the set took effect.
	Applied bool `json:"applied,omitempty"`
	// Incarnation identifies the life of the server.
	Incarnation uint64 `json:"incarnation"`
	// Clock is the time since the server started.
	Clock time.Duration `json:"clock"`
	// Live lists the shards that the server holds, in ascending order.
	Live []int `json:"live,omitempty"`
}

// A ServerOrder is an order with the name of the server that it goes to.
type ServerOrder struct {
	Server string
	Order  Order
}

// An Output is what a Holder wants done after a tick.
type Output struct {
	// Orders are to be sent to servers.
	Orders []ServerOrder
	// FenceStore asks for a conditional update of the group's object to Term.
	FenceStore bool
	// ReadStore asks for a read of the group's object.
	ReadStore bool
	// Term is the term of the orders.
	Term Term
}

// A StoreAck is what the group's object in the store said.
type StoreAck struct {
	// Asked is when the read or the conditional update began.
	Asked time.Time
	// Term is the term in the object.
	Term Term
	// Epoch is the version of the set of voters in the object.
	Epoch uint64
}
