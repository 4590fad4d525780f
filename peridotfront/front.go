package peridotfront

import (
	"context"
	"crypto/rand"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"peridotstack/peridotclock"
	"peridotstack/peridotlink"
	"peridotstack/peridotmetric"
	"peridotstack/peridotplace"
	"peridotstack/peridotreserve"
	"peridotstack/peridotretry"
	"peridotstack/peridotsite"
	"peridotstack/peridottree"
	"peridotstack/peridotusage"
)

const (
	logPrefix = "front: "
	// backendDialTimeout limits the dialing of a backend server. The round trip takes
	// a few milliseconds, and TCP retransmits a lost SYN only after one second.
	backendDialTimeout = 400 * time.Millisecond
	// maxHeaderBytes limits the combined size of the request line and headers if the
	// configuration sets no limit.
	maxHeaderBytes = 64 << 10
	// serverHeaderBytes is the limit of the HTTP server itself. The guard of its listener
	// enforces that of the configuration.
	serverHeaderBytes = 1 << 20
	// callerIdleTimeout is how long an idle connection of a caller is kept open if the
	// configuration sets no limit. It exceeds the idle timeout of the callers themselves.
	callerIdleTimeout = 2 * time.Minute
	// callerHeaderTimeout limits the time to read the headers of a request if the
	// configuration sets no limit.
	callerHeaderTimeout = 5 * time.Second
	// headerTimeoutMargin is added to the limit of the configuration: a busy instance reads
	// headers later than they arrive.
	headerTimeoutMargin = time.Second
	// callerStallTimeout is the time for which a caller may take no byte of its response while
	// memory or connections are short. A slow caller with a receive buffer of 64 KiB takes some
	// at 5 KB/s.
	callerStallTimeout = 15 * time.Second
	// pressureTime is how long memory or connections count as short after a refusal.
	pressureTime = 5 * time.Second
	// pruneInterval is the time between two calls of removeExpired.
	pruneInterval = 250 * time.Millisecond
	// keptUsageWindows is the number of usage windows kept in memory.
	keptUsageWindows = 8
)

// Front is one instance of the proxy. Create one with New.
type Front struct {
	settings  Settings
	platform  Platform
	protocol  Protocol
	clock     *peridotclock.SharedClock
	metrics   *peridotmetric.Metrics
	pool      *peridotlink.Pool
	self      peridotusage.Process
	startedAt time.Time

	config atomic.Pointer[peridotsite.Config]
	// holdsDuties is set while this front holds the lease of the duties.
	holdsDuties atomic.Bool
	// stopping is set when shutdown begins.
	stopping atomic.Bool
	// closeConnsAt is the value of now at which a stopping front closes its
	// connections.
	closeConnsAt atomicDuration
	// closing is done once a stopping front answers the requests that it cannot finish.
	closing      context.Context
	startClosing context.CancelFunc
	// activeRequests is the number of requests in progress.
	activeRequests atomic.Int64
	// lastRequestAt is the value of now when the last request arrived.
	lastRequestAt atomicDuration
	// bodies is the memory for request bodies and whole responses.
	bodies *peridotreserve.Pool
	// pressedAt is the value of now when memory or connections were short last.
	pressedAt atomicDuration
	// snapshots is the memory for snapshots that are being sent.
	snapshots *peridotreserve.Pool

	// backendsChanged gets a value when the backend servers have changed.
	backendsChanged chan struct{}

	// mu guards the fields below, except for peers, origins and quarantine, which have
	// mutexes of their own.
	mu          sync.Mutex
	placer      *peridotplace.Placer
	retryBudget *peridotretry.WindowBudget
	tally       *peridotusage.Tally
	// delivery decides which counts of the tally are sent to which other fronts.
	delivery *peridotusage.Delivery
	// seals contains the final counts of the latest usage windows, and sealedAt the
	// value of now when this front, as the holder of the duties, learned those of a
	// window.
	seals    *peridotusage.Seals
	sealedAt map[peridotusage.Window]time.Duration
	backends backends
	history  softwareHistory
	// formerRoutes contains those of configurations that were in force before.
	formerRoutes formerRoutes
	peers        *peers
	origins      *origins
	quarantine   *quarantine
	limitShares  limitShares
	quota        *quota
	// lostFeeds is true for each feed whose last call failed.
	lostFeeds map[string]bool
	// feedAnsweredAt contains the value of now when each feed last answered.
	feedAnsweredAt map[string]time.Duration
	// feedSteadySince contains, for each feed, the value of now at the start of its
	// latest uninterrupted series of answers.
	feedSteadySince map[string]time.Duration
}

