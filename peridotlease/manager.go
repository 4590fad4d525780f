package peridotlease

import (
	"context"
	"sync"
	"time"

	"peridotstack/peridottable"
	"peridotstack/peridotverdict"
)

const (
	// step is the time between two looks at what is due.
	step = 250 * time.Millisecond
	// storeTimeout bounds one call to the table service.
	storeTimeout = 3 * time.Second
	// releaseTimeout bounds the release of all leases at a graceful shutdown.
	releaseTimeout = 3 * time.Second
)

// Manager holds leases for one process. Make one with NewManager; its methods
// may be called concurrently.
type Manager struct {
	store  peridottable.Store
	holder string
	nonce  string
	terms  Terms
	now    func() time.Time
	count  func(name string)
	lapse  bool

	mu        sync.Mutex
	instances []string
	leases    []*shardLease
}

// shardLease is one shard's logic; it is guarded by the manager.
type shardLease struct {
	shard string
	lease *Lease
	// rank is this instance's place in line, from the last list of instances.
	rank int
}

// Option sets an optional part of a Manager.
type Option func(*Manager)

// WithTerms replaces DefaultTerms.
func WithTerms(t Terms) Option {
	return func(m *Manager) { m.terms = t }
}

// WithClock replaces time.Now, whose monotonic reading is what counts.
func WithClock(now func() time.Time) Option {
	return func(m *Manager) { m.now = now }
}

// WithLapse lets the leases run out at the end of Serve instead of releasing
// them, where two changes of holder in a row must lie a lease apart.
func WithLapse() Option {
	return func(m *Manager) { m.lapse = true }
}

// WithCounter has events counted by name.
func WithCounter(count func(name string)) Option {
	return func(m *Manager) { m.count = count }
}

// NewManager returns a manager for an instance. The nonce must differ at each
// start of the process.
func NewManager(store peridottable.Store, holder, nonce string, options ...Option) *Manager {
	m := &Manager{
		store: store, holder: holder, nonce: nonce, terms: DefaultTerms,
		now: time.Now, count: func(string) {},
	}
	for _, option := range options {
		option(m)
	}
	return m
}

// Terms returns the terms of the manager's leases.
func (m *Manager) Terms() Terms {
	return m.terms
}

// SetShards says which shards exist. A lease on a shard that is no longer named
// is not renewed.
func (m *Manager) SetShards(shards []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var leases []*shardLease
	for _, shard := range shards {
		leases = append(leases, m.leaseOf(shard))
	}
	m.leases = leases
	m.rankAll()
}

func (m *Manager) leaseOf(shard string) *shardLease {
	for _, s := range m.leases {
		if s.shard == shard {
			return s
		}
	}
	return &shardLease{shard: shard, lease: New(shard, m.holder, m.nonce, m.terms)}
}

// SetInstances names the instances that may hold leases. It serves to spread
// the leases only; a wrong list costs time, not safety. Until it was called with
// a list that is not empty, nothing is taken.
func (m *Manager) SetInstances(instances []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(instances) == 0 {
		return
	}
	m.instances = instances
	m.rankAll()
}

func (m *Manager) rankAll() {
	for _, s := range m.leases {
		s.rank = Rank(s.shard, m.holder, m.instances)
	}
}

// Grant returns the authority over a shard that this process has now.
func (m *Manager) Grant(shard string) (Grant, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.leases {
		if s.shard == shard {
			return s.lease.Grant(m.now())
		}
	}
	return Grant{}, false
}

// Grants returns all authority that this process has now.
func (m *Manager) Grants() []Grant {
	m.mu.Lock()
	defer m.mu.Unlock()
	var grants []Grant
	for _, s := range m.leases {
		if g, ok := s.lease.Grant(m.now()); ok {
			grants = append(grants, g)
		}
	}
	return grants
}

// Serve takes and renews leases until ctx is done, then releases them. What
// acts on the grants must have stopped by then.
func (m *Manager) Serve(ctx context.Context) error {
	ticker := time.NewTicker(step)
	defer ticker.Stop()
	for {
		m.turn(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			if !m.lapse {
				m.release(context.WithoutCancel(ctx))
			}
			return nil
		}
	}
}

// turn does what is due.
func (m *Manager) turn(ctx context.Context) {
	if m.readDue() {
		m.readAll(ctx)
	}
	m.mu.Lock()
	leases := m.leases
	ready := len(m.instances) > 0
	m.mu.Unlock()
	if !ready {
		return
	}
	for _, s := range leases {
		m.commit(ctx, s)
	}
}

// readDue reports whether any lease must be read by now.
func (m *Manager) readDue() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	for _, s := range m.leases {
		rank := m.rank(s)
		if s.lease.readDue(now, readInterval(rank, m.terms.Renew), takeDelay(rank)) {
			return true
		}
	}
	return false
}

// rank is that of this instance for a shard, made worse once the instance holds
// its share of the leases.
func (m *Manager) rank(s *shardLease) int {
	rank := s.rank
	held := 0
	for _, other := range m.leases {
		if _, ok := other.lease.Grant(m.now()); ok {
			held++
		}
	}
	if held*len(m.instances) >= len(m.leases) {
		rank += maxRank
	}
	return rank
}

// readAll reads the rows of all leases in as few calls as there are pages.
func (m *Manager) readAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rows, err := m.scan(ctx)
	m.mu.Lock()
	defer m.mu.Unlock()
	done := m.now()
	for _, s := range m.leases {
		if err != nil {
			s.lease.read = done
			continue
		}
		s.lease.Saw(find(rows, Key(s.shard)), done)
	}
	if err != nil {
		m.count("lease_read_failures")
	}
}

func (m *Manager) scan(ctx context.Context) ([]peridottable.Row, error) {
	var rows []peridottable.Row
	page := peridottable.Range{Prefix: KeyPrefix, Limit: pageRows}
	for {
		more, err := m.store.Scan(ctx, page)
		if err != nil {
			return nil, err
		}
		rows = append(rows, more...)
		if len(more) < pageRows {
			return rows, nil
		}
		page.After = more[len(more)-1].Key
	}
}

const pageRows = 500

func find(rows []peridottable.Row, key string) peridottable.Row {
	for _, row := range rows {
		if row.Key == key {
			return row
		}
	}
	return peridottable.Row{Key: key}
}

// commit makes the commit of one lease that is due, if any.
func (m *Manager) commit(ctx context.Context, s *shardLease) {
	m.mu.Lock()
	txn, ok := s.lease.Commit(m.now(), takeDelay(m.rank(s)))
	m.mu.Unlock()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	version, err := m.store.Commit(ctx, txn)
	m.mu.Lock()
	defer m.mu.Unlock()
	s.lease.Wrote(version, err, m.now())
	if err != nil {
		m.count("lease_commit_failures_" + string(peridotverdict.As(err).Code))
	}
}

// release gives all leases back, so that others need not wait for their end.
func (m *Manager) release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	m.mu.Lock()
	var txns []peridottable.Txn
	for _, s := range m.leases {
		if txn, ok := s.lease.Release(m.now()); ok {
			txns = append(txns, txn)
		}
	}
	m.mu.Unlock()
	for _, txn := range txns {
		if _, err := m.store.Commit(ctx, txn); err != nil {
			m.count("lease_release_failures")
		}
	}
}
