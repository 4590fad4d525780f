package peridotconfig

import "time"

// DefaultMaxProofAge is how long after its proof a configuration may be used to start
// requests that require a key.
const DefaultMaxProofAge = 3 * time.Second

// Proof states that no commit with a number above Seq was accepted before At. It
// comes from a check of the table service or from a majority of the current panel
// of witnesses. A process may pass its proof to peers.
type Proof struct {
	Seq int64
	// At is a time on the monotonic clock of the process that holds the proof. It
	// is never later than the check or the answers that the proof is based on.
	At time.Time
}

// Freshness determines whether the configuration of one process may be used to
// start requests that require a key. The zero value has no proof and uses
// DefaultMaxProofAge. A Freshness is not safe for concurrent use.
type Freshness struct {
	// MaxProofAge is how long a proof remains valid; 0 means DefaultMaxProofAge.
	MaxProofAge time.Duration

	// appliedSeq is the number of the last commit that the process has applied.
	appliedSeq int64
	// provenAt is the latest time of a proof whose Seq is applied.
	provenAt time.Time
	// pendingProof is the latest proof whose Seq is not applied yet.
	pendingProof Proof
}

// SetApplied records that the process has applied all commits up to seq.
func (f *Freshness) SetApplied(seq int64) {
	f.appliedSeq = max(f.appliedSeq, seq)
	if f.pendingProof.Seq <= f.appliedSeq {
		f.advanceProvenAt(f.pendingProof.At)
	}
}

// AddProof adds a proof. If the process has not applied the commits up to p.Seq yet,
// the proof takes effect once they are applied.
func (f *Freshness) AddProof(p Proof) {
	if p.Seq <= f.appliedSeq {
		f.advanceProvenAt(p.At)
		return
	}
	if p.At.After(f.pendingProof.At) {
		f.pendingProof = p
	}
}

func (f *Freshness) advanceProvenAt(at time.Time) {
	if at.After(f.provenAt) {
		f.provenAt = at
	}
}

// Proof returns the latest proof for the applied commits; its At is zero if there
// is none. A process that passes the proof to a peer sends the age of the proof
// instead of At, because the two clocks differ.
func (f *Freshness) Proof() Proof {
	return Proof{Seq: f.appliedSeq, At: f.provenAt}
}

// Fresh reports whether requests that require a key may start at the time now.
func (f *Freshness) Fresh(now time.Time) bool {
	return f.appliedSeq > 0 && !f.provenAt.IsZero() && now.Sub(f.provenAt) <= f.maxProofAge()
}

func (f *Freshness) maxProofAge() time.Duration {
	if f.MaxProofAge == 0 {
		return DefaultMaxProofAge
	}
	return f.MaxProofAge
}
