package peridotusage

import "context"

// maxBatchParts is the maximum number of parts in one message.
const maxBatchParts = 2000

// Receiver delivers parts to the Collector of a shard, usually in another
// process.
type Receiver interface {
	// Deliver delivers parts encoded by EncodeParts and returns the collector's
	// receipt. It returns an error with the code LeaseLost if the process that
	// received the parts does not hold the shard.
	Deliver(ctx context.Context, shard string, parts []byte) (Receipt, error)
}

// HandOver sends to the receiver all figures of a shard that the shard's
// collector has not confirmed. A collector that is new since the last call
// receives all figures again. Processes should call HandOver every few seconds
// and once more before they stop. It returns the first error from the receiver;
// the next call continues with the remaining figures.
func (c *Counter) HandOver(ctx context.Context, shard string, to Receiver) error {
	for {
		collectorToken := c.collectorToken(shard)
		parts := c.Parts(shard, collectorToken, maxBatchParts)
		if len(parts) == 0 {
			return nil
		}
		data, err := EncodeParts(parts)
		if err != nil {
			return err
		}
		receipt, err := to.Deliver(ctx, shard, data)
		if err != nil {
			return err
		}
		c.Acknowledge(shard, parts, receipt)
		c.setCollectorToken(shard, receipt.Token)
	}
}

// SetCollector sets the fencing token of the collector that the next HandOver
// sends to. Without SetCollector, HandOver detects a new collector only from a
// receipt, and so not before a figure has grown.
func (c *Counter) SetCollector(shard string, token int64) {
	c.setCollectorToken(shard, token)
}

// Unacknowledged returns the number of figures that no collector has confirmed in
// full.
func (c *Counter) Unacknowledged() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	figures := 0
	for _, n := range c.cells {
		if n.acknowledged != n.figure {
			figures++
		}
	}
	return figures
}

// MergeEncoded is like Merge for parts encoded by EncodeParts. It also returns an
// error if data can't be decoded.
func (c *Collector) MergeEncoded(data []byte) (Receipt, error) {
	parts, err := DecodeParts(data)
	if err != nil {
		return Receipt{}, err
	}
	return c.Merge(parts)
}

func (c *Counter) collectorToken(shard string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.collectorTokens[shard]
}

func (c *Counter) setCollectorToken(shard string, token int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.collectorTokens[shard] = token
}
