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
	// usageInterval is the time between two turns of a shard's usage.
	usageInterval = 2 * time.Second
	// collectInterval is the time between two questions to an agent for its
	// figures; one that leaves is asked each turn.
	collectInterval = 10 * time.Second
	collectTimeout  = 3 * time.Second
	// maxCollects bounds the agents that are asked at a time.
	maxCollects = 16
	// sweepInterval is the time between two removals of old requests' records.
	sweepInterval = 5 * time.Second
	// reportReceiveTimeout is how long the platform may wait for the rest of a
	// usage report after it asked for it.
	reportReceiveTimeout = 10 * time.Second
	// saveTimeout bounds the last commit of figures before the lease is released.
	saveTimeout = 2 * time.Second
)

// usageAuthority tells by this process's leases who holds a shard.
type usageAuthority struct {
	manager *peridotlease.Manager
	store   peridottable.Store
}

// Grant implements peridotusage.Authority.
func (a usageAuthority) Grant(shard string) (peridotusage.Grant, bool) {
	g, ok := a.manager.Grant(shard)
	quiet := time.Since(g.AcquiredAt) > a.manager.Terms().Lengthen(reportReceiveTimeout)
	return peridotusage.Grant{Token: g.Token, CanReport: quiet}, ok
}

// Fence implements peridotusage.Authority.
func (a usageAuthority) Fence(ctx context.Context, shard string, token int64) (peridottable.Check, error) {
	row, err := a.store.Get(ctx, peridotlease.Key(shard))
	if err != nil {
		return peridottable.Check{}, err
	}
	lease, err := peridotlease.Decode(row.Value)
	if err != nil {
		return peridottable.Check{}, err
	}
	if lease.Token != token {
		return peridottable.Check{}, peridotverdict.New(peridotverdict.LeaseLost, peridotverdict.NotRun, "the lease row has another token")
	}
	return peridottable.Check{Key: row.Key, Version: row.Version}, nil
}

// collectors are those of all shards. The zero value has none.
type collectors struct {
	mu   sync.Mutex
	list []*peridotusage.Collector
}

func (c *collectors) add(added *peridotusage.Collector) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = append(c.list, added)
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

// receive takes the figures that an agent hands over.
func (c *collectors) receive(params json.RawMessage) (any, error) {
	var u peridotwire.Usage
	if err := json.Unmarshal(params, &u); err != nil {
		return nil, errors.Wrap(err, "decode figures of use")
	}
	receipt, err := c.Deliver(context.Background(), u.Shard, u.Parts)
	return peridotwire.UsageReceipt{Token: receipt.Token, Floor: int64(receipt.Floor)}, err
}

// usageControl collects and reports the use of one shard while its lease is held.
type usageControl struct {
	*control
	shard     string
	collector *peridotusage.Collector
	sweeper   peridotonce.Sweeper
	sweepAt   time.Time
	// collectAt is when all agents are to be asked next.
	collectAt time.Time
}

func (c *control) newUsage(shard string) *usageControl {
	u := &usageControl{control: c, shard: shard, sweeper: peridotonce.Sweeper{Store: c.entry.platform}}
	u.collector = &peridotusage.Collector{
		Shard:     shard,
		Store:     c.entry.platform,
		Authority: usageAuthority{manager: c.manager, store: c.entry.platform},
		Reporter:  peridotplatform.NewUsageReporter(c.entry.settings.PlatformAddress),
	}
	c.entry.pool.collectors.add(u.collector)
	return u
}

// serve runs until ctx is done; then it saves what is not sealed.
func (u *usageControl) serve(ctx context.Context) {
	for ctx.Err() == nil {
		u.turn(ctx)
		peridotwait.Sleep(ctx, usageInterval)
	}
	if _, ok := u.manager.Grant(u.shard); !ok {
		return
	}
	saving, cancel := context.WithTimeout(context.WithoutCancel(ctx), saveTimeout)
	defer cancel()
	if u.collector.Save(saving, u.entry.usageNow()) != nil {
		u.entry.metrics.Count("usage_save_failures")
	}
}

func (u *usageControl) turn(ctx context.Context) {
	if err := u.collector.Step(ctx, u.entry.usageNow()); err != nil {
		u.entry.metrics.Count("usage_step_failures")
		log.Debug(logPrefix + "usage of " + u.shard + ": " + err.Error())
	}
	grant, ok := u.manager.Grant(u.shard)
	if !ok {
		u.collectAt = time.Time{}
		return
	}
	u.collect(ctx, grant.Token)
	u.sweep(ctx)
}

// collect asks the shard's agents for their figures and takes those of this
// process. An agent that leaves is asked each turn.
func (u *usageControl) collect(ctx context.Context, token int64) {
	all := !time.Now().Before(u.collectAt)
	if all {
		u.collectAt = time.Now().Add(collectInterval)
		u.entry.usage.SetCollector(u.shard, token)
		u.count(u.entry.usage.HandOver(ctx, u.shard, &u.entry.pool.collectors))
	}
	var asking sync.WaitGroup
	slots := make(chan struct{}, maxCollects)
	for _, peer := range u.entry.pool.agentsOf(u.shard, !all) {
		slots <- struct{}{}
		asking.Go(func() {
			u.count(u.collectOne(ctx, peer, token))
			<-slots
		})
	}
	asking.Wait()
}

func (u *usageControl) collectOne(ctx context.Context, peer *peridotwire.Peer, token int64) error {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	question := peridotwire.Collect{Shard: u.shard, Token: token}
	return peer.Call(ctx, peridotwire.MethodCollect, question, &peridotwire.Collected{})
}

// agentsOf returns the connections to a failure domain's agents, or just to those
// that said that they leave.
func (p *pool) agentsOf(shard string, leaving bool) []*peridotwire.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []*peridotwire.Peer
	for _, l := range p.links {
		if l.peer != nil && l.pong.Domain == shard && (l.pong.Leaving || !leaving) {
			list = append(list, l.peer)
		}
	}
	return list
}

func (u *usageControl) count(err error) {
	if err != nil {
		u.entry.metrics.Count("usage_collect_failures")
	}
}

// sweep removes old records of requests, in the first failure domain's holder.
func (u *usageControl) sweep(ctx context.Context) {
	domains := u.entry.Config().Domains
	if len(domains) == 0 || domains[0].Name != u.shard || time.Now().Before(u.sweepAt) {
		return
	}
	u.sweepAt = time.Now().Add(sweepInterval)
	if _, err := u.sweeper.Sweep(ctx, time.Now()); err != nil {
		u.entry.metrics.Count("once_sweep_failures")
	}
}
