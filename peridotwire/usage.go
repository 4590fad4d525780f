package peridotwire

// MethodUsage sends usage figures to the collector of a shard.
const MethodUsage = "Usage"

// Usage contains usage figures. The answer is a UsageReceipt, or an error with the
// code LeaseLost if the receiver does not hold the lease of the shard.
type Usage struct {
	Shard string
	// Parts is encoded by peridotusage.EncodeParts.
	Parts []byte
}

// UsageReceipt is the answer to Usage.
type UsageReceipt struct {
	// Token is the fencing token of the collector.
	Token int64
	// Floor is the number of the first window whose figures the sender must keep.
	Floor int64
}

// MethodCollect asks a process to hand over its usage figures of a shard by calls
// of MethodUsage on the same connection. It is answered once that is complete.
const MethodCollect = "Collect"

// Collect names the shard and the fencing token of its collector, which is the
// sender.
type Collect struct {
	Shard string
	// Token is the fencing token of the collector.
	Token int64
}

// Collected is the answer to Collect.
type Collected struct{}
