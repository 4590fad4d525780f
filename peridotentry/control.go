package peridotentry

import (
	"context"
	"crypto/rand"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/apex/log"

	"peridotstack/peridotcontrol"
	"peridotstack/peridotlease"
	"peridotstack/peridotorder"
	"peridotstack/peridotplatform"
	"peridotstack/peridotverdict"
	"peridotstack/peridotwait"
	"peridotstack/peridotwire"
)

const (
	// listInterval is the time between two reads of the list of instances.
	listInterval = 2 * time.Second
	// controlInterval is the time between two reconciliations of a shard.
	controlInterval = time.Second
	// loadInterval is the minimum time between two loads from the weight store in
	// one failure domain.
	loadInterval = 5 * time.Second
	// describeTimeout bounds one Describe call to an agent.
	describeTimeout = 3 * time.Second
	// orderTimeout bounds the wait for the result of an order. The agent continues
	// to carry out the order after the timeout.
	orderTimeout = 2 * time.Minute
	// maxDescribesPerReconcile bounds the Describe calls in one reconciliation.
	maxDescribesPerReconcile = 5
	// maxInitialDescribesPerReconcile replaces maxDescribesPerReconcile until a new
	// lease holder has asked all agents once.
	maxInitialDescribesPerReconcile = 50
)

// control acquires leases of shards and, for each shard whose lease it holds,
// sends orders and collects usage. Each failure domain is one shard.
type control struct {
	entry   *Entry
	manager *peridotlease.Manager
	nonce   string
	peers   peers
	// shards contains one control per failure domain. Only the goroutine of serve
	// accesses it.
	shards []*shardControl

	mu sync.Mutex
	// instances is the platform's list of instances, and listedAt the time at which
	// the read of that list was started.
	instances []peridotplatform.Instance
	listedAt  time.Time
}

func newControl(e *Entry) *control {
	nonce := rand.Text()
	return &control{
		entry:   e,
		nonce:   nonce,
		manager: peridotlease.NewManager(e.platform, e.settings.Instance, nonce, peridotlease.WithCounter(e.metrics.Count)),
		peers:   peers{pool: e.pool},
	}
}

