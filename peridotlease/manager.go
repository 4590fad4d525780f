package peridotlease

import (
	"context"
	"sync"
	"time"

	"peridotstack/peridottable"
	"peridotstack/peridotverdict"
)

const (
	// pollInterval is the time between two checks for reads and commits that are
	// due.
	pollInterval = 250 * time.Millisecond
	// storeTimeout bounds one read of all lease rows, and the commit of one
	// acquisition or renewal.
	storeTimeout = 3 * time.Second
	// releaseTimeout bounds the release of all leases together at a graceful
	// shutdown.
	releaseTimeout = 3 * time.Second
)

// Manager acquires, renews and releases the leases of one process. It must be
// created with NewManager. Its methods are safe for concurrent use.
type Manager struct {
	store       peridottable.Store
	holder      string
	nonce       string
	terms       Terms
	now         func() time.Time
	countEvent  func(name string)
	skipRelease bool

	mu        sync.Mutex
	instances []string
	leases    []*shardLease
}

// shardLease is the lease of one shard. It is guarded by the manager's mu.
type shardLease struct {
	shard string
	lease *Lease
	// rank is this instance's Rank in the last list of instances.
	rank int
}

// Option configures a Manager.
type Option func(*Manager)

// WithTerms sets the lease terms. The default is DefaultTerms.
func WithTerms(t Terms) Option {
	return func(m *Manager) { m.terms = t }
}

// WithClock sets the clock. The default is time.Now, whose monotonic reading the
// leases use.
func WithClock(now func() time.Time) Option {
	return func(m *Manager) { m.now = now }
}

// WithoutRelease makes Serve let the leases expire when it ends instead of
// releasing them. It is for callers that need at least one lease duration between
// two consecutive changes of holder.
func WithoutRelease() Option {
	return func(m *Manager) { m.skipRelease = true }
}

// WithCounter makes the manager call count with the name of each event to count,
// such as a failed read. By default no events are counted. The manager may hold
// its lock while it calls count, so count must not call the manager.
func WithCounter(count func(name string)) Option {
	return func(m *Manager) { m.countEvent = count }
}

// NewManager returns a Manager for the instance named holder. The nonce must
// differ each time the process starts.
func NewManager(store peridottable.Store, holder, nonce string, options ...Option) *Manager {
	m := &Manager{
		store: store, holder: holder, nonce: nonce, terms: DefaultTerms,
		now: time.Now, countEvent: func(string) {},
	}
	for _, option := range options {
		option(m)
	}
	return m
}

// Terms returns the lease terms that the manager uses.
func (m *Manager) Terms() Terms {
	return m.terms
}

// SetShards sets the shards to hold leases on. The lease of a shard that is no
// longer listed is neither renewed nor released.
func (m *Manager) SetShards(shards []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var leases []*shardLease
	for _, shard := range shards {
		leases = append(leases, m.leaseFor(shard))
	}
	m.leases = leases
	m.updateRanks()
}

// leaseFor returns the existing lease of a shard, or a new one. The caller must
// hold mu.
func (m *Manager) leaseFor(shard string) *shardLease {
	for _, s := range m.leases {
		if s.shard == shard {
			return s
		}
	}
	return &shardLease{shard: shard, lease: New(shard, m.holder, m.nonce, m.terms)}
}

// SetInstances sets the instances that may hold leases. The list only serves to
// distribute the leases: a wrong list delays takeovers but never gives a shard
// two holders. The manager acquires no lease before the first call with a
// non-empty list. An empty list is ignored.
func (m *Manager) SetInstances(instances []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(instances) == 0 {
		return
	}
	m.instances = instances
	m.updateRanks()
}

// updateRanks recomputes the rank of each lease. The caller must hold mu.
func (m *Manager) updateRanks() {
	for _, s := range m.leases {
		s.rank = Rank(s.shard, m.holder, m.instances)
	}
}

// Grant returns this process's current grant for a shard, or false if there is
// none.
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

// Grants returns all current grants of this process.
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

