package peridotagent

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"peridotstack/peridotbackend"
	"peridotstack/peridotconfig"
	"peridotstack/peridotmetric"
	"peridotstack/peridotonce"
	"peridotstack/peridotsettings"
	"peridotstack/peridottable"
	"peridotstack/peridotusage"
	"peridotstack/peridotverdict"
	"peridotstack/peridotwire"
)

const (
	// maxJobs bounds the answers kept, running and ended together.
	maxJobs = 4096
	// keepEnded is how long an ended answer waits for a reader to resume.
	keepEnded = 30 * time.Second
	// syncInterval is the time between two looks at the configuration.
	syncInterval = time.Second
	// logPrefix starts every log line of this part.
	logPrefix = "agent: "
)

// Agent is the process beside one backend server. Make one with New.
type Agent struct {
	settings peridotsettings.Agent
	backend  peridotbackend.Backend
	store    peridottable.Store
	metrics  *peridotmetric.Metrics
	config   atomic.Pointer[peridotconfig.Config]
	leaving  atomic.Bool
	// incarnation tells this process from earlier ones of the same instance.
	incarnation string
	once        *peridotonce.Keeper
	usage       *peridotusage.Counter

	mu   sync.Mutex
	jobs map[string]*job
	// active is the number of jobs that have not ended; running waits for them.
	active  int
	running sync.WaitGroup
}

// Option sets an optional part of an Agent.
type Option func(*Agent)

// WithMetrics makes the agent count into m.
func WithMetrics(m *peridotmetric.Metrics) Option {
	return func(a *Agent) { a.metrics = m }
}

// New returns an agent that has not started.
func New(s peridotsettings.Agent, store peridottable.Store, options ...Option) *Agent {
	a := &Agent{settings: s, store: store, metrics: &peridotmetric.Metrics{}, jobs: make(map[string]*job)}
	if s.EngineAddress != "" {
		a.backend = peridotbackend.NewEngine(s.EngineAddress)
	} else {
		a.backend = peridotbackend.NewService(s.ServiceAddress)
	}
	a.config.Store(&peridotconfig.Config{})
	a.incarnation = rand.Text()
	a.once = peridotonce.NewKeeper(store, peridotonce.Process{Instance: s.Instance, Incarnation: a.incarnation}, peridotonce.Options{})
	a.usage = peridotusage.NewCounter(a.process(), 0)
	for _, option := range options {
		option(a)
	}
	return a
}

// Serve runs the agent until ctx is done, then lets running requests end within
// the shutdown grace.
func (a *Agent) Serve(ctx context.Context) error {
	listener, err := net.Listen("tcp", a.settings.PeerAddress)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	server := &peridotwire.Server{Listener: listener, Handler: a}
	served := make(chan error, 1)
	go func() { served <- server.Serve(serving) }()
	go a.followConfig(serving)
	go a.once.Serve(serving)
	log.Info(logPrefix + "serving on " + listener.Addr().String())
	select {
	case <-ctx.Done():
	case err := <-served:
		return errors.Wrap(err, "serve peers")
	}
	a.drain()
	stop()
	return <-served
}

// drain takes no new work and waits for what runs, up to the shutdown grace.
func (a *Agent) drain() {
	a.leaving.Store(true)
	log.Info(logPrefix + "draining")
	grace := time.Duration(a.settings.ShutdownGraceMillis) * time.Millisecond
	done := make(chan struct{})
	go func() {
		a.running.Wait()
		a.saveOutcomes(grace)
		close(done)
	}()
	select {
	case <-done:
		log.Info(logPrefix + "drained")
	case <-time.After(grace):
		log.Warn(logPrefix + "shutdown grace passed with requests still running")
	}
}

// followConfig keeps the configuration up to date.
func (a *Agent) followConfig(ctx context.Context) {
	ticker := time.NewTicker(syncInterval)
	defer ticker.Stop()
	timeline := &peridotconfig.Log{Store: a.store}
	for {
		next, err := timeline.Load(ctx, a.config.Load())
		if err != nil {
			a.metrics.Count("config_read_failures")
		} else {
			a.config.Store(next)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Call serves a request of an entry instance.
func (a *Agent) Call(ctx context.Context, p *peridotwire.Peer, method string, params json.RawMessage) (any, error) {
	switch method {
	case peridotwire.MethodRun:
		var r peridotwire.Run
		if err := decode(params, &r); err != nil {
			return nil, err
		}
		return a.run(ctx, p, r), nil
	case peridotwire.MethodResume:
		var r peridotwire.Resume
		if err := decode(params, &r); err != nil {
			return nil, err
		}
		return a.resume(ctx, p, r), nil
	case peridotwire.MethodPing:
		return a.pong(), nil
	default:
		return nil, peridotverdict.New(peridotverdict.BadRequest, peridotverdict.NotRun, "unknown method "+method)
	}
}

// Notice takes a notification of an entry instance.
func (a *Agent) Notice(_ *peridotwire.Peer, method string, params json.RawMessage) {
	if method != peridotwire.MethodCancel {
		return
	}
	var c peridotwire.Cancel
	if decode(params, &c) == nil {
		a.cancel(c.RequestID)
	}
}

func (a *Agent) pong() peridotwire.Pong {
	return peridotwire.Pong{
		From:    a.settings.Instance,
		Domain:  a.settings.Domain,
		Version: peridotwire.Version{Seq: a.config.Load().Seq},
		Load:    a.load(),
		Leaving: a.leaving.Load(),

		Incarnation: a.incarnation,
	}
}

func decode(params json.RawMessage, message any) error {
	if err := json.Unmarshal(params, message); err != nil {
		return peridotverdict.New(peridotverdict.BadRequest, peridotverdict.NotRun, "malformed message", peridotverdict.Cause(err))
	}
	return nil
}
