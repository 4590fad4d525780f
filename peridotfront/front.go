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
	"peridotstack/peridotretry"
	"peridotstack/peridotsite"
	"peridotstack/peridottree"
	"peridotstack/peridotusage"
)

const (
	logPrefix = "front: "
	// backendDialTimeout bounds a new connection to a backend server, a few
	// milliseconds away; a lost opening packet comes again after a second.
	backendDialTimeout = 400 * time.Millisecond
	// maxHeadBytes bounds the request line and headers together.
	maxHeadBytes = 64 << 10
	// callerIdle is how long an idle caller's connection is kept, which is longer
	// than callers keep theirs.
	callerIdle = 2 * time.Minute
	// callerHeaderTimeout bounds the time that a request's header takes.
	callerHeaderTimeout = 5 * time.Second
	// pruneInterval is the time between two searches for expired connections.
	pruneInterval = 250 * time.Millisecond
	// bodyShare is the part of the process's memory that request bodies may take.
	bodyShare = 0.25
	// usageKept is how many usage windows are remembered.
	usageKept = 8
)

// Front is one instance. Make one with New.
type Front struct {
	settings Settings
	platform Platform
	protocol Protocol
	clock    *peridotclock.True
	metrics  *peridotmetric.Metrics
	pool     *peridotlink.Pool
	self     peridotusage.Process
	started  time.Time

	config atomic.Pointer[peridotsite.Config]
	// stopping is set from the signal to stop on.
	stopping atomic.Bool
	// stopAt is the time since the start at which a stopping front closes its
	// connections; active counts requests, lastCall is when the last one came.
	stopAt   atomicDuration
	active   atomic.Int64
	lastCall atomicDuration
	// bodies is the memory that request bodies take now, in bytes.
	bodies atomic.Int64

	mu       sync.Mutex
	placer   *peridotplace.Placer
	repeats  *peridotretry.WindowBudget
	tally    *peridotusage.Tally
	backends backends
	peers    *peers
	// feeds tells which feeds are away, reached when each answered last, and since
	// from when on it has answered without a break.
	feeds   map[string]bool
	reached map[string]time.Duration
	since   map[string]time.Duration
}

// atomicDuration is a duration that goroutines share.
type atomicDuration struct{ atomic.Int64 }

// Store sets the duration.
func (d *atomicDuration) Store(to time.Duration) { d.Int64.Store(int64(to)) }

// Option sets an optional part of a Front.
type Option func(*Front)

// WithMetrics makes the front count into m.
func WithMetrics(m *peridotmetric.Metrics) Option {
	return func(f *Front) { f.metrics = m }
}

// New returns a front that has not started. The platform must feed clock with
// readings of the table service's clock.
func New(s Settings, platform Platform, protocol Protocol, clock *peridotclock.True, options ...Option) *Front {
	self := peridotusage.Process{Instance: s.Instance, Incarnation: rand.Text()}
	f := &Front{
		settings: s, platform: platform, protocol: protocol, clock: clock,
		metrics: &peridotmetric.Metrics{},
		pool:    peridotlink.NewPool(backendDialTimeout),
		self:    self,
		started: peridotclock.Boot(),
		placer:  peridotplace.New(xxhash.Sum64String(self.Incarnation), s.Domain),
		repeats: &peridotretry.WindowBudget{Ratio: s.RepeatRatio * repeatMargin, Slack: 0, Window: s.RepeatWindow},
		tally:   peridotusage.NewTally(self, s.UsageWindow, usageKept),
		feeds:   make(map[string]bool),
		reached: make(map[string]time.Duration),
		since:   make(map[string]time.Duration),
	}
	f.backends.known = make(map[string]peridotsite.Backend)
	f.peers = newPeers(f)
	for _, option := range options {
		option(f)
	}
	f.shareRepeats()
	return f
}

// now is the time since the start of the process, suspends included.
func (f *Front) now() time.Duration {
	return peridotclock.Boot().Sub(f.started)
}

