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
	// maxHeadBytes bounds the request line and headers together.
	maxHeadBytes = 64 << 10
	// controlStopTimeout bounds the wait for the release of leases.
	controlStopTimeout = 5 * time.Second
	// operatorBodyTimeout bounds the time that an operator's request takes to
	// arrive; the largest hold some thousand accounts, a second on a slow link.
	operatorBodyTimeout = 30 * time.Second
)

// Entry is an entry instance. Make one with New.
type Entry struct {
	settings peridotsettings.Entry
	platform *peridotplatform.Client
	metrics  *peridotmetric.Metrics
	identity *peridotwire.Identity
	node     *peridotsync.Node
	pool     *pool
	traffic  *traffic
	callers  callers
	usage    *peridotusage.Counter
	// usageNow is the wall clock by which windows are sealed.
	usageNow func() time.Time
	stopping atomic.Bool
	// created is when the instance was made; proven is set once callers need not
	// wait for its first configuration.
	created time.Time
	proven  atomic.Bool
	// unready tells the balancer to send callers elsewhere.
	unready atomic.Bool
}

// Option sets an optional part of an Entry.
type Option func(*Entry)

// WithMetrics makes the entry count into m.
func WithMetrics(m *peridotmetric.Metrics) Option {
	return func(e *Entry) { e.metrics = m }
}

// New returns an entry instance that has not started.
func New(s peridotsettings.Entry, platform *peridotplatform.Client, options ...Option) *Entry {
	e := &Entry{settings: s, platform: platform, metrics: &peridotmetric.Metrics{}, created: time.Now(), usageNow: time.Now}
	e.usage = peridotusage.NewCounter(peridotusage.Process{Instance: s.Instance, Incarnation: rand.Text()}, 0)
	for _, option := range options {
		option(e)
	}
	e.pool = newPool(s.Instance, s.Domain, platform.Instances)
	e.node = peridotsync.New(s.Instance, platform, e.pool, peridotsync.WithMetrics(e.metrics))
	e.node.SetReader(true)
	e.pool.node = e.node
	e.pool.identity = e.identity
	e.traffic = newTraffic(seedOf(s.Instance), e.pool, e.Config)
	e.pool.observe = e.traffic.observe
	return e
}

// WithIdentity makes the entry prove who it is to agents, and check who they are.
func WithIdentity(i *peridotwire.Identity) Option {
	return func(e *Entry) { e.identity = i }
}

// seedOf returns a seed that differs between instances.
func seedOf(instance string) uint64 {
	return xxhash.Sum64String(instance)
}

// Config returns the configuration in force.
func (e *Entry) Config() *peridotconfig.Config {
	return e.node.Config()
}

// Serve runs the entry until ctx is done, then lets callers' requests end
// within the shutdown grace.
func (e *Entry) Serve(ctx context.Context) error {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	tree := peridottree.New("entry")
	tree.Add(peridottree.Part{Name: "configuration", Run: e.node.Serve})
	tree.Add(peridottree.Part{Name: "pool", Run: e.pool.Serve})
	tree.Add(peridottree.Part{Name: "panels", Run: e.keepPanels})
	tree.ServeBackground(serving)
	operator := e.operatorServer()
	if err := operator.Start(); err != nil {
		return errors.Wrap(err, "listen for operators")
	}
	defer operator.Stop()
	caller := e.callerServer()
	if err := caller.Start(); err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	defer caller.Stop()
	log.Info(logPrefix + "serving callers on " + e.settings.CallerAddress)
	stopControl := newControl(e).start()
	<-ctx.Done()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		stopControl()
	}()
	e.drain()
	select {
	case <-stopped:
	case <-time.After(controlStopTimeout):
		log.Warn(logPrefix + "leases were not released in time")
	}
	return nil
}

func (e *Entry) callerServer() *nbhttp.Server {
	e.callers.metrics = e.metrics
	e.callers.bodyTimeout = time.Duration(e.settings.BodyTimeoutMillis) * time.Millisecond
	return e.callers.server(nbhttp.Config{
		Network:         "tcp",
		Addrs:           []string{e.settings.CallerAddress},
		MaxHTTPBodySize: e.settings.MaxBodyBytes,
		ReadLimit:       e.settings.MaxBodyBytes + maxHeadBytes,
		Handler:         http.HandlerFunc(e.serveCaller),
	})
}

func (e *Entry) operatorServer() *nbhttp.Server {
	operator := &peridotoperator.Operator{
		Log:     &peridotconfig.Log{Store: e.platform},
		Config:  e.Config,
		Refresh: e.node.Refresh,
		Await:   e.awaitAccepted,
		Version: e.versions,
	}
	mux := e.metrics.Pages(e.ready)
	mux.Handle("/operator/", operator.Handler())
	operators := &callers{metrics: e.metrics, bodyTimeout: operatorBodyTimeout}
	return operators.server(nbhttp.Config{
		Network: "tcp",
		Addrs:   []string{e.settings.OperatorAddress},
		Handler: mux,
	})
}

// ready tells the balancer whether to send callers here.
func (e *Entry) ready() bool {
	return !e.unready.Load() && e.Config().Seq > 0
}

// drain first only tells the balancer to send callers elsewhere, then takes no
// new requests and waits until those under way are answered and sent.
func (e *Entry) drain() {
	e.unready.Store(true)
	log.Info(logPrefix + "draining")
	time.Sleep(time.Duration(e.settings.LameDuckMillis) * time.Millisecond)
	e.stopping.Store(true)
	grace := time.Duration(e.settings.ShutdownGraceMillis) * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	if err := e.callers.drain(ctx); err != nil {
		log.Warn(logPrefix + "shutdown grace passed with requests still running")
		return
	}
	log.Info(logPrefix + "drained")
}
