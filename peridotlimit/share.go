package peridotlimit

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// minDemandShare is the least demand of an instance, as a share of the mean, so that
	// one without requests can begin to send some.
	minDemandShare = 0.1
	// ownersPerRate is the number of instances that use a server for each request per
	// second of its limit, and minOwners the number for the smallest limit. Each of them
	// may send one request more than its part at any time, and all of them may within the
	// same seconds.
	ownersPerRate = 1.2
	minOwners     = 2
	// demandTime is the time constant of the moving average of a demand.
	demandTime = time.Second
)

// Instance is an instance that may use a server.
type Instance struct {
	// Demand is its rate of requests, in any unit; negative if it is unknown.
	Demand float64
	// Score orders the instances for the server. It must differ between them, and all must
	// know the same scores.
	Score uint64
}

// Share returns the part of a server's limit that an instance may use, given all others,
// or 0 if it must not use the server. The parts of all instances that know the same add up
// to 1.
func Share(rate float64, own Instance, others []Instance) float64 {
	all := append([]Instance{own}, others...)
	mean := meanDemand(all)
	weight := func(i Instance) float64 {
		if i.Demand < 0 || mean == 0 {
			return max(mean, 1)
		}
		return max(i.Demand, minDemandShare*mean)
	}
	isBusy := func(i Instance) bool { return weight(i) > minDemandShare*mean }
	slices.SortFunc(all, func(a, b Instance) int {
		switch {
		case isBusy(a) && !isBusy(b):
			return -1
		case isBusy(b) && !isBusy(a):
			return 1
		}
		return cmp.Compare(a.Score, b.Score)
	})
	all = all[:min(len(all), owners(rate))]
	if !slices.Contains(all, own) {
		return 0
	}
	total := 0.0
	for _, i := range all {
		total += weight(i)
	}
	return weight(own) / total
}

// owners returns the largest number of instances that may use a server with the given
// limit.
func owners(rate float64) int {
	return minOwners + int(min(ownersPerRate*rate, math.MaxInt32))
}

// meanDemand returns the mean of the known demands, or 0 if none is known.
func meanDemand(list []Instance) float64 {
	sum, known := 0.0, 0
	for _, i := range list {
		if i.Demand >= 0 {
			sum += i.Demand
			known++
		}
	}
	return sum / float64(max(1, known))
}

// Demand is a moving average of the rate of requests. The zero value is that of an
// instance without requests.
type Demand struct {
	rate      float64
	updatedAt time.Duration
}

// Add counts a request.
func (d *Demand) Add(now time.Duration) {
	d.decay(now)
	d.rate += 1 / demandTime.Seconds()
}

// Rate returns the requests per second.
func (d *Demand) Rate(now time.Duration) float64 {
	d.decay(now)
	return d.rate
}

func (d *Demand) decay(now time.Duration) {
	if now > d.updatedAt {
		d.rate *= math.Exp(-(now - d.updatedAt).Seconds() / demandTime.Seconds())
		d.updatedAt = now
	}
}
