package peridotretry

import "time"

// buckets is how many parts the window of a Fleet budget has; it slides by one.
const buckets = 10

// Fleet is an instance's share of a budget of repeats that all instances have in
// common: in any window, at most Ratio repeats per request and Slack more.
type Fleet struct {
	// Ratio is the repeats that one request pays for.
	Ratio float64
	// Slack is the repeats that this instance may send besides, per window.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration

	services map[string]*usage
}

// usage counts the requests and repeats of a service in the parts of a window.
type usage struct {
	slot     int64
	requests [buckets]float64
	repeats  [buckets]float64
}

func (f *Fleet) usage(now time.Duration, service string) *usage {
	if f.services == nil {
		f.services = make(map[string]*usage)
	}
	u := f.services[service]
	if u == nil {
		u = &usage{}
		f.services[service] = u
	}
	slot := int64(now / (f.Window / buckets))
	for n := int64(0); u.slot < slot && n < buckets; n++ {
		u.slot++
		u.requests[u.slot%buckets], u.repeats[u.slot%buckets] = 0, 0
	}
	u.slot = max(u.slot, slot)
	return u
}

// Requested counts the first try of a request to a service.
func (f *Fleet) Requested(now time.Duration, service string) {
	u := f.usage(now, service)
	u.requests[u.slot%buckets]++
}

// Repeat counts a repeat if the budget allows one, and reports whether it does.
func (f *Fleet) Repeat(now time.Duration, service string) bool {
	u := f.usage(now, service)
	requests, repeats := 0.0, 0.0
	for i := range buckets {
		requests += u.requests[i]
		repeats += u.repeats[i]
	}
	if repeats+1 > f.Ratio*requests+f.Slack {
		return false
	}
	u.repeats[u.slot%buckets]++
	return true
}
