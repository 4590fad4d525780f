package peridotlease

import (
	"strconv"
	"time"

	"peridotstack/peridottable"
)

// Terms holds the timing parameters of a lease. All processes that contend for
// the same leases must use the same Terms.
type Terms struct {
	// TTL is the duration of a lease, measured from the start of the request that
	// acquires or renews it.
	TTL time.Duration
	// RenewInterval is the interval between the starts of two renewals. It must be
	// less than TTL/2.
	RenewInterval time.Duration
	// MaxClockDrift bounds how far the rate of any process's clock deviates from
	// true time, as a fraction: 0.01 is 1 percent.
	MaxClockDrift float64
}

// DefaultTerms holds the default terms, under which a lease survives two
// consecutive failed renewals.
var DefaultTerms = Terms{TTL: 15 * time.Second, RenewInterval: 5 * time.Second, MaxClockDrift: 0.01}

// Lengthen returns d lengthened by twice the drift bound, because two clocks may
// drift in opposite directions. While the result elapses on one clock, at least d
// elapses on any other.
func (t Terms) Lengthen(d time.Duration) time.Duration {
	return d + time.Duration(2*t.MaxClockDrift*float64(d))
}

// Shorten returns d shortened by the drift bound. While the result elapses on one
// clock, at most d of true time elapses.
func (t Terms) Shorten(d time.Duration) time.Duration {
	return d - time.Duration(t.MaxClockDrift*float64(d))
}

// Grant is a process's authority over one shard, limited in time.
type Grant struct {
	Shard string
	// Token is the fencing token of the lease. Orders sent under the grant carry it.
	Token int64
	// AcquiredAt is when the holder learned that its acquisition of the lease had
	// been committed.
	AcquiredAt time.Time
	// ExpiresAt is when the grant expires on the holder's clock, unless a renewal
	// extends it.
	ExpiresAt time.Time
}

// Remaining returns the time from now until the grant expires. It is zero or
// negative once the grant has expired.
func (g Grant) Remaining(now time.Time) time.Duration {
	return g.ExpiresAt.Sub(now)
}

// Lease is the decision logic for one shard in one process. It reads no clock and
// does no I/O: the caller passes in the time, the rows it read and the outcomes
// of its commits. A Lease must be created with New and is not safe for
// concurrent use.
type Lease struct {
	shard  string
	holder string
	nonce  string
	terms  Terms

	// row is the newest version of the lease row that was read or written, value is
	// its decoded value, and rowSeenAt is when the first read or the write of that
	// version completed. A zero rowSeenAt means that the row must be read again.
	row       peridottable.Row
	value     Row
	rowSeenAt time.Time
	// lastReadAt is when the last read completed or failed.
	lastReadAt time.Time
	attempts   int
	// pending is the commit that is in flight or whose outcome is unknown, or nil.
	pending *pendingCommit
	// grant is valid only while held is set.
	held  bool
	grant Grant
	// grantEra is the era of the commit that acquired or last renewed the lease.
	grantEra int64
	// renewedAt is when the last acquisition or renewal that took effect was
	// started.
	renewedAt time.Time
}

// pendingCommit is an acquisition or renewal whose outcome is not known yet.
type pendingCommit struct {
	txn           peridottable.Txn
	value         Row
	startedAt     time.Time
	isAcquisition bool
}

// New returns a Lease for one shard. The holder is the name of the instance. The
// nonce must differ each time the holder's process starts.
func New(shard, holder, nonce string, terms Terms) *Lease {
	return &Lease{shard: shard, holder: holder, nonce: nonce, terms: terms}
}

// Grant returns the grant that is valid at now, or false if there is none.
func (l *Lease) Grant(now time.Time) (Grant, bool) {
	if !l.held || l.grant.Remaining(now) <= 0 {
		return Grant{}, false
	}
	return l.grant, true
}

// HandleRead processes a lease row returned by a read that completed at readAt.
// The read may be stale: an older version than the newest known one is ignored. A
// row that can't be decoded is ignored as well. If the row was written by the
// pending commit, the lease is held from then on.
//
// In the first read of an era the row may be of an older version, or absent. The
// outcome of a commit of the last era is then of no use. A grant stays valid, and is
// renewed whatever the row says: another process can acquire the lease in this era
// only after it has watched the row for the whole lease duration.
func (l *Lease) HandleRead(row peridottable.Row, readAt time.Time) {
	l.lastReadAt = readAt
	sameEra := row.Era == l.row.Era
	if row.Era < l.row.Era || sameEra && (row.Version < l.row.Version || row.Version == l.row.Version && !l.rowSeenAt.IsZero()) {
		return
	}
	value, err := DecodeRow(row.Value)
	if err != nil {
		return
	}
	l.row, l.value, l.rowSeenAt = row, value, readAt
	switch {
	case !sameEra:
		l.pending = nil
	case l.pending != nil && row.WriterID == l.pending.txn.ID:
		l.applyCommit(row.Version, readAt)
	case value.Nonce != l.nonce && row.Era == l.grantEra:
		l.held = false
	}
}

