package peridotentry

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"peridotstack/peridotlease"
	"peridotstack/peridotonce"
	"peridotstack/peridotplatform"
	"peridotstack/peridottable"
	"peridotstack/peridotusage"
	"peridotstack/peridotverdict"
	"peridotstack/peridotwait"
	"peridotstack/peridotwire"
)

const (
	// usageInterval is the time between two steps of a shard's usage control.
	usageInterval = 2 * time.Second
	// collectInterval is the time between two Collect calls to an agent. An agent
	// that is leaving is called in each step.
	collectInterval = 10 * time.Second
	collectTimeout  = 3 * time.Second
	// maxConcurrentCollects bounds the concurrent Collect calls.
	maxConcurrentCollects = 16
	// sweepInterval is the time between two removals of expired records of requests.
	sweepInterval = 5 * time.Second
	// reportReceiveTimeout is the maximum time that the platform waits for the
	// remainder of a usage report after it has requested that remainder.
	reportReceiveTimeout = 10 * time.Second
	// saveTimeout bounds the last commit of usage figures, before the lease is
	// released.
	saveTimeout = 2 * time.Second
)

// usageLeases implements peridotusage.Leases with the leases of this
// process.
type usageLeases struct {
	manager *peridotlease.Manager
	store   peridottable.Store
}

// Grant implements peridotusage.Leases. The grant permits reports only once
// no report of an earlier holder can still arrive.
func (u usageLeases) Grant(shard string) (peridotusage.Grant, bool) {
	g, ok := u.manager.Grant(shard)
	canReport := time.Since(g.AcquiredAt) > u.manager.Terms().Lengthen(reportReceiveTimeout)
	return peridotusage.Grant{Token: g.Token, CanReport: canReport}, ok
}

// Fence implements peridotusage.Leases.
func (u usageLeases) Fence(ctx context.Context, shard string, token int64) (peridottable.Check, error) {
	row, err := u.store.Get(ctx, peridotlease.RowKey(shard))
	if err != nil {
		return peridottable.Check{}, err
	}
	lease, err := peridotlease.DecodeRow(row.Value)
	if err != nil {
		return peridottable.Check{}, err
	}
	if lease.Token != token {
		return peridottable.Check{}, peridotverdict.New(peridotverdict.LeaseLost, peridotverdict.NotRun, "the lease row has another token")
	}
	return peridottable.Check{Key: row.Key, Version: row.Version}, nil
}

// collectors contains the collectors of all shards. The zero value contains
// none. It is safe for concurrent use.
type collectors struct {
	mu   sync.Mutex
	list []*peridotusage.Collector
}

func (c *collectors) add(collector *peridotusage.Collector) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = append(c.list, collector)
}

// Deliver implements peridotusage.Receiver.
func (c *collectors) Deliver(_ context.Context, shard string, parts []byte) (peridotusage.Receipt, error) {
	c.mu.Lock()
	list := c.list
	c.mu.Unlock()
	for _, collector := range list {
		if collector.Shard == shard {
			return collector.MergeEncoded(parts)
		}
	}
	return peridotusage.Receipt{}, peridotverdict.New(peridotverdict.LeaseLost, peridotverdict.NotRun, "this process does not hold the shard")
}

// handleUsage passes the usage figures in a Usage call of an agent to the
// collector of their shard.
func (c *collectors) handleUsage(params json.RawMessage) (any, error) {
	var u peridotwire.Usage
	if err := json.Unmarshal(params, &u); err != nil {
		return nil, errors.Wrap(err, "decode figures of use")
	}
	receipt, err := c.Deliver(context.Background(), u.Shard, u.Parts)
	return peridotwire.UsageReceipt{Token: receipt.Token, Floor: int64(receipt.Floor)}, err
}

// usageControl collects and reports the usage of one shard while this process
// holds the lease of the shard.
type usageControl struct {
	*control
	shard     string
	collector *peridotusage.Collector
	sweeper   peridotonce.Sweeper
	// nextSweepAt is the time from which the next sweep is due.
	nextSweepAt time.Time
	// nextCollectAt is the time from which the next Collect calls to all agents are
	// due.
	nextCollectAt time.Time
}

