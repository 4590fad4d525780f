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
	// controlInterval is the time between two turns of a shard's control.
	controlInterval = time.Second
	// loadInterval is the least time between two loads from the weight store in
	// one failure domain.
	loadInterval = 5 * time.Second
	// describeTimeout bounds one question to an agent.
	describeTimeout = 3 * time.Second
	// orderTimeout bounds the wait for the answer to an order; the order goes on.
	orderTimeout = 2 * time.Minute
	// describesPerTurn bounds the questions to agents in one turn.
	describesPerTurn = 5
	// adoptionsPerTurn bounds them until a new holder has asked all agents.
	adoptionsPerTurn = 50
)

// control holds leases and orders in their name.
type control struct {
	entry   *Entry
	manager *peridotlease.Manager
	nonce   string
	peers   peers
	// shards has one control per failure domain; only serve touches it.
	shards []*shardControl

	mu sync.Mutex
	// instances is the platform's list, listed when reading it began.
	instances []peridotplatform.Instance
	listed    time.Time
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

// start runs the control and returns what stops it and waits for its end.
func (c *control) start() (stop func()) {
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

// serve orders while it holds leases. The leases are released once nothing
// orders any more.
func (c *control) serve(ctx context.Context) {
	leasing, release := context.WithCancel(context.WithoutCancel(ctx))
	var managing, ordering sync.WaitGroup
	managing.Go(func() { _ = c.manager.Serve(leasing) })
	for ctx.Err() == nil {
		c.update(ctx, &ordering)
		peridotwait.Sleep(ctx, listInterval)
	}
	ordering.Wait()
	release()
	managing.Wait()
	c.peers.close()
}

// update follows the failure domains and the list of instances.
func (c *control) update(ctx context.Context, ordering *sync.WaitGroup) {
	listed := time.Now()
	instances, err := c.entry.platform.Instances(ctx)
	if err != nil {
		c.entry.metrics.Count("control_list_failures")
		return
	}
	c.mu.Lock()
	c.instances, c.listed = instances, listed
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
		s := c.newShard(shard)
		c.shards = append(c.shards, s)
		ordering.Go(func() { s.serve(ctx) })
		u := c.newUsage(shard)
		ordering.Go(func() { u.serve(ctx) })
	}
}

// shardControl orders in one failure domain.
type shardControl struct {
	*control
	shard  string
	ledger *peridotorder.Ledger
	// token is that of the grant the fields below belong to.
	token  int64
	pace   peridotcontrol.LoadLimiter
	orders int
	// asked holds the agents asked under this grant, oldest first, and answers
	// what they said last.
	asked   []string
	answers []peridotwire.Description
}

func (c *control) newShard(shard string) *shardControl {
	s := &shardControl{control: c, shard: shard}
	s.ledger = &peridotorder.Ledger{
		Shard: shard, Nonce: c.nonce, Store: c.entry.platform,
		Sender:    peridotplatform.NewOrders(c.entry.settings.PlatformAddress),
		Authority: s.grant, Terms: c.manager.Terms(), List: c.entry.platform.Instances,
	}
	return s
}

func (s *shardControl) grant() (peridotlease.Grant, bool) {
	return s.manager.Grant(s.shard)
}

func (s *shardControl) serve(ctx context.Context) {
	for ctx.Err() == nil {
		if grant, ok := s.grant(); ok {
			s.turn(ctx, grant)
		}
		peridotwait.Sleep(ctx, controlInterval)
	}
}

// turn asks some agents, decides and orders.
func (s *shardControl) turn(ctx context.Context, grant peridotlease.Grant) {
	if s.token != grant.Token {
		log.Info(logPrefix + "took the lease of " + s.shard)
		s.token, s.orders = grant.Token, 0
		s.asked, s.answers = nil, nil
		s.pace = peridotcontrol.LoadLimiter{MinInterval: loadInterval}
	}
	s.mu.Lock()
	instances, listed := s.instances, s.listed
	s.mu.Unlock()
	if !s.ask(ctx, instances) {
		return
	}
	view := peridotcontrol.View{
		Domain: s.shard, Config: s.entry.Config(), Instances: s.ledger.ExpectedInstances(instances, listed),
		Descriptions: slices.Clone(s.answers),
	}
	open := s.ledger.ResolveOpenOrder(ctx, func(o peridotplatform.BackendOrder) bool { return peridotcontrol.OrderStillWanted(view, o) })
	s.refused(open)
	for _, a := range peridotcontrol.NextActions(view, &s.pace, time.Now()) {
		switch a := a.(type) {
		case peridotcontrol.OrderBackend:
			if open == nil {
				s.orderBackend(ctx, a.Order, listed)
			}
		case peridotcontrol.OrderEngine:
			s.orderEngine(ctx, a, instances)
		case peridotcontrol.Hold:
			s.entry.metrics.Count("control_holds_" + string(a.Code))
		}
	}
}

func (s *shardControl) orderBackend(ctx context.Context, o peridotplatform.BackendOrder, listed time.Time) {
	o.ID = s.nextID()
	log.Info(logPrefix + "ordering " + string(o.Kind) + " in " + s.shard)
	s.refused(s.ledger.Send(ctx, o, listed))
}

// orderEngine asks the engine's agent once more, for a ticket of now, and orders
// if the engine is still as the decision saw it.
func (s *shardControl) orderEngine(ctx context.Context, a peridotcontrol.OrderEngine, instances []peridotplatform.Instance) {
	before, _ := s.answer(a.Instance)
	address := ""
	for _, i := range instances {
		if i.ID == a.Instance {
			address = i.Address
		}
	}
	s.askOne(ctx, a.Instance, address)
	now, ok := s.answer(a.Instance)
	if !ok || now.Ticket == "" || now.Busy || now.Model != before.Model || now.Version != before.Version || now.Role != before.Role {
		return
	}
	// The rest of the lease is taken after the ticket was received.
	grant, ok := s.grant()
	if !ok || grant.Token != s.token {
		return
	}
	o := a.Order
	o.ID, o.Shard, o.Token, o.Ticket = s.nextID(), s.shard, grant.Token, now.Ticket
	o.TimeoutMillis = grant.Remaining(time.Now()).Milliseconds()
	log.Info(logPrefix + "ordering " + string(o.Kind) + " at " + a.Instance)
	s.refused(s.peers.order(ctx, a.Instance, address, o))
	s.askOne(ctx, a.Instance, address)
}

func (s *shardControl) nextID() string {
	s.orders++
	return s.shard + "/" + strconv.FormatInt(s.token, 10) + "/" + strconv.Itoa(s.orders)
}

func (s *shardControl) refused(err error) {
	if err != nil {
		s.entry.metrics.Count("control_refusals_" + string(peridotverdict.As(err).Code))
	}
}

// ask announces the token to some agents and keeps what they say. It reports
// whether every agent listed was asked under this grant.
func (s *shardControl) ask(ctx context.Context, instances []peridotplatform.Instance) bool {
	var agents []peridotplatform.Instance
	for _, i := range instances {
		if i.Role == peridotplatform.RoleAgent && i.Domain == s.shard && i.Address != "" {
			agents = append(agents, i)
		}
	}
	s.forget(agents)
	slices.SortStableFunc(agents, func(a, b peridotplatform.Instance) int {
		return slices.Index(s.asked, a.ID) - slices.Index(s.asked, b.ID)
	})
	limit := describesPerTurn
	if len(s.asked) < len(agents) {
		limit = adoptionsPerTurn
	}
	for _, i := range agents[:min(limit, len(agents))] {
		s.askOne(ctx, i.ID, i.Address)
	}
	return len(s.asked) >= len(agents)
}

// forget drops what is known of agents that are no longer listed.
func (s *shardControl) forget(agents []peridotplatform.Instance) {
	listed := func(id string) bool {
		return slices.ContainsFunc(agents, func(i peridotplatform.Instance) bool { return i.ID == id })
	}
	s.asked = slices.DeleteFunc(s.asked, func(id string) bool { return !listed(id) })
	s.answers = slices.DeleteFunc(s.answers, func(d peridotwire.Description) bool { return !listed(d.Instance) })
}

// askOne asks one agent, which becomes the last to be asked again.
func (s *shardControl) askOne(ctx context.Context, instance, address string) {
	s.asked = append(slices.DeleteFunc(s.asked, func(id string) bool { return id == instance }), instance)
	s.answers = slices.DeleteFunc(s.answers, func(d peridotwire.Description) bool { return d.Instance == instance })
	d, err := s.peers.describe(ctx, instance, address, peridotwire.Describe{Shard: s.shard, Token: s.token})
	if err != nil {
		s.entry.metrics.Count("control_describe_failures")
		return
	}
	s.answers = append(s.answers, d)
}

func (s *shardControl) answer(instance string) (peridotwire.Description, bool) {
	for _, d := range s.answers {
		if d.Instance == instance {
			return d, true
		}
	}
	return peridotwire.Description{}, false
}