// startServing runs the control in a goroutine. The returned function stops it
// and waits until it has ended.
func (c *control) startServing() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.serve(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

// serve runs the control until ctx is done. It releases the leases only after
// all shards have stopped sending orders and collecting usage.
func (c *control) serve(ctx context.Context) {
	leaseCtx, stopManager := context.WithCancel(context.WithoutCancel(ctx))
	var managerGroup, shardGroup sync.WaitGroup
	managerGroup.Go(func() { _ = c.manager.Serve(leaseCtx) })
	for ctx.Err() == nil {
		c.update(ctx, &shardGroup)
		peridotwait.Sleep(ctx, listInterval)
	}
	shardGroup.Wait()
	stopManager()
	managerGroup.Wait()
	c.peers.closeAll()
}

// update reads the list of instances, passes it to the lease manager together
// with the failure domains, and starts the control of each new failure domain.
func (c *control) update(ctx context.Context, shardGroup *sync.WaitGroup) {
	listedAt := time.Now()
	instances, err := c.entry.platform.Instances(ctx)
	if err != nil {
		c.entry.metrics.Count("control_list_failures")
		return
	}
	c.mu.Lock()
	c.instances, c.listedAt = instances, listedAt
	c.mu.Unlock()
	self := c.entry.settings.Instance
	entries := []string{self}
	for _, i := range instances {
		if i.Role == peridotplatform.RoleEntry && i.ID != self && !i.Leaving {
			entries = append(entries, i.ID)
		}
	}
	c.manager.SetInstances(entries)
	var shards []string
	for _, d := range c.entry.Config().Domains {
		shards = append(shards, d.Name)
	}
	c.manager.SetShards(shards)
	for _, shard := range shards {
		if slices.ContainsFunc(c.shards, func(s *shardControl) bool { return s.shard == shard }) {
			continue
		}
		s := c.newShardControl(shard)
		c.shards = append(c.shards, s)
		shardGroup.Go(func() { s.serve(ctx) })
		u := c.newUsageControl(shard)
		shardGroup.Go(func() { u.serve(ctx) })
	}
}

// shardControl decides and sends the orders for one failure domain while this
// process holds the lease of that domain.
type shardControl struct {
	*control
	shard      string
	dispatcher *peridotorder.Dispatcher
	// token is the fencing token of the grant that the fields below belong to.
	token       int64
	loadLimiter peridotcontrol.LoadLimiter
	orderCount  int
	// describedAgents contains the agents that were asked under this grant, least
	// recently asked first. descriptions contains the last answer of each agent.
	describedAgents []string
	descriptions    []peridotwire.Description
}

func (c *control) newShardControl(shard string) *shardControl {
	s := &shardControl{control: c, shard: shard}
	s.dispatcher = &peridotorder.Dispatcher{
		Shard: shard, Nonce: c.nonce, Store: c.entry.platform,
		Sender: peridotplatform.NewOrderSender(c.entry.settings.PlatformAddress),
		Grant:  s.currentGrant, Terms: c.manager.Terms(), List: c.entry.platform.Instances,
	}
	return s
}

func (s *shardControl) currentGrant() (peridotlease.Grant, bool) {
	return s.manager.Grant(s.shard)
}

func (s *shardControl) serve(ctx context.Context) {
	for ctx.Err() == nil {
		if grant, ok := s.currentGrant(); ok {
			s.reconcile(ctx, grant)
		}
		peridotwait.Sleep(ctx, controlInterval)
	}
}

// reconcile asks some agents for their descriptions, decides which orders bring
// the failure domain closer to the configuration, and sends these orders. It
// sends none until all listed agents have been asked.
func (s *shardControl) reconcile(ctx context.Context, grant peridotlease.Grant) {
	if s.token != grant.Token {
		log.Info(logPrefix + "took the lease of " + s.shard)
		s.token, s.orderCount = grant.Token, 0
		s.describedAgents, s.descriptions = nil, nil
		s.loadLimiter = peridotcontrol.LoadLimiter{MinInterval: loadInterval}
	}
	s.mu.Lock()
	instances, listedAt := s.instances, s.listedAt
	s.mu.Unlock()
	if !s.describeAgents(ctx, instances) {
		return
	}
	view := peridotcontrol.View{
		Domain: s.shard, Config: s.entry.Config(), Instances: s.dispatcher.ExpectedInstances(instances, listedAt),
		Descriptions: slices.Clone(s.descriptions),
	}
	resolveErr := s.dispatcher.ResolveOpenOrder(ctx, func(o peridotplatform.BackendOrder) bool { return peridotcontrol.OrderStillWanted(view, o) })
	s.countRefusal(resolveErr)
	for _, a := range peridotcontrol.NextActions(view, &s.loadLimiter, time.Now()) {
		switch a := a.(type) {
		case peridotcontrol.OrderBackend:
			if resolveErr == nil {
				s.orderBackend(ctx, a.Order, listedAt)
			}
		case peridotcontrol.OrderEngine:
			s.orderEngine(ctx, a, instances)
		case peridotcontrol.DeferOrder:
			s.entry.metrics.Count("control_holds_" + string(a.Code))
		}
	}
}

func (s *shardControl) orderBackend(ctx context.Context, o peridotplatform.BackendOrder, listedAt time.Time) {
	o.ID = s.nextID()
	log.Info(logPrefix + "ordering " + string(o.Kind) + " in " + s.shard)
	s.countRefusal(s.dispatcher.Send(ctx, o, listedAt))
}

// orderEngine asks the engine's agent once more, because the order must name a
// ticket that was issued now. It sends the order if the engine is still in the
// state that the decision was based on.
func (s *shardControl) orderEngine(ctx context.Context, a peridotcontrol.OrderEngine, instances []peridotplatform.Instance) {
	before, _ := s.lastDescription(a.Instance)
	address := ""
	for _, i := range instances {
		if i.ID == a.Instance {
			address = i.Address
		}
	}
	s.describeAgent(ctx, a.Instance, address)
	now, ok := s.lastDescription(a.Instance)
	if !ok || now.Ticket == "" || now.Busy || now.Model != before.Model || now.Version != before.Version || now.Role != before.Role {
		return
	}
	// The remaining lease time must be measured after the ticket was received.
	grant, ok := s.currentGrant()
	if !ok || grant.Token != s.token {
		return
	}
	o := a.Order
	o.ID, o.Shard, o.Token, o.Ticket = s.nextID(), s.shard, grant.Token, now.Ticket
	o.TimeoutMillis = grant.Remaining(time.Now()).Milliseconds()
	log.Info(logPrefix + "ordering " + string(o.Kind) + " at " + a.Instance)
	s.countRefusal(s.peers.sendOrder(ctx, a.Instance, address, o))
	s.describeAgent(ctx, a.Instance, address)
}

func (s *shardControl) nextID() string {
	s.orderCount++
	return s.shard + "/" + strconv.FormatInt(s.token, 10) + "/" + strconv.Itoa(s.orderCount)
}

// countRefusal counts an error by its code. It ignores a nil error.
func (s *shardControl) countRefusal(err error) {
	if err != nil {
		s.entry.metrics.Count("control_refusals_" + string(peridotverdict.As(err).Code))
	}
}

// describeAgents sends the fencing token to some agents and keeps their
// descriptions. It reports whether every listed agent has been asked under this
// grant.
func (s *shardControl) describeAgents(ctx context.Context, instances []peridotplatform.Instance) bool {
	var agents []peridotplatform.Instance
	for _, i := range instances {
		if i.Role == peridotplatform.RoleAgent && i.Domain == s.shard && i.Address != "" {
			agents = append(agents, i)
		}
	}
	s.forgetUnlisted(agents)
	slices.SortStableFunc(agents, func(a, b peridotplatform.Instance) int {
		return slices.Index(s.describedAgents, a.ID) - slices.Index(s.describedAgents, b.ID)
	})
	limit := maxDescribesPerReconcile
	if len(s.describedAgents) < len(agents) {
		limit = maxInitialDescribesPerReconcile
	}
	for _, i := range agents[:min(limit, len(agents))] {
		s.describeAgent(ctx, i.ID, i.Address)
	}
	return len(s.describedAgents) >= len(agents)
}

// forgetUnlisted removes the state of agents that are no longer listed.
func (s *shardControl) forgetUnlisted(agents []peridotplatform.Instance) {
	isListed := func(id string) bool {
		return slices.ContainsFunc(agents, func(i peridotplatform.Instance) bool { return i.ID == id })
	}
	s.describedAgents = slices.DeleteFunc(s.describedAgents, func(id string) bool { return !isListed(id) })
	s.descriptions = slices.DeleteFunc(s.descriptions, func(d peridotwire.Description) bool { return !isListed(d.Instance) })
}

// describeAgent asks one agent for its description and moves the agent to the
// end of describedAgents. If the call fails, the agent has no description until
// it is asked again.
func (s *shardControl) describeAgent(ctx context.Context, instance, address string) {
	s.describedAgents = append(slices.DeleteFunc(s.describedAgents, func(id string) bool { return id == instance }), instance)
	s.descriptions = slices.DeleteFunc(s.descriptions, func(d peridotwire.Description) bool { return d.Instance == instance })
	d, err := s.peers.describe(ctx, instance, address, peridotwire.Describe{Shard: s.shard, Token: s.token})
	if err != nil {
		s.entry.metrics.Count("control_describe_failures")
		return
	}
	s.descriptions = append(s.descriptions, d)
}

// lastDescription returns the last description of an agent, or false if there is
// none.
func (s *shardControl) lastDescription(instance string) (peridotwire.Description, bool) {
	for _, d := range s.descriptions {
		if d.Instance == instance {
			return d, true
		}
	}
	return peridotwire.Description{}, false
}
