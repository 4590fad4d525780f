package peridotreserve

import "golang.org/x/sync/semaphore"

// smallShare is the fraction of a Pool that only small claims may use, so that small requests
// are served beside large ones.
const smallShare = 0.125

// Pool is an amount of memory that claims share. It is safe for concurrent use.
type Pool struct {
	// all bounds the sum of the claims, and large that of those above small.
	all, large *semaphore.Weighted
	small      int64
}

// NewPool returns a pool of the given size in bytes. An eighth of it is reserved for claims of
// up to small bytes.
func NewPool(size, small int64) *Pool {
	return &Pool{all: semaphore.NewWeighted(size), large: semaphore.NewWeighted(size - int64(smallShare*float64(size))), small: small}
}

// Claim is memory reserved for one user of a pool. Create one with Pool.NewClaim. It is not
// safe for concurrent use.
type Claim struct {
	pool *Pool
	// bytes is the reserved amount, and large how much of it counts as large: all or 0.
	bytes, large int64
}

// NewClaim returns a claim of no memory.
func (p *Pool) NewClaim() Claim {
	return Claim{pool: p}
}

// Grow raises the claim to the given amount, before it is allocated. It returns false and
// changes nothing if the pool has no room. An amount that is not above the claim has no effect.
func (c *Claim) Grow(to int64) bool {
	if to <= c.bytes {
		return true
	}
	large := c.large
	if to > c.pool.small {
		large = to
	}
	if !c.pool.large.TryAcquire(large - c.large) {
		return false
	}
	if !c.pool.all.TryAcquire(to - c.bytes) {
		c.pool.large.Release(large - c.large)
		return false
	}
	c.bytes, c.large = to, large
	return true
}

// Shrink lowers the claim to the given amount. An amount that is not below the claim has no
// effect.
func (c *Claim) Shrink(to int64) {
	if to >= c.bytes {
		return
	}
	c.pool.all.Release(c.bytes - to)
	c.bytes = to
	large := c.large
	if to <= c.pool.small {
		large = 0
	}
	large = min(large, to)
	c.pool.large.Release(c.large - large)
	c.large = large
}

// Release lowers the claim to 0. It may be called more than once.
func (c *Claim) Release() {
	c.Shrink(0)
}
