package peridotentry

import (
	"context"
	"crypto/rand"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/pkg/errors"

	"peridotstack/peridotconfig"
	"peridotstack/peridotmetric"
	"peridotstack/peridotoperator"
	"peridotstack/peridotplatform"
	"peridotstack/peridotsettings"
	"peridotstack/peridotusage"
	"peridotstack/peridotwire"
)

const (
	logPrefix    = "entry: "
	syncInterval = time.Second
)

// Entry is an entry instance. Make one with New.
type Entry struct {
	settings peridotsettings.Entry
	platform *peridotplatform.Client
	metrics  *peridotmetric.Metrics
	config   atomic.Pointer[peridotconfig.Config]
	pool     *pool
	callers  callers
	usage    *peridotusage.Counter
	stopping atomic.Bool
	// running waits for callers' requests during a graceful shutdown.
	running sync.WaitGroup
}

// Option sets an optional part of an Entry.
type Option func(*Entry)

// WithMetrics makes the entry count into m.
func WithMetrics(m *peridotmetric.Metrics) Option {
	return func(e *Entry) { e.metrics = m }
}

// New returns an entry instance that has not started.
func New(s peridotsettings.Entry, platform *peridotplatform.Client, options ...Option) *Entry {
	e := &Entry{settings: s, platform: platform, metrics: &peridotmetric.Metrics{}}
	e.config.Store(&peridotconfig.Config{})
	e.usage = peridotusage.NewCounter(peridotusage.Process{Instance: s.Instance, Incarnation: rand.Text()}, 0)
	e.pool = newPool(s.Instance, platform.Instances, e.version)
	for _, option := range options {
		option(e)
	}
	return e
}

// Config returns the configuration in force.
func (e *Entry) Config() *peridotconfig.Config {
	return e.config.Load()
}

func (e *Entry) version() peridotwire.Version {
	return peridotwire.Version{Seq: e.Config().Seq}
}

// Serve runs the entry until ctx is done, then lets callers' requests end
// within the shutdown grace.
func (e *Entry) Serve(ctx context.Context) error {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go e.followConfig(serving)
	go e.pool.Serve(serving)
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
	<-ctx.Done()
	e.drain()
	return nil
}

func (e *Entry) callerServer() *nbhttp.Server {
	server := nbhttp.NewServer(nbhttp.Config{
		Network:         "tcp",
		Addrs:           []string{e.settings.CallerAddress},
		MaxHTTPBodySize: e.settings.MaxBodyBytes,
		Handler:         http.HandlerFunc(e.serveCaller),
	})
	server.OnClose(e.callers.closed)
	return server
}

func (e *Entry) operatorServer() *nbhttp.Server {
	operator := &peridotoperator.Operator{
		Log:     &peridotconfig.Log{Store: e.platform},
		Config:  e.Config,
		Refresh: e.refreshConfig,
	}
	mux := http.NewServeMux()
	mux.Handle("/operator/", operator.Handler())
	mux.Handle("GET /metrics", e.metrics.Handler())
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /ready", e.serveReady)
	return nbhttp.NewServer(nbhttp.Config{
		Network: "tcp",
		Addrs:   []string{e.settings.OperatorAddress},
		Handler: mux,
	})
}

// serveReady tells the balancer whether to send callers here.
func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if e.stopping.Load() || e.Config().Seq == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// drain takes no new requests and waits for those under way.
func (e *Entry) drain() {
	e.stopping.Store(true)
	log.Info(logPrefix + "draining")
	done := make(chan struct{})
	go func() {
		e.running.Wait()
		close(done)
	}()
	grace := time.Duration(e.settings.ShutdownGraceMillis) * time.Millisecond
	select {
	case <-done:
		log.Info(logPrefix + "drained")
	case <-time.After(grace):
		log.Warn(logPrefix + "shutdown grace passed with requests still running")
	}
}

// followConfig keeps the configuration up to date.
func (e *Entry) followConfig(ctx context.Context) {
	for ctx.Err() == nil {
		if err := e.refreshConfig(ctx); err != nil {
			e.metrics.Count("config_read_failures")
		}
		wait(ctx, syncInterval)
	}
}

// refreshConfig applies the commits that the table service has by now.
func (e *Entry) refreshConfig(ctx context.Context) error {
	timeline := &peridotconfig.Log{Store: e.platform}
	for {
		old := e.Config()
		next, err := timeline.Load(ctx, old)
		if err != nil {
			return err
		}
		// Two refreshes may race; the configuration only ever moves forward.
		if next.Seq <= old.Seq || e.config.CompareAndSwap(old, next) {
			return nil
		}
	}
}