// atomicDuration is a time.Duration for concurrent use. Its zero value is 0.
type atomicDuration struct{ atomic.Int64 }

// Store atomically sets the duration.
func (d *atomicDuration) Store(to time.Duration) { d.Int64.Store(int64(to)) }

// Option sets an optional part of a Front.
type Option func(*Front)

// WithMetrics makes the front record its metrics in m.
func WithMetrics(m *peridotmetric.Metrics) Option {
	return func(f *Front) { f.metrics = m }
}

// New returns a front; call Serve to start it. The platform must pass its readings
// of the table service's clock to clock.
func New(s Settings, platform Platform, protocol Protocol, clock *peridotclock.SharedClock, options ...Option) *Front {
	self := peridotusage.Process{Instance: s.Instance, Incarnation: rand.Text()}
	limits := peridotreserve.LimitsOf(s.MemoryBytes, s.MaxDescriptors)
	tally := peridotusage.NewTally(self, s.UsageWindow, keptUsageWindows, peridotusage.WithMergedLimit(int(limits.UsageBytes)))
	f := &Front{
		settings: s, platform: platform, protocol: protocol, clock: clock,
		metrics:         &peridotmetric.Metrics{},
		pool:            peridotlink.NewPool(backendDialTimeout),
		self:            self,
		startedAt:       peridotclock.BootTime(),
		placer:          peridotplace.New(xxhash.Sum64String(self.Incarnation), s.Domain),
		retryBudget:     &peridotretry.WindowBudget{Ratio: s.RetryRatio * retryBudgetShare, Slack: 0, Window: s.RetryWindow},
		tally:           tally,
		delivery:        peridotusage.NewDelivery(tally, keptUsageWindows),
		seals:           peridotusage.NewSeals(keptUsageWindows),
		sealedAt:        make(map[peridotusage.Window]time.Duration),
		limitShares:     newLimitShares(),
		quota:           newQuota(s.QuotaTolerance),
		lostFeeds:       make(map[string]bool),
		feedAnsweredAt:  make(map[string]time.Duration),
		feedSteadySince: make(map[string]time.Duration),
		backendsChanged: make(chan struct{}, 1),
	}
	f.bodies = peridotreserve.NewPool(limits.BodyBytes, smallBodyBytes)
	f.snapshots = peridotreserve.NewPool(snapshotMemory, smallSnapshotCost)
	f.closing, f.startClosing = context.WithCancel(context.Background())
	f.backends.byID = make(map[string]peridotsite.Backend)
	f.backends.departures = make(departures)
	f.history = newSoftwareHistory()
	f.peers = newPeers(f)
	f.origins = newOrigins(f)
	f.quarantine = newQuarantine(f)
	for _, option := range options {
		option(f)
	}
	f.updateRetryBudget()
	return f
}

// now returns the time since New, including time in which the machine was
// suspended.
func (f *Front) now() time.Duration {
	return peridotclock.BootTime().Sub(f.startedAt)
}

