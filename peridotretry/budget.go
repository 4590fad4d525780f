package peridotretry

const (
	defaultRatio   = 0.1 // retries per success
	defaultReserve = 10  // retries
	// roundingTolerance allows a retry although rounding errors have left the
	// budget slightly below 1.
	roundingTolerance = 1e-9
)

// Budget limits retries to a share of the successes. The zero value allows 10
// retries at first and one more for every 10 successes. A Budget is not safe for
// concurrent use.
type Budget struct {
	// Ratio is the number of retries that one success adds; 0 means 0.1.
	Ratio float64
	// Reserve is the number of retries that the budget starts with, and the maximum
	// that it accumulates; 0 means 10.
	Reserve float64

	// spent is the number of retries missing from the full reserve.
	spent float64
}

// RecordSuccess adds Ratio retries to the budget, up to Reserve.
func (b *Budget) RecordSuccess() {
	b.spent = max(0, b.spent-b.ratio())
}

// AllowsRetry reports whether the budget allows a retry.
func (b *Budget) AllowsRetry() bool {
	return b.reserve()-b.spent >= 1-roundingTolerance
}

// RecordRetry removes one retry from the budget.
func (b *Budget) RecordRetry() {
	b.spent = min(b.reserve(), b.spent+1)
}

func (b *Budget) ratio() float64 {
	if b.Ratio > 0 {
		return b.Ratio
	}
	return defaultRatio
}

func (b *Budget) reserve() float64 {
	if b.Reserve > 0 {
		return b.Reserve
	}
	return defaultReserve
}
