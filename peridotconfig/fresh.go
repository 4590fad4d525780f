package peridotconfig

import "time"

// DefaultBound is how long a configuration that was proven to be the newest may
// be used to start keyed work.
const DefaultBound = 3 * time.Second

// Proof says that no commit with a number above Seq was accepted before At. It
// comes from a check at the table service or from a majority of the panel of
// witnesses, and may be handed on.
type Proof struct {
	Seq int64
	// At is a time of the monotonic clock of the process that holds the proof,
	// never later than the event that it rests on.
	At time.Time
}

// Freshness tells whether the configuration of one process may still be used to
// start keyed work. The zero value has no proof and the DefaultBound. It is not
// safe for concurrent use.
type Freshness struct {
	// Bound is how long a proof lasts; 0 means DefaultBound.
	Bound time.Duration

	applied int64
	// proven is the latest time of a proof whose Seq is applied here.
	proven time.Time
	// ahead is the latest proof whose Seq is not applied yet.
	ahead Proof
}

// Applied records that the commits up to seq are in force here.
func (f *Freshness) Applied(seq int64) {
	f.applied = max(f.applied, seq)
	if f.ahead.Seq <= f.applied {
		f.prove(f.ahead.At)
	}
}

// Confirm takes a proof. A proof about commits that are not in force here counts
// from when they are.
func (f *Freshness) Confirm(p Proof) {
	if p.Seq <= f.applied {
		f.prove(p.At)
		return
	}
	if p.At.After(f.ahead.At) {
		f.ahead = p
	}
}

func (f *Freshness) prove(at time.Time) {
	if at.After(f.proven) {
		f.proven = at
	}
}

// Proof returns the latest proof that holds here; its At is zero when there is
// none. Handing it on, the sender gives its age.
func (f *Freshness) Proof() Proof {
	return Proof{Seq: f.applied, At: f.proven}
}

// Fresh reports whether keyed work may start at the time now.
func (f *Freshness) Fresh(now time.Time) bool {
	return f.applied > 0 && !f.proven.IsZero() && now.Sub(f.proven) <= f.bound()
}

func (f *Freshness) bound() time.Duration {
	if f.Bound == 0 {
		return DefaultBound
	}
	return f.Bound
}
