package peridotentry

import (
	"context"
	"crypto/rand"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/pkg/errors"

	"peridotstack/peridotconfig"
	"peridotstack/peridotmetric"
	"peridotstack/peridotoperator"
	"peridotstack/peridotplatform"
	"peridotstack/peridotsettings"
	"peridotstack/peridotsync"
	"peridotstack/peridottree"
	"peridotstack/peridotusage"
	"peridotstack/peridotwire"
)

const (
	logPrefix = "entry: "
	// maxHeadBytes bounds the size of the request line and headers together.
	maxHeadBytes = 64 << 10
	// controlStopTimeout bounds the time that Serve waits at shutdown until the
	// control has released its leases.
	controlStopTimeout = 5 * time.Second
	// operatorBodyTimeout bounds the time in which an operator's request must be
	// received. The largest requests contain some thousand accounts and take a
	// second on a slow link.
	operatorBodyTimeout = 30 * time.Second
	// drainShare is the fraction of the shutdown grace after which requests in
	// progress are ended. The rest of the grace is for sending their answers.
	drainShare = 0.9
)

// Entry is an entry instance. It must be created with New.
type Entry struct {
	settings    peridotsettings.Entry
	platform    *peridotplatform.Client
	metrics     *peridotmetric.Metrics
	identity    *peridotwire.Identity
	node        *peridotsync.Node
	pool        *pool
	traffic     *traffic
	callerConns connTracker
	usage       *peridotusage.Counter
	quarantine  *quarantine
	// usageNow returns the wall-clock time that decides when a usage window is
	// sealed.
	usageNow func() time.Time
	// stopping is set once new requests are refused.
	stopping atomic.Bool
	// closing is done once a stopping instance answers the requests that it cannot
	// finish.
	closing      context.Context
	startClosing context.CancelFunc
	// createdAt is the time at which the instance was created.
	createdAt time.Time
	// firstConfigWaitOver is set once requests no longer wait for the first
	// configuration of the instance.
	firstConfigWaitOver atomic.Bool
	// unready makes the readiness check fail, so that the load balancer sends
	// callers to other instances.
	unready atomic.Bool
}

// Option configures an Entry.
type Option func(*Entry)

// WithMetrics sets the metrics that the entry instance updates.
func WithMetrics(m *peridotmetric.Metrics) Option {
	return func(e *Entry) { e.metrics = m }
}

// New returns an entry instance that has not been started.
func New(s peridotsettings.Entry, platform *peridotplatform.Client, options ...Option) *Entry {
	e := &Entry{settings: s, platform: platform, metrics: &peridotmetric.Metrics{}, createdAt: time.Now(), usageNow: time.Now, quarantine: newQuarantine()}
	e.closing, e.startClosing = context.WithCancel(context.Background())
	e.usage = peridotusage.NewCounter(peridotusage.Process{Instance: s.Instance, Incarnation: rand.Text()}, 0)
	for _, option := range options {
		option(e)
	}
	e.pool = newPool(s.Instance, s.Domain, platform.Instances)
	e.node = peridotsync.New(s.Instance, platform, e.pool, peridotsync.WithMetrics(e.metrics))
	e.node.SetReader(true)
	e.pool.node = e.node
	e.pool.identity = e.identity
	e.traffic = newTraffic(seedFor(s.Instance), e.pool, e.Config)
	e.pool.observeLoad = e.traffic.observeLoad
	e.pool.observeEnds = e.quarantine.observe
	return e
}

// WithIdentity makes the entry instance authenticate itself to agents with i and
// verify their certificates.
func WithIdentity(i *peridotwire.Identity) Option {
	return func(e *Entry) { e.identity = i }
}

// seedFor returns a seed for the random numbers of an instance. It is derived from
// the name of the instance, so that instances draw different numbers.
func seedFor(instance string) uint64 {
	return xxhash.Sum64String(instance)
}

// Config returns the configuration in force.
func (e *Entry) Config() *peridotconfig.Config {
	return e.node.Config()
}

