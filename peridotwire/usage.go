package peridotwire

// MethodUsage hands figures of use to the collector of a shard.
const MethodUsage = "Usage"

// Usage carries figures. It is answered by UsageReceipt, or by an error with the
// code LeaseLost when the receiver does not hold the shard.
type Usage struct {
	Shard string
	// Parts is in the form of peridotusage.EncodeParts.
	Parts []byte
}

// UsageReceipt answers Usage.
type UsageReceipt struct {
	// Token is the fencing token of the collector.
	Token int64
	// Floor is the first window whose figures the sender must keep.
	Floor int64
}

// MethodCollect asks a process to hand its figures of a shard over, by calls of
// MethodUsage on the same connection. Its answer comes once that is done.
const MethodCollect = "Collect"

// Collect names the shard and the collector, which is the sender.
type Collect struct {
	Shard string
	// Token is the fencing token of the collector.
	Token int64
}

// Collected answers Collect.
type Collected struct{}
