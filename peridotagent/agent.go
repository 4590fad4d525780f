package peridotagent

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"peridotstack/peridotbackend"
	"peridotstack/peridotmetric"
	"peridotstack/peridotonce"
	"peridotstack/peridotorder"
	"peridotstack/peridotsettings"
	"peridotstack/peridotsync"
	"peridotstack/peridottable"
	"peridotstack/peridottree"
	"peridotstack/peridotusage"
	"peridotstack/peridotverdict"
	"peridotstack/peridotwire"
)

const (
	// maxJobs bounds the requests under way.
	maxJobs = 4096
	// maxEnded bounds the ended answers kept.
	maxEnded = 4096
	// keepEnded is how long an ended answer waits for a reader to resume.
	keepEnded = 30 * time.Second
	// logPrefix starts every log line of this part.
	logPrefix = "agent: "
)

// Agent is the process beside one backend server. Make one with New.
type Agent struct {
	settings peridotsettings.Agent
	backend  peridotbackend.Backend
	store    peridottable.Store
	metrics  *peridotmetric.Metrics
	identity *peridotwire.Identity
	node     *peridotsync.Node
	entries  entries
	leaving  atomic.Bool
	once     *peridotonce.Keeper
	usage    *peridotusage.Counter

	mu   sync.Mutex
	jobs map[string]*job
	// active is the number of jobs that have not ended; running waits for them.
	active int
	// ended lists the ended jobs, the oldest first.
	ended   []endedJob
	running sync.WaitGroup
	// quietUntil is set while an order needs the engine to itself; mu guards it.
	quietUntil time.Time
	// orders is nil beside a plain service.
	orders *peridotorder.Executor
}

// Option sets an optional part of an Agent.
type Option func(*Agent)

// WithMetrics makes the agent count into m.
func WithMetrics(m *peridotmetric.Metrics) Option {
	return func(a *Agent) { a.metrics = m }
}

// WithIdentity makes the agent prove who it is to its peers, and check who they
// are.
func WithIdentity(i *peridotwire.Identity) Option {
	return func(a *Agent) { a.identity = i }
}

// New returns an agent that has not started.
func New(s peridotsettings.Agent, store peridottable.Store, options ...Option) *Agent {
	a := &Agent{settings: s, store: store, metrics: &peridotmetric.Metrics{}, jobs: make(map[string]*job)}
	if s.EngineAddress != "" {
		a.backend = peridotbackend.NewEngine(s.EngineAddress)
	} else {
		a.backend = peridotbackend.NewService(s.ServiceAddress)
	}
	for _, option := range options {
		option(a)
	}
	a.node = peridotsync.New(s.Instance, nil, &a.entries, peridotsync.WithMetrics(a.metrics))
	a.once = peridotonce.NewKeeper(store, peridotonce.Process{Instance: s.Instance, Incarnation: a.node.Incarnation}, peridotonce.Options{})
	a.usage = peridotusage.NewCounter(a.process(), 0)
	a.orders = a.newExecutor()
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
	server := &peridotwire.Server{Listener: listener, Handler: a, Identity: a.identity, Refused: a.refusedPeer}
	served := make(chan error, 1)
	go func() { served <- server.Serve(serving) }()
	tree := peridottree.New("agent")
	tree.Add(peridottree.Part{Name: "configuration", Run: a.node.Serve})
	tree.Add(peridottree.Part{Name: "records", Run: a.once.Serve})
	tree.ServeBackground(serving)
	log.Info(logPrefix + "serving on " + listener.Addr().String())
	select {
	case <-ctx.Done():
	case err := <-served:
		return errors.Wrap(err, "serve peers")
	}
	a.drain(server)
	stop()
	return <-served
}

// refusedPeer counts a peer without a valid certificate.
func (a *Agent) refusedPeer(err error) {
	a.metrics.CountRefusal(peridotverdict.PeerRefused)
	log.Warn(logPrefix + "refused a peer: " + err.Error())
}

// drain takes no new work and waits, up to the shutdown grace, until what runs
// has ended and its answers have been written.
func (a *Agent) drain(server *peridotwire.Server) {
	a.mu.Lock()
	a.leaving.Store(true)
	a.mu.Unlock()
	log.Info(logPrefix + "draining")
	grace := time.Duration(a.settings.ShutdownGraceMillis) * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	ended := make(chan struct{})
	go func() {
		a.running.Wait()
		a.saveOutcomes(grace)
		close(ended)
	}()
	select {
	case <-ended:
	case <-ctx.Done():
	}
	a.awaitCollected(ctx)
	if err := server.AwaitAnswers(ctx); err != nil {
		log.Warn(logPrefix + "shutdown grace passed with requests still running")
		return
	}
	log.Info(logPrefix + "drained")
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
		var ping peridotwire.Ping
		if err := decode(params, &ping); err != nil {
			return nil, err
		}
		return a.ping(p, ping), nil
	case peridotwire.MethodCommits:
		var f peridotwire.Fetch
		if err := decode(params, &f); err != nil {
			return nil, err
		}
		return a.node.Since(f.After), nil
	case peridotwire.MethodOrder:
		return a.order(ctx, params)
	case peridotwire.MethodCollect:
		var c peridotwire.Collect
		if err := decode(params, &c); err != nil {
			return nil, err
		}
		return peridotwire.Collected{}, a.collect(ctx, p, c)
	case peridotwire.MethodDescribe:
		return a.describe(ctx, params)
	default:
		return nil, peridotverdict.New(peridotverdict.BadRequest, peridotverdict.NotRun, "unknown method "+method)
	}
}

// Notice takes a notification of an entry instance.
func (a *Agent) Notice(_ *peridotwire.Peer, method string, params json.RawMessage) {
	switch method {
	case peridotwire.MethodCancel:
		var c peridotwire.Cancel
		if decode(params, &c) == nil {
			a.cancel(c.RequestID)
		}
	case peridotwire.MethodConfirm:
		var c peridotwire.Confirm
		if decode(params, &c) == nil {
			a.node.Confirmed(c.From, c.Version, c.Stamp)
		}
	}
}

func (a *Agent) pong() peridotwire.Pong {
	pong := peridotwire.Pong{
		From:        a.settings.Instance,
		Domain:      a.settings.Domain,
		Incarnation: a.node.Incarnation,
		Version:     a.node.Version(),
		Stamp:       a.node.Stamp(),
		Load:        a.load(),
		Leaving:     a.leaving.Load(),
		Quiet:       a.isQuiet(),
	}
	if pong.Leaving {
		// Another process may soon answer at this address; this one acknowledges
		// nothing any more.
		pong.Incarnation = ""
	}
	return pong
}

func decode(params json.RawMessage, message any) error {
	if err := json.Unmarshal(params, message); err != nil {
		return peridotverdict.New(peridotverdict.BadRequest, peridotverdict.NotRun, "malformed message", peridotverdict.Cause(err))
	}
	return nil
}
