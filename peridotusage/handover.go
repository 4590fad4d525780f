package peridotusage

import "context"

// batchParts bounds the parts of one message.
const batchParts = 2000

// Receiver takes parts for the collector of a shard, usually in another process.
type Receiver interface {
	// Take hands encoded parts over. It fails with the code LeaseLost when the
	// process asked does not hold the shard.
	Take(ctx context.Context, shard string, parts []byte) (Receipt, error)
}

// HandOver gives the receiver all figures of a shard that its collector does not
// have. A collector that is new since the last call gets everything again. It is
// to be called every few seconds, and once more before a process stops.
func (c *Counter) HandOver(ctx context.Context, shard string, to Receiver) error {
	for {
		token := c.tokenOf(shard)
		parts := c.Parts(shard, token, batchParts)
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
		c.setToken(shard, receipt.Token)
	}
}

// Announce says which collector the next HandOver speaks to, by its fencing token.
// Without it a new collector is noticed only once figures have grown.
func (c *Counter) Announce(shard string, token int64) {
	c.setToken(shard, token)
}

// Unhanded returns the number of figures that no collector has in full.
func (c *Counter) Unhanded() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	unhanded := 0
	for _, n := range c.cells {
		if n.handed != n.figure {
			unhanded++
		}
	}
	return unhanded
}

// TakeEncoded is Take for parts that EncodeParts encoded.
func (c *Collector) TakeEncoded(data []byte) (Receipt, error) {
	parts, err := DecodeParts(data)
	if err != nil {
		return Receipt{}, err
	}
	return c.Take(parts)
}

func (c *Counter) tokenOf(shard string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tokens[shard]
}

func (c *Counter) setToken(shard string, token int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tokens[shard] = token
}
