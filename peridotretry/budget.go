package peridotretry

const (
	defaultRatio   = 0.1 // retries per success
	defaultReserve = 10  // retries
	// rounding keeps a budget from missing a whole retry by a rounding error.
	rounding = 1e-9
)

// Budget allows retries as a share of successes. The zero value allows a
// reserve of 10 retries and one more for every 10 successes.
type Budget struct {
	// Ratio is how many retries one success pays for; 0 means 0.1.
	Ratio float64
	// Reserve bounds what is saved up, and is there at the start; 0 means 10.
	Reserve float64

	// spent is how much is missing to the full reserve.
	spent float64
}

// Succeeded pays in for one success.
func (b *Budget) Succeeded() {
	b.spent = max(0, b.spent-b.ratio())
}

// Left reports whether a retry is allowed.
func (b *Budget) Left() bool {
	return b.reserve()-b.spent >= 1-rounding
}

// Take pays for one retry.
func (b *Budget) Take() {
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