func (c *control) newUsageControl(shard string) *usageControl {
	u := &usageControl{control: c, shard: shard, sweeper: peridotonce.Sweeper{Store: c.entry.platform}}
	u.collector = &peridotusage.Collector{
		Shard:    shard,
		Store:    c.entry.platform,
		Leases:   usageLeases{manager: c.manager, store: c.entry.platform},
		Reporter: peridotplatform.NewUsageReporter(c.entry.settings.PlatformAddress),
	}
	c.entry.pool.collectors.add(u.collector)
	return u
}

// serve runs the usage control until ctx is done. It then saves the figures that
// are not yet sealed, if this process still holds the lease.
func (u *usageControl) serve(ctx context.Context) {
	for ctx.Err() == nil {
		u.runStep(ctx)
		peridotwait.Sleep(ctx, usageInterval)
	}
	if _, ok := u.manager.Grant(u.shard); !ok {
		return
	}
	saveCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), saveTimeout)
	defer cancel()
	if u.collector.Save(saveCtx, u.entry.usageNow()) != nil {
		u.entry.metrics.Count("usage_save_failures")
	}
}

// runStep runs one step of the collector and, if this process holds the lease,
// collects figures and removes expired records.
func (u *usageControl) runStep(ctx context.Context) {
	if err := u.collector.Step(ctx, u.entry.usageNow()); err != nil {
		u.entry.metrics.Count("usage_step_failures")
		log.Debug(logPrefix + "usage of " + u.shard + ": " + err.Error())
	}
	grant, ok := u.manager.Grant(u.shard)
	if !ok {
		u.nextCollectAt = time.Time{}
		return
	}
	u.collect(ctx, grant.Token)
	u.sweep(ctx)
}

// collect makes the agents of the shard and this process hand over their
// figures. Before nextCollectAt, it calls only the agents that are leaving.
func (u *usageControl) collect(ctx context.Context, token int64) {
	collectAll := !time.Now().Before(u.nextCollectAt)
	if collectAll {
		u.nextCollectAt = time.Now().Add(collectInterval)
		u.entry.usage.SetCollector(u.shard, token)
		u.countFailure(u.entry.usage.HandOver(ctx, u.shard, &u.entry.pool.collectors))
	}
	var group sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentCollects)
	for _, peer := range u.entry.pool.domainPeers(u.shard, !collectAll) {
		slots <- struct{}{}
		group.Go(func() {
			u.countFailure(u.collectOne(ctx, peer, token))
			<-slots
		})
	}
	group.Wait()
}

func (u *usageControl) collectOne(ctx context.Context, peer *peridotwire.Peer, token int64) error {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	request := peridotwire.Collect{Shard: u.shard, Token: token}
	return peer.Call(ctx, peridotwire.MethodCollect, request, &peridotwire.Collected{})
}

// domainPeers returns the connections to all agents of a failure domain, or, if
// onlyLeaving is set, to those that reported that they are leaving.
func (p *pool) domainPeers(shard string, onlyLeaving bool) []*peridotwire.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []*peridotwire.Peer
	for _, l := range p.links {
		if l.peer != nil && l.pong.Domain == shard && (l.pong.Leaving || !onlyLeaving) {
			list = append(list, l.peer)
		}
	}
	return list
}

// countFailure counts a failed collection. It ignores a nil error.
func (u *usageControl) countFailure(err error) {
	if err != nil {
		u.entry.metrics.Count("usage_collect_failures")
	}
}

// sweep removes expired records of requests. Only the holder of the first
// failure domain does so.
func (u *usageControl) sweep(ctx context.Context) {
	domains := u.entry.Config().Domains
	if len(domains) == 0 || domains[0].Name != u.shard || time.Now().Before(u.nextSweepAt) {
		return
	}
	u.nextSweepAt = time.Now().Add(sweepInterval)
	if _, err := u.sweeper.Sweep(ctx, time.Now()); err != nil {
		u.entry.metrics.Count("once_sweep_failures")
	}
}
