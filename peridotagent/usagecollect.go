package peridotagent

import (
	"context"
	"time"

	"github.com/apex/log"

	"peridotstack/peridotusage"
	"peridotstack/peridotwire"
)

// collectedPoll is the time between two looks whether all figures are handed over.
const collectedPoll = 20 * time.Millisecond

// collect hands the figures of a shard to the entry instance that asks for them.
func (a *Agent) collect(ctx context.Context, p *peridotwire.Peer, c peridotwire.Collect) error {
	a.usage.SetCollector(c.Shard, c.Token)
	return a.usage.HandOver(ctx, c.Shard, collector{peer: p})
}

// collector is the Receiver at the other end of a connection.
type collector struct{ peer *peridotwire.Peer }

// Deliver implements peridotusage.Receiver.
func (c collector) Deliver(ctx context.Context, shard string, parts []byte) (peridotusage.Receipt, error) {
	var answer peridotwire.UsageReceipt
	err := c.peer.Call(ctx, peridotwire.MethodUsage, peridotwire.Usage{Shard: shard, Parts: parts}, &answer)
	return peridotusage.Receipt{Token: answer.Token, Floor: peridotusage.Window(answer.Floor)}, err
}

// awaitCollected waits until a collector has all figures or ctx is done. It does
// not wait when no entry instance is connected.
func (a *Agent) awaitCollected(ctx context.Context) {
	for a.usage.Unacknowledged() > 0 {
		if ctx.Err() != nil || !a.entries.connected() {
			a.metrics.Count("usage_not_collected")
			log.Warn(logPrefix + "stopping with figures of use that no collector has")
			return
		}
		time.Sleep(collectedPoll)
	}
}