// Serve runs the front until ctx is done, then drains it within
// Settings.ShutdownGrace. It returns an error if it cannot listen or accept
// connections.
func (f *Front) Serve(ctx context.Context) error {
	callers, err := net.Listen("tcp", f.settings.CallerAddress)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	probes, err := net.Listen("tcp", f.settings.ReadyAddress)
	if err != nil {
		return errors.Wrap(err, "listen for probes")
	}
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	tree := peridottree.New("front")
	tree.Add(peridottree.Component{Name: "configuration", Run: func(ctx context.Context) error { return f.platform.WatchConfig(ctx, f) }})
	tree.Add(peridottree.Component{Name: "backends", Run: func(ctx context.Context) error { return f.platform.WatchBackends(ctx, f) }})
	tree.Add(peridottree.Component{Name: "peers", Run: f.peers.serve})
	tree.Add(peridottree.Component{Name: "beliefs", Run: f.serveSnapshots})
	tree.Add(peridottree.Component{Name: "hand-over", Run: f.copyPeerState})
	tree.Add(peridottree.Component{Name: "quarantine", Run: f.quarantine.followRows})
	tree.Add(peridottree.Component{Name: "history", Run: f.followHistory})
	tree.Add(peridottree.Component{Name: "origins", Run: f.origins.followRows})
	tree.Add(peridottree.Component{Name: "clock", Run: f.anchorClock})
	tree.Add(peridottree.Component{Name: "prune", Run: f.servePruning})
	tree.ServeBackground(serveCtx)
	duties := newDuties(f)
	duties.start(serveCtx)
	probeServer := &http.Server{Handler: http.HandlerFunc(f.serveProbe)}
	go func() { _ = ServeBounded(probes, probeServer) }() // Ends with Close.
	defer probeServer.Close()
	callerServer := &http.Server{Handler: f, MaxHeaderBytes: serverHeaderBytes}
	serveErr := make(chan error, 1)
	go func() { serveErr <- f.callerGuard(callers).serve(callerServer) }()
	log.WithFields(log.Fields{"instance": f.settings.Instance, "address": f.settings.CallerAddress}).Info(logPrefix + "serving")
	select {
	case <-ctx.Done():
	case err := <-serveErr:
		return errors.Wrap(err, "serve callers")
	}
	f.drain(callerServer, duties)
	return nil
}

const (
	// minLameDuckTime is the minimum time for which a stopping instance accepts new
	// connections, unless half of the drain time is shorter. By then the balancer,
	// which probes once a second, has seen two failed probes.
	minLameDuckTime = 3 * time.Second
	// drainShare is the fraction of Settings.ShutdownGrace after which requests in
	// progress are ended.
	drainShare = 0.9
	// finalAnswerShare is the fraction of Settings.ShutdownGrace after which Serve
	// returns, even if requests that were ended after drainShare have no answer yet.
	finalAnswerShare = 0.97
	// closeIdleTime is the time reserved at the end of the drain for closing idle
	// connections.
	closeIdleTime = 300 * time.Millisecond
	// quietTime is the time without a new request after which the drain may end
	// early. The balancer keeps sending requests to a stopping instance if no other
	// instance is ready.
	quietTime = 700 * time.Millisecond
	// drainCheckInterval is the time between two checks whether the drain may end.
	drainCheckInterval = 50 * time.Millisecond
)

// callerGuard returns the guard of the callers' listener. Its limits are those of the
// configuration in force.
func (f *Front) callerGuard(listener net.Listener) *guard {
	limits := peridotreserve.LimitsOf(f.settings.MemoryBytes, f.settings.MaxDescriptors)
	g := newGuard(listener, limits.Connections, peridotreserve.NewPool(limits.HeadBytes, smallHeadCost), f.headLimits)
	g.metrics = f.metrics
	g.stallTimeout, g.isPressed, g.press = callerStallTimeout, f.isPressed, f.noteMemoryPressure
	return g
}

// noteMemoryPressure records that a client was refused for want of memory or connections.
func (f *Front) noteMemoryPressure() {
	f.pressedAt.Store(f.now())
}

// isPressed reports whether a client was refused within pressureTime.
func (f *Front) isPressed() bool {
	at := time.Duration(f.pressedAt.Load())
	return at > 0 && f.now()-at < pressureTime
}

// headLimits returns the limits of the configuration, or the defaults where it has none.
func (f *Front) headLimits() headLimits {
	l := headLimits{bytes: maxHeaderBytes, timeout: callerHeaderTimeout, idle: callerIdleTimeout}
	config := f.config.Load()
	if config == nil {
		return l
	}
	if n := config.Limits.HeaderBytes; n > 0 {
		l.bytes = int64(n)
	}
	if d := config.Limits.HeaderTimeout; d > 0 {
		l.timeout = d + headerTimeoutMargin
	}
	if d := config.Limits.IdleTimeout; d > 0 {
		l.idle = d
	}
	return l
}