// Serve runs the front until ctx is done, then drains it within the grace.
func (f *Front) Serve(ctx context.Context) error {
	callers, err := net.Listen("tcp", f.settings.CallerAddress)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	probes, err := net.Listen("tcp", f.settings.ReadyAddress)
	if err != nil {
		return errors.Wrap(err, "listen for probes")
	}
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	tree := peridottree.New("front")
	tree.Add(peridottree.Part{Name: "configuration", Run: func(ctx context.Context) error { return f.platform.WatchConfig(ctx, f) }})
	tree.Add(peridottree.Part{Name: "backends", Run: func(ctx context.Context) error { return f.platform.WatchBackends(ctx, f) }})
	tree.Add(peridottree.Part{Name: "peers", Run: f.peers.serve})
	tree.Add(peridottree.Part{Name: "beliefs", Run: f.serveBeliefs})
	tree.Add(peridottree.Part{Name: "hand-over", Run: f.askOthers})
	tree.Add(peridottree.Part{Name: "clock", Run: f.anchorClock})
	tree.Add(peridottree.Part{Name: "prune", Run: f.prune})
	tree.ServeBackground(serving)
	duties := newDuties(f)
	duties.start(serving)
	probeServer := &http.Server{Handler: http.HandlerFunc(f.serveProbe), ReadHeaderTimeout: callerHeaderTimeout}
	go func() { _ = probeServer.Serve(probes) }() // Ends with Close.
	defer probeServer.Close()
	callerServer := &http.Server{
		Handler: f, ReadHeaderTimeout: callerHeaderTimeout,
		IdleTimeout: callerIdle, MaxHeaderBytes: maxHeadBytes,
	}
	served := make(chan error, 1)
	go func() { served <- callerServer.Serve(callers) }()
	log.WithFields(log.Fields{"instance": f.settings.Instance, "address": f.settings.CallerAddress}).Info(logPrefix + "serving")
	select {
	case <-ctx.Done():
	case err := <-served:
		return errors.Wrap(err, "serve callers")
	}
	f.drain(callerServer, duties)
	return nil
}

const (
	// lameDuck is how long a stopping instance takes new connections at least:
	// until the balancer has missed two probes, one a second.
	lameDuck = 3 * time.Second
	// drainShare is the part of the grace after which connections are closed.
	drainShare = 0.9
	// closeTime is what is left for closing idle connections at the end.
	closeTime = 300 * time.Millisecond
	// quietTime is how long no request must have come for an earlier end. The
	// balancer still sends callers if no other instance is ready.
	quietTime = 700 * time.Millisecond
	// drainStep is the time between two looks at whether all is quiet.
	drainStep = 50 * time.Millisecond
)

// drain says that the front is not ready and serves on what can be answered
// before the end, until callers stay away, and waits for the requests under way.
func (f *Front) drain(server *http.Server, duties *duties) {
	log.Info(logPrefix + "stopping")
	began := time.Now()
	total := time.Duration(drainShare * float64(f.settings.ShutdownGrace))
	end := began.Add(total)
	f.stopAt.Store(f.now() + total)
	f.stopping.Store(true)
	duties.stop()
	for time.Since(began) < total-closeTime {
		if time.Since(began) >= min(lameDuck, total/2) && f.quiet() {
			break
		}
		time.Sleep(drainStep)
	}
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		log.WithError(err).Warn(logPrefix + "requests were still running at the end of the grace")
		return
	}
	log.Info(logPrefix + "stopped")
}

// quiet reports whether no request is under way and none has come lately.
func (f *Front) quiet() bool {
	return f.active.Load() == 0 && f.now()-time.Duration(f.lastCall.Load()) > min(quietTime, f.settings.ShutdownGrace/4)
}

// serveProbe tells the balancer whether to send callers here.
func (f *Front) serveProbe(w http.ResponseWriter, _ *http.Request) {
	if f.ready() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (f *Front) ready() bool {
	return !f.stopping.Load() && f.config.Load() != nil
}

// prune closes connections that have expired or lead to backend servers that are
// gone.
func (f *Front) prune(ctx context.Context) error {
	ticker := time.NewTicker(pruneInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			f.sweep()
		case <-ctx.Done():
			return nil
		}
	}
}

func (f *Front) sweep() {
	f.mu.Lock()
	if f.backends.expire(f.now()) {
		f.placeBackends()
	}
	addresses := f.backends.addresses()
	for feed, at := range f.reached {
		f.metrics.Gauge("feed_age_seconds_"+feed, (f.now() - at).Seconds())
	}
	f.metrics.Gauge("backends", float64(len(f.backends.known)))
	f.metrics.Gauge("connections_dialed", float64(f.pool.Dialed()))
	f.mu.Unlock()
	f.metrics.Gauge("fronts", float64(f.peers.size()))
	f.pool.Prune(time.Now(), func(address string) bool { return addresses[address] })
}
