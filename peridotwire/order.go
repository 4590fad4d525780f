package peridotwire

import "peridotstack/peridotverdict"

// OrderKind names an order to an engine.
type OrderKind string

const (
	// LoadModel loads a model in a version and drops the one before.
	LoadModel OrderKind = "LoadModel"
	// LoadAdapter loads an adapter of the current model.
	LoadAdapter OrderKind = "LoadAdapter"
	// SetRole changes the role.
	SetRole OrderKind = "SetRole"
)

// Order is one order to an engine.
type Order struct {
	// ID is unique; an order repeated with the same ID takes effect once.
	ID string
	// Shard names the lease that gives authority over the engine.
	Shard string
	// Token is the fencing token of the sender's lease.
	Token   int64
	Kind    OrderKind
	Model   string
	Version string
	Adapter string
	Role    string
	// Ticket is that of the Description by which the sender decided.
	Ticket string
	// TimeoutMillis is the rest of the sender's lease, taken after it got the
	// ticket. It counts from when the ticket was issued, so that an order whose
	// sender was paused before it sent it is late; a late order has no effect.
	TimeoutMillis int64
}

// OrderResult answers Order. Err is nil when the order took effect.
type OrderResult struct {
	Err *peridotverdict.Error
}