// drain makes the readiness probe fail, but keeps serving the requests that can be
// answered before the connections are closed. Once no more requests arrive, or the
// time is up, it shuts the server down and waits for the requests in progress. At the
// end, it answers those that are not finished.
func (f *Front) drain(server *http.Server, duties *duties) {
	log.Info(logPrefix + "stopping")
	start := time.Now()
	drainTime := time.Duration(drainShare * float64(f.settings.ShutdownGrace))
	deadline := start.Add(drainTime)
	f.closeConnsAt.Store(f.now() + drainTime)
	f.stopping.Store(true)
	duties.stop()
	for time.Since(start) < drainTime-closeIdleTime {
		if time.Since(start) >= min(minLameDuckTime, drainTime/2) && f.quiet() {
			break
		}
		time.Sleep(drainCheckInterval)
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		log.WithError(err).Warn(logPrefix + "shutdown grace period ended with requests still running")
		f.startClosing()
		finalCtx, cancel := context.WithDeadline(context.Background(), start.Add(time.Duration(finalAnswerShare*float64(f.settings.ShutdownGrace))))
		defer cancel()
		if err := server.Shutdown(finalCtx); err != nil {
			log.WithError(err).Warn(logPrefix + "stopped without an answer to some requests")
			return
		}
	}
	log.Info(logPrefix + "stopped")
}

// quiet reports whether no request is in progress and none has arrived for
// quietTime, or for a quarter of Settings.ShutdownGrace if that is shorter.
func (f *Front) quiet() bool {
	return f.activeRequests.Load() == 0 && f.now()-time.Duration(f.lastRequestAt.Load()) > min(quietTime, f.settings.ShutdownGrace/4)
}

// serveProbe answers a readiness probe of the balancer with status 200 or 503.
func (f *Front) serveProbe(w http.ResponseWriter, _ *http.Request) {
	if f.ready() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// ready reports whether the front has a configuration, knows the backend servers, the other
// fronts, which software versions began the streams of late and which requests to refuse, and
// is not stopping.
func (f *Front) ready() bool {
	return !f.stopping.Load() && f.config.Load() != nil && f.knowsBackends() && f.knowsFronts() && f.hasReadHistory() && f.origins.storedLoaded() && f.quarantine.isLoaded()
}

// knowsBackends reports whether the front has a list of backend servers. Without one it
// refuses all requests.
func (f *Front) knowsBackends() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.backends.known
}

// knowsFronts reports whether the roster has been read, or can't be had in time. Before, the
// front refuses to go on with streams of unknown origin.
func (f *Front) knowsFronts() bool {
	return f.peers.hasReadRoster() || f.now() > rosterLoadTime
}

// servePruning calls removeExpired periodically until ctx is done.
func (f *Front) servePruning(ctx context.Context) error {
	ticker := time.NewTicker(pruneInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			f.removeExpired(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

// removeExpired removes backend servers that did not register again in time and
// expired origins, closes connections that have expired or lead to unregistered
// backend servers, opens sentinels to those that leave, and updates the gauges.
func (f *Front) removeExpired(ctx context.Context) {
	f.mu.Lock()
	var replaced []unprovenRun
	if f.backends.removeExpired(f.now()) {
		f.updatePlacer()
		replaced = f.backends.takeReplaced()
	}
	f.backends.forgetProven(f.now())
	known, staying := f.backends.addresses()
	for feed, at := range f.feedAnsweredAt {
		f.metrics.SetGauge("feed_age_seconds_"+feed, (f.now() - at).Seconds())
	}
	f.metrics.SetGauge("backends", float64(len(f.backends.byID)))
	f.metrics.SetGauge("store_era", float64(f.platform.Era()))
	f.metrics.SetGauge("backends_withheld", float64(len(f.backends.withheld)))
	f.metrics.SetGauge("connections_dialed", float64(f.pool.DialCount()))
	f.metrics.SetGauge("unproven_runs", float64(len(f.backends.unproven.list)))
	f.mu.Unlock()
	f.recordReplacedRuns(replaced)
	f.metrics.SetGauge("fronts", float64(f.peers.frontCount()))
	f.metrics.SetGauge("origins", float64(f.origins.removeExpired()))
	f.quarantine.updateMetrics()
	f.pool.Prune(time.Now(), func(address string) bool { return known[address] })
	f.pool.UpdateSentinels(ctx, func(address string) bool { return !staying[address] })
}