// NextCommit returns the acquisition or renewal to commit at now, or false if
// none is due. The delay is how long to wait after the lease becomes free before
// acquiring it, so that other instances can acquire it first.
func (l *Lease) NextCommit(now time.Time, delay time.Duration) (peridottable.Txn, bool) {
	if l.rowSeenAt.IsZero() {
		return peridottable.Txn{}, false
	}
	if _, ok := l.Grant(now); ok {
		if now.Before(l.renewedAt.Add(l.terms.RenewInterval)) {
			return peridottable.Txn{}, false
		}
		return l.startCommit(now, l.grant.Token, false), true
	}
	l.held = false
	// Acquire the lease only after a read at or after acquireAt: the holder may have
	// renewed the lease meanwhile, and a failed commit costs more than a read.
	acquireAt := l.FreeAt().Add(delay)
	if now.Before(acquireAt) || l.lastReadAt.Before(acquireAt) {
		return peridottable.Txn{}, false
	}
	return l.startCommit(now, l.nextToken(), true), true
}

// nextToken returns the fencing token for an acquisition. In a new era the row cannot
// tell the newest token: it may be an older one, and a late commit of the last era may
// replace it. The version of the row, which the commit checks, only rises in an era.
func (l *Lease) nextToken() int64 {
	if l.row.Era == 0 {
		return l.value.Token + 1
	}
	return max(l.value.Token, l.row.Era*tokensPerEra+l.row.Version) + 1
}

// FreeAt returns when this process may acquire the lease, given the newest known
// row. A released lease, and one held under this process's own nonce, is free as
// soon as the row is known, unless the row is absent or was written in an older era:
// another process may then hold the lease under a row that has been lost.
func (l *Lease) FreeAt() time.Time {
	isFree := l.value.Holder == "" || l.value.Nonce == l.nonce
	if isFree && l.value.Era == l.row.Era {
		return l.rowSeenAt
	}
	ttl := l.value.ttl()
	if isFree {
		ttl = max(ttl, l.terms.TTL)
	}
	return l.rowSeenAt.Add(l.terms.Lengthen(ttl))
}

// Release returns the commit that releases the lease, or false if the lease is
// not held. The grant ends when Release returns, before the commit is made.
func (l *Lease) Release(now time.Time) (peridottable.Txn, bool) {
	if _, ok := l.Grant(now); !ok {
		return peridottable.Txn{}, false
	}
	l.held = false
	return l.newTxn(Row{Token: l.grant.Token, TTLMillis: l.value.TTLMillis, Era: l.row.Era}), true
}

// HandleCommitResult processes the outcome, known at doneAt, of the commit that
// NextCommit returned. After a failure the row must be read again. If the error
// leaves open whether the commit took effect, that read also shows whether it
// did.
func (l *Lease) HandleCommitResult(version int64, err error, doneAt time.Time) {
	switch {
	case l.pending == nil:
	case err == nil:
		l.row = peridottable.Row{Key: RowKey(l.shard), Version: version, Era: l.pending.txn.Era, WriterID: l.pending.txn.ID, Value: l.pending.value.encode()}
		l.value, l.rowSeenAt = l.pending.value, doneAt
		l.applyCommit(version, doneAt)
	case peridottable.IsConflict(err):
		l.pending = nil
		l.rowSeenAt = time.Time{}
	default:
		l.rowSeenAt = time.Time{}
	}
}

// readDue reports whether the row must be read at now. The interval is the time
// between two reads of a lease that another process holds. The delay is as for
// NextCommit.
func (l *Lease) readDue(now time.Time, interval, delay time.Duration) bool {
	if l.rowSeenAt.IsZero() {
		return l.lastReadAt.IsZero() || !now.Before(l.lastReadAt.Add(pollInterval))
	}
	if _, ok := l.Grant(now); ok {
		return false
	}
	acquireAt := l.FreeAt().Add(delay)
	if l.lastReadAt.Before(acquireAt) && !now.Before(acquireAt) {
		return true
	}
	return !now.Before(l.lastReadAt.Add(interval))
}

// startCommit returns the commit that writes this process as the holder, and
// records it as pending.
func (l *Lease) startCommit(now time.Time, token int64, isAcquisition bool) peridottable.Txn {
	value := Row{Holder: l.holder, Nonce: l.nonce, Token: token, TTLMillis: l.terms.TTL.Milliseconds(), Era: l.row.Era}
	txn := l.newTxn(value)
	l.pending = &pendingCommit{txn: txn, value: value, startedAt: now, isAcquisition: isAcquisition}
	return txn
}

// newTxn returns a commit that writes value if the row still has the known
// version. Its ID is unique per shard, process and attempt.
func (l *Lease) newTxn(value Row) peridottable.Txn {
	l.attempts++
	key := RowKey(l.shard)
	return peridottable.Txn{
		ID:     key + "/" + l.nonce + "/" + strconv.Itoa(l.attempts),
		Era:    l.row.Era,
		Checks: []peridottable.Check{{Key: key, Version: l.row.Version}},
		Puts:   []peridottable.Put{{Key: key, Value: value.encode()}},
	}
}

// applyCommit starts or extends the grant after the pending commit took effect.
// The grant's duration counts from before the request was sent, so that it ends
// before any other process may acquire the lease.
func (l *Lease) applyCommit(version int64, doneAt time.Time) {
	l.row.Version = version
	committed := l.pending
	l.pending = nil
	l.renewedAt, l.grantEra = committed.startedAt, committed.txn.Era
	if committed.isAcquisition {
		l.grant = Grant{Shard: l.shard, Token: committed.value.Token, AcquiredAt: doneAt}
	}
	l.grant.ExpiresAt = committed.startedAt.Add(l.terms.Shorten(l.terms.TTL))
	l.held = true
}