// Serve runs the entry instance until ctx is done. It then drains the requests
// for at most the lame-duck time plus the shutdown grace, and waits at most
// controlStopTimeout longer until the leases are released. Serve returns an
// error only if it cannot listen.
func (e *Entry) Serve(ctx context.Context) error {
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	tree := peridottree.New("entry")
	tree.Add(peridottree.Component{Name: "configuration", Run: e.node.Serve})
	tree.Add(peridottree.Component{Name: "pool", Run: e.pool.Serve})
	tree.Add(peridottree.Component{Name: "panels", Run: e.maintainPanels})
	tree.ServeBackground(serveCtx)
	operator := e.newOperatorServer()
	if err := operator.Start(); err != nil {
		return errors.Wrap(err, "listen for operators")
	}
	defer operator.Stop()
	caller := e.newCallerServer()
	if err := caller.Start(); err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	defer caller.Stop()
	log.Info(logPrefix + "serving callers on " + e.settings.CallerAddress)
	stopControl := newControl(e).startServing()
	<-ctx.Done()
	controlStopped := make(chan struct{})
	go func() {
		defer close(controlStopped)
		stopControl()
	}()
	e.drain()
	select {
	case <-controlStopped:
	case <-time.After(controlStopTimeout):
		log.Warn(logPrefix + "leases were not released in time")
	}
	return nil
}

func (e *Entry) newCallerServer() *nbhttp.Server {
	e.callerConns.metrics = e.metrics
	e.callerConns.bodyTimeout = time.Duration(e.settings.BodyTimeoutMillis) * time.Millisecond
	return e.callerConns.newServer(nbhttp.Config{
		Network:         "tcp",
		Addrs:           []string{e.settings.CallerAddress},
		MaxHTTPBodySize: e.settings.MaxBodyBytes,
		ReadLimit:       e.settings.MaxBodyBytes + maxHeadBytes,
		Handler:         http.HandlerFunc(e.serveCaller),
	})
}

func (e *Entry) newOperatorServer() *nbhttp.Server {
	operator := &peridotoperator.Operator{
		Log:           &peridotconfig.Log{Store: e.platform},
		Config:        e.Config,
		Refresh:       e.node.Refresh,
		AwaitAccepted: e.awaitAccepted,
		Versions:      e.versions,
	}
	mux := e.metrics.NewServeMux(e.isReady)
	mux.Handle("/operator/", operator.Handler())
	operators := &connTracker{metrics: e.metrics, bodyTimeout: operatorBodyTimeout}
	return operators.newServer(nbhttp.Config{
		Network: "tcp",
		Addrs:   []string{e.settings.OperatorAddress},
		Handler: mux,
	})
}

// isReady reports whether the load balancer may send callers to this instance.
func (e *Entry) isReady() bool {
	return !e.unready.Load() && e.Config().Seq > 0
}

// drain fails the readiness check and continues to serve for the lame-duck time,
// so that the load balancer sends callers to other instances. It then refuses
// new requests and waits, for at most the shutdown grace, until all answers have
// been sent. Requests that are unfinished after drainShare of the grace are ended
// and answered with an error.
func (e *Entry) drain() {
	e.unready.Store(true)
	log.Info(logPrefix + "draining")
	time.Sleep(time.Duration(e.settings.LameDuckMillis) * time.Millisecond)
	e.stopping.Store(true)
	grace := time.Duration(e.settings.ShutdownGraceMillis) * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	drainCtx, cancelDrain := context.WithTimeout(ctx, time.Duration(drainShare*float64(grace)))
	defer cancelDrain()
	if err := e.callerConns.drain(drainCtx); err != nil {
		log.Warn(logPrefix + "shutdown grace passed with requests still running")
		e.startClosing()
		if err := e.callerConns.drain(ctx); err != nil {
			log.Warn(logPrefix + "stopped without an answer to some requests")
			return
		}
	}
	log.Info(logPrefix + "drained")
}
