package peridotagent

import (
	"context"
	"time"

	"github.com/apex/log"

	"peridotstack/peridotusage"
	"peridotstack/peridotwire"
)

// collectionPollInterval is the time between two checks whether all usage figures
// have been handed over.
const collectionPollInterval = 20 * time.Millisecond

// handleCollect hands over the usage figures of a shard to the entry instance that
// requested them.
func (a *Agent) handleCollect(ctx context.Context, p *peridotwire.Peer, c peridotwire.Collect) error {
	a.usage.SetCollector(c.Shard, c.Token)
	return a.usage.HandOver(ctx, c.Shard, peerReceiver{peer: p})
}

// peerReceiver is the peridotusage.Receiver at the other end of a connection.
type peerReceiver struct{ peer *peridotwire.Peer }

// Deliver implements peridotusage.Receiver.
func (c peerReceiver) Deliver(ctx context.Context, shard string, parts []byte) (peridotusage.Receipt, error) {
	var answer peridotwire.UsageReceipt
	err := c.peer.Call(ctx, peridotwire.MethodUsage, peridotwire.Usage{Shard: shard, Parts: parts}, &answer)
	return peridotusage.Receipt{Token: answer.Token, Floor: peridotusage.Window(answer.Floor)}, err
}

// awaitUsageCollected waits until collectors have received all usage figures or ctx
// is done. It does not wait if no entry instance is connected.
func (a *Agent) awaitUsageCollected(ctx context.Context) {
	for a.usage.Unacknowledged() > 0 {
		if ctx.Err() != nil || !a.entries.anyConnected() {
			a.metrics.Count("usage_not_collected")
			log.Warn(logPrefix + "stopping with usage figures that no collector has received")
			return
		}
		time.Sleep(collectionPollInterval)
	}
}
