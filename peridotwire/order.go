package peridotwire

import "peridotstack/peridotverdict"

// OrderKind is the kind of an order to an engine.
type OrderKind string

const (
	// LoadModel loads a version of a model and unloads the current model.
	LoadModel OrderKind = "LoadModel"
	// LoadAdapter loads an adapter of the current model.
	LoadAdapter OrderKind = "LoadAdapter"
	// SetRole changes the role of the engine.
	SetRole OrderKind = "SetRole"
)

// Order is an order to an engine.
type Order struct {
	// ID is unique. An order that is sent repeatedly with the same ID takes effect
	// once.
	ID string
	// Shard is the shard whose lease gives authority over the engine.
	Shard string
	// Token is the fencing token of the lease of the sender.
	Token   int64
	Kind    OrderKind
	Model   string
	Version string
	Adapter string
	Role    string
	// Ticket is copied from the Description on which the sender based its decision.
	Ticket string
	// TimeoutMillis is the remaining time of the lease of the sender in
	// milliseconds, computed after it received the ticket. The agent counts it from
	// the issue of the ticket, so an order from a sender that was paused before
	// sending arrives late. A late order has no effect.
	TimeoutMillis int64
}

// OrderResult is the answer to Order. Err is nil if the order took effect.
type OrderResult struct {
	Err *peridotverdict.Error
}
