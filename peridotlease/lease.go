package peridotlease

import (
	"strconv"
	"time"

	"peridotstack/peridottable"
)

// Terms are what all processes that contend for leases agree on.
type Terms struct {
	// TTL is how long a lease lasts after the start of a renewal.
	TTL time.Duration
	// Renew is the time between the starts of two renewals; less than TTL/2.
	Renew time.Duration
	// Drift bounds the relative difference in speed between any clock and true
	// time, as a fraction of 1.
	Drift float64
}

// DefaultTerms survive two failed renewals in a row.
var DefaultTerms = Terms{TTL: 15 * time.Second, Renew: 5 * time.Second, Drift: 0.01}

// Longer returns d lengthened by the drift bound: to wait that long by one clock
// is to wait at least d by any other.
func (t Terms) Longer(d time.Duration) time.Duration {
	return d + time.Duration(2*t.Drift*float64(d))
}

// Shorter returns d shortened by the drift bound.
func (t Terms) Shorter(d time.Duration) time.Duration {
	return d - time.Duration(t.Drift*float64(d))
}

// Grant is the authority over one shard.
type Grant struct {
	Shard string
	// Token is the fencing token that orders under this grant carry.
	Token int64
	// Since is when the commit that took the lease was known to be complete.
	Since time.Time
	// Until is when the authority ends by the holder's clock unless renewed.
	Until time.Time
}

// Left returns what is left of the grant at now; zero or less means none.
func (g Grant) Left(now time.Time) time.Duration {
	return g.Until.Sub(now)
}

// Lease is the decision logic for one shard in one process. It has no clock and
// does no I/O; it is not safe for concurrent use. Make one with New.
type Lease struct {
	shard  string
	holder string
	nonce  string
	terms  Terms

	// row is the newest version seen, seen is when its first read was complete.
	row     peridottable.Row
	value   Row
	seen    time.Time
	read    time.Time
	attempt int
	// asked is the commit under way or with a lost answer, or nil.
	asked *request
	// grant counts only while held is set.
	held  bool
	grant Grant
	// renewed is when the last renewal that took effect was started.
	renewed time.Time
}

type request struct {
	txn     peridottable.Txn
	value   Row
	started time.Time
	taking  bool
}

// New returns the logic for one shard. The nonce must differ at each start of
// the holder's process.
func New(shard, holder, nonce string, terms Terms) *Lease {
	return &Lease{shard: shard, holder: holder, nonce: nonce, terms: terms}
}

// Grant returns the authority at now, if there is any.
func (l *Lease) Grant(now time.Time) (Grant, bool) {
	if !l.held || l.grant.Left(now) <= 0 {
		return Grant{}, false
	}
	return l.grant, true
}

// Saw takes a row that a read returned. The read may have been stale.
func (l *Lease) Saw(row peridottable.Row, done time.Time) {
	l.read = done
	if row.Version < l.row.Version || (row.Version == l.row.Version && !l.seen.IsZero()) {
		return
	}
	value, err := Decode(row.Value)
	if err != nil {
		return
	}
	l.row, l.value, l.seen = row, value, done
	switch {
	case l.asked != nil && row.WriterID == l.asked.txn.ID:
		l.took(row.Version, done)
	case value.Nonce != l.nonce:
		l.held = false
	}
}

// Commit returns the commit to make at now, or false if there is none to make.
// Delay is how long to leave a free lease to others.
func (l *Lease) Commit(now time.Time, delay time.Duration) (peridottable.Txn, bool) {
	if l.seen.IsZero() {
		return peridottable.Txn{}, false
	}
	if _, ok := l.Grant(now); ok {
		if now.Before(l.renewed.Add(l.terms.Renew)) {
			return peridottable.Txn{}, false
		}
		return l.ask(now, l.value.Token, false), true
	}
	l.held = false
	// A read must have confirmed the row since: a renewed lease is no longer free,
	// and a commit that fails costs more than a read.
	free := l.FreeAt().Add(delay)
	if now.Before(free) || l.read.Before(free) {
		return peridottable.Txn{}, false
	}
	return l.ask(now, l.value.Token+1, true), true
}

// FreeAt returns when the lease that was last seen may be taken over.
func (l *Lease) FreeAt() time.Time {
	if l.value.Holder == "" || l.value.Nonce == l.nonce {
		return l.seen
	}
	return l.seen.Add(l.terms.Longer(l.value.ttl()))
}

// Release returns the commit that gives the lease back, or false if it is not
// held. The authority ends with the call, before the commit is made.
func (l *Lease) Release(now time.Time) (peridottable.Txn, bool) {
	if _, ok := l.Grant(now); !ok {
		return peridottable.Txn{}, false
	}
	l.held = false
	return l.transaction(Row{Token: l.value.Token, TTLMillis: l.value.TTLMillis}), true
}

// Wrote takes the outcome of the commit that Commit returned. After a failure
// the row must be read again; when the answer was lost, the read also shows
// whether this commit wrote the row.
func (l *Lease) Wrote(version int64, err error, done time.Time) {
	switch {
	case l.asked == nil:
	case err == nil:
		l.row = peridottable.Row{Key: Key(l.shard), Version: version, WriterID: l.asked.txn.ID, Value: l.asked.value.encode()}
		l.value, l.seen = l.asked.value, done
		l.took(version, done)
	case peridottable.IsConflict(err):
		l.asked = nil
		l.seen = time.Time{}
	default:
		l.seen = time.Time{}
	}
}

// readDue reports whether the row must be read by now, given the time between
// two reads of a lease held by another and how long to leave a free one alone.
func (l *Lease) readDue(now time.Time, interval, delay time.Duration) bool {
	if l.seen.IsZero() {
		return l.read.IsZero() || !now.Before(l.read.Add(step))
	}
	if _, ok := l.Grant(now); ok {
		return false
	}
	free := l.FreeAt().Add(delay)
	if l.read.Before(free) && !now.Before(free) {
		return true
	}
	return !now.Before(l.read.Add(interval))
}

func (l *Lease) ask(now time.Time, token int64, taking bool) peridottable.Txn {
	value := Row{Holder: l.holder, Nonce: l.nonce, Token: token, TTLMillis: l.terms.TTL.Milliseconds()}
	txn := l.transaction(value)
	l.asked = &request{txn: txn, value: value, started: now, taking: taking}
	return txn
}

func (l *Lease) transaction(value Row) peridottable.Txn {
	l.attempt++
	key := Key(l.shard)
	return peridottable.Txn{
		ID:     key + "/" + l.nonce + "/" + strconv.Itoa(l.attempt),
		Checks: []peridottable.Check{{Key: key, Version: l.row.Version}},
		Puts:   []peridottable.Put{{Key: key, Value: value.encode()}},
	}
}

// took starts or prolongs the grant. It counts from before the request.
func (l *Lease) took(version int64, done time.Time) {
	l.row.Version = version
	asked := l.asked
	l.asked = nil
	l.renewed = asked.started
	if asked.taking {
		l.grant = Grant{Shard: l.shard, Token: asked.value.Token, Since: done}
	}
	l.grant.Until = asked.started.Add(l.terms.Shorter(l.terms.TTL))
	l.held = true
}
