package peridotfront

import "time"

// Settings are what a front is started with. Addresses are IP numbers and ports.
type Settings struct {
	// Instance is unique; Domain is its failure domain.
	Instance string
	Domain   string
	// CallerAddress takes callers, ReadyAddress the balancer's readiness probes.
	CallerAddress string
	ReadyAddress  string
	// PeerAddress takes datagrams of the other fronts.
	PeerAddress string
	// MetricsAddress serves counters and histograms.
	MetricsAddress string
	// StoreAddress and CloudAddress are the platform's.
	StoreAddress string
	CloudAddress string
	// MemoryBytes is the limit of the process.
	MemoryBytes int64
	// LinkBytesPerSecond is the rate of the instance's network link.
	LinkBytesPerSecond float64
	// LeaveWithin is how soon after its leaving a backend server must get no more
	// requests; 0 means unknown.
	LeaveWithin time.Duration
	// CatchUp is the time after an outage in which the instance must be up to date.
	CatchUp time.Duration
	// ShutdownGrace is the time from the signal to stop to the kill.
	ShutdownGrace time.Duration
	// RepeatRatio, RepeatWindow and RepeatSlack bound the repeats of all fronts
	// together: ratio x requests + slack in any window.
	RepeatRatio  float64
	RepeatWindow time.Duration
	RepeatSlack  float64
	// LeaseTTL is how long two holders of a duty must lie apart.
	LeaseTTL time.Duration
	// UsageWindow is the length of a usage window; its report is due UsageLate
	// after its end.
	UsageWindow time.Duration
	UsageLate   time.Duration
}
