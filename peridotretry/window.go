package peridotretry

import "time"

// windowBuckets is the number of buckets into which a window is divided. The window
// slides by one bucket at a time.
const windowBuckets = 10

// WindowBudget is one instance's part of a budget of repeats that is common to
// all instances. It allows, for each service and in any window, at most Ratio
// repeats per request and Slack more. A WindowBudget is not safe for concurrent
// use.
type WindowBudget struct {
	// Ratio is the number of repeats that one request adds.
	Ratio float64
	// Slack is the number of repeats per window that this instance may send in
	// addition.
	Slack float64
	// Window is the length of the sliding window. It must be set.
	Window time.Duration

	services map[string]*serviceUsage
}

// serviceUsage counts the requests and repeats of a service in each bucket of the
// window.
type serviceUsage struct {
	// bucket is the number of the newest bucket, counted from the time 0.
	bucket   int64
	requests [windowBuckets]float64
	repeats  [windowBuckets]float64
}

// usageAt returns the usage of a service, after it has reset the buckets that have
// left the window at now.
func (b *WindowBudget) usageAt(now time.Duration, service string) *serviceUsage {
	if b.services == nil {
		b.services = make(map[string]*serviceUsage)
	}
	u := b.services[service]
	if u == nil {
		u = &serviceUsage{}
		b.services[service] = u
	}
	current := int64(now / (b.Window / windowBuckets))
	for n := int64(0); u.bucket < current && n < windowBuckets; n++ {
		u.bucket++
		u.requests[u.bucket%windowBuckets], u.repeats[u.bucket%windowBuckets] = 0, 0
	}
	u.bucket = max(u.bucket, current)
	return u
}

// RecordRequest counts the first attempt of a request to a service.
func (b *WindowBudget) RecordRequest(now time.Duration, service string) {
	u := b.usageAt(now, service)
	u.requests[u.bucket%windowBuckets]++
}

// AllowRepeats reports whether the budget allows n repeats, and counts them if so.
func (b *WindowBudget) AllowRepeats(now time.Duration, service string, n int) bool {
	u := b.usageAt(now, service)
	requests, repeats := 0.0, 0.0
	for i := range windowBuckets {
		requests += u.requests[i]
		repeats += u.repeats[i]
	}
	if repeats+float64(n) > b.Ratio*requests+b.Slack {
		return false
	}
	u.repeats[u.bucket%windowBuckets] += float64(n)
	return true
}