// Serve acquires and renews leases until ctx is done, then releases them unless
// the manager was created with WithoutRelease. Code that acts on the grants must
// have stopped before ctx is done. Serve always returns nil.
func (m *Manager) Serve(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		m.poll(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			if !m.skipRelease {
				m.releaseAll(context.WithoutCancel(ctx))
			}
			return nil
		}
	}
}

// poll performs the reads and commits that are due.
func (m *Manager) poll(ctx context.Context) {
	if m.readDue() {
		m.readRows(ctx)
	}
	m.mu.Lock()
	leases := m.leases
	hasInstances := len(m.instances) > 0
	m.mu.Unlock()
	if !hasInstances {
		return
	}
	for _, s := range leases {
		m.commitLease(ctx, s)
	}
}

// readDue reports whether the row of any lease must be read now.
func (m *Manager) readDue() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	for _, s := range m.leases {
		rank := m.effectiveRank(s)
		if s.lease.readDue(now, readInterval(rank, m.terms.RenewInterval), takeoverDelay(rank)) {
			return true
		}
	}
	return false
}

// effectiveRank returns this instance's rank for a shard, raised by maxRank while
// the instance holds at least its share of the leases. The caller must hold mu.
func (m *Manager) effectiveRank(s *shardLease) int {
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

// readRows reads the rows of all leases, one page per call to the table service.
func (m *Manager) readRows(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rows, err := m.readLeaseRows(ctx)
	m.mu.Lock()
	defer m.mu.Unlock()
	readAt := m.now()
	for _, s := range m.leases {
		if err != nil {
			s.lease.lastReadAt = readAt
			continue
		}
		if row, ok := rows[RowKey(s.shard)]; ok {
			s.lease.HandleRead(row, readAt)
		}
	}
	if err != nil {
		m.countEvent("lease_read_failures")
	}
}

// readLeaseRows returns the lease rows of all shards by key. It reads each absent row
// by itself, because a range does not tell the era in which the row is absent.
func (m *Manager) readLeaseRows(ctx context.Context) (map[string]peridottable.Row, error) {
	list, err := m.scanRows(ctx)
	if err != nil {
		return nil, err
	}
	rows := make(map[string]peridottable.Row, len(list))
	for _, row := range list {
		rows[row.Key] = row
	}
	m.mu.Lock()
	leases := m.leases
	m.mu.Unlock()
	for _, s := range leases {
		key := RowKey(s.shard)
		if _, ok := rows[key]; ok {
			continue
		}
		if rows[key], err = m.store.Get(ctx, key); err != nil {
			return nil, err
		}
	}
	return rows, nil
}

// scanRows returns all lease rows that exist.
func (m *Manager) scanRows(ctx context.Context) ([]peridottable.Row, error) {
	var rows []peridottable.Row
	scanRange := peridottable.Range{Prefix: KeyPrefix, Limit: rowsPerPage}
	for {
		page, err := m.store.Scan(ctx, scanRange)
		if err != nil {
			return nil, err
		}
		rows = append(rows, page...)
		if len(page) < rowsPerPage {
			return rows, nil
		}
		scanRange.After = page[len(page)-1].Key
	}
}

// rowsPerPage is the maximum number of rows that one Scan returns.
const rowsPerPage = 500

// commitLease commits the acquisition or renewal of one lease, if one is due.
func (m *Manager) commitLease(ctx context.Context, s *shardLease) {
	m.mu.Lock()
	txn, ok := s.lease.NextCommit(m.now(), takeoverDelay(m.effectiveRank(s)))
	m.mu.Unlock()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	version, err := m.store.Commit(ctx, txn)
	m.mu.Lock()
	defer m.mu.Unlock()
	s.lease.HandleCommitResult(version, err, m.now())
	if err != nil {
		m.countEvent("lease_commit_failures_" + string(peridotverdict.As(err).Code))
	}
}

// releaseAll releases all held leases, so that other instances need not wait for
// them to expire.
func (m *Manager) releaseAll(ctx context.Context) {
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
			m.countEvent("lease_release_failures")
		}
	}
}
