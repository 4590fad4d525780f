package peridotusage

import "context"

// maxBatchParts is the maximum number of parts in one message.
const maxBatchParts = 2000

// Receiver delivers parts to the Collector of a shard, usually in another process.
type Receiver interface {
	// Take delivers parts encoded by EncodeParts and returns the collector's
	// receipt. It returns an error with the code LeaseLost if the process that
	// received the parts does not hold the shard.
	Take(ctx context.Context, shard string, parts []byte) (Receipt, error)
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
		receipt, err := to.Take(ctx, shard, data)
		if err != nil {
			return err
		}
		c.Handed(shard, parts, receipt)
		c.setCollectorToken(shard, receipt.Token)
	}
}

// Announce sets the fencing token of the collector that the next HandOver sends
// to. Without Announce, HandOver detects a new collector only from a receipt, and
// so not before a figure has grown.
func (c *Counter) Announce(shard string, token int64) {
	c.setCollectorToken(shard, token)
}

// Unhanded returns the number of figures that no collector has confirmed in full.
func (c *Counter) Unhanded() int {
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

// TakeEncoded is like Take for parts encoded by EncodeParts. It also returns an
// error if data can't be decoded.
func (c *Collector) TakeEncoded(data []byte) (Receipt, error) {
	parts, err := DecodeParts(data)
	if err != nil {
		return Receipt{}, err
	}
	return c.Take(parts)
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
