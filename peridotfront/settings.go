package peridotfront

import (
	"time"

	"peridotstack/peridotquota"
)

// Settings configures a front. Addresses consist of an IP address and a port.
type Settings struct {
	// Instance is the unique name of the instance.
	Instance string
	// Domain is the failure domain of the instance.
	Domain string
	// CallerAddress is the TCP address for requests from callers.
	CallerAddress string
	// ReadyAddress is the TCP address for readiness probes of the balancer.
	ReadyAddress string
	// PeerAddress is the UDP address for datagrams of the other fronts, and the TCP
	// address at which they copy the state of this one.
	PeerAddress string
	// MetricsAddress is the TCP address at which metrics are served.
	MetricsAddress string
	// StoreAddress is the address of the platform's table service.
	StoreAddress string
	// CloudAddress is the address of the platform's API.
	CloudAddress string
	// MemoryBytes is the memory limit of the process.
	MemoryBytes int64
	// MaxDescriptors is the maximum number of open descriptors; 0 means that only the memory
	// bounds the connections.
	MaxDescriptors int
	// LinkBytesPerSecond is the rate of the instance's network link.
	LinkBytesPerSecond float64
	// LeaveWithin is the maximum time in which a backend server may still get requests
	// after it starts to leave; 0 means unknown.
	LeaveWithin time.Duration
	// CatchUpTime is the maximum time that the instance may take to be up to date again
	// after an outage.
	CatchUpTime time.Duration
	// ShutdownGrace is the time from the termination signal until the process is
	// killed.
	ShutdownGrace time.Duration
	// In any period of RetryWindow, all fronts together may send at most RetryRatio
	// retries per request plus RetrySlack retries.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// QuotaTolerance is how far all instances together may exceed the limit of a client
	// account.
	QuotaTolerance peridotquota.Tolerance
	// LeaseTTL is the minimum time between two consecutive changes of the holder of
	// the duties.
	LeaseTTL time.Duration
	// UsageWindow is the length of a usage window.
	UsageWindow time.Duration
	// UsageReportDue is the time after the end of a usage window at which its report is
	// due.
	UsageReportDue time.Duration
}
