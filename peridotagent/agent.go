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
	// maxJobs limits the number of requests in progress.
	maxJobs = 4096
	// maxEndedJobs limits the number of ended requests whose answers are kept.
	maxEndedJobs = 4096
	// endedJobRetention is how long the answer of an ended request is kept for
	// readers that resume it.
	endedJobRetention = 30 * time.Second
	// logPrefix starts every log line of the agent.
	logPrefix = "agent: "
)

// Agent is the process beside one backend server. Create one with New. Its exported
// methods are safe for concurrent use.
type Agent struct {
	settings peridotsettings.Agent
	backend  peridotbackend.Backend
	store    peridottable.Store
	metrics  *peridotmetric.Metrics
	identity *peridotwire.Identity
	node     *peridotsync.Node
	entries  entryPeers
	// leaving is set once the agent has stopped admitting requests for good.
	leaving    atomic.Bool
	onceKeeper *peridotonce.Keeper
	usage      *peridotusage.Counter
	ends       ends

	mu   sync.Mutex
	jobs map[string]*job
	// activeJobs is the number of jobs that have not ended.
	activeJobs int
	// endedJobs lists the ended jobs, oldest first.
	endedJobs []endedJob
	// runningJobs waits for the active jobs.
	runningJobs sync.WaitGroup
	// quiescedUntil is when the agent admits requests again after an order stopped
	// their admission.
	quiescedUntil time.Time
	// orderExecutor is nil if the backend server is a plain service.
	orderExecutor *peridotorder.Executor
}

// Option configures an Agent.
type Option func(*Agent)

// WithMetrics makes the agent record its metrics in m.
func WithMetrics(m *peridotmetric.Metrics) Option {
	return func(a *Agent) { a.metrics = m }
}

// WithIdentity makes the agent authenticate itself to its peers with i and verify
// their certificates.
func WithIdentity(i *peridotwire.Identity) Option {
	return func(a *Agent) { a.identity = i }
}

// New returns an agent; call Serve to start it.
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
	a.onceKeeper = peridotonce.NewKeeper(store, peridotonce.Process{Instance: s.Instance, Incarnation: a.node.Incarnation}, peridotonce.Options{})
	a.usage = peridotusage.NewCounter(a.process(), 0)
	a.orderExecutor = a.newExecutor()
	return a
}

// Serve runs the agent until ctx is done, then drains it within the shutdown grace
// of its settings. It returns an error if it cannot listen or accept connections.
func (a *Agent) Serve(ctx context.Context) error {
	listener, err := net.Listen("tcp", a.settings.PeerAddress)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	server := &peridotwire.Server{Listener: listener, Handler: a, Identity: a.identity, OnRefused: a.recordRefusedPeer}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(serveCtx) }()
	tree := peridottree.New("agent")
	tree.Add(peridottree.Component{Name: "configuration", Run: a.node.Serve})
	tree.Add(peridottree.Component{Name: "records", Run: a.onceKeeper.Serve})
	tree.ServeBackground(serveCtx)
	log.Info(logPrefix + "serving on " + listener.Addr().String())
	select {
	case <-ctx.Done():
	case err := <-serveErr:
		return errors.Wrap(err, "serve peers")
	}
	a.drain(server)
	stop()
	return <-serveErr
}

// recordRefusedPeer counts and logs the refusal of a peer without a valid
// certificate.
func (a *Agent) recordRefusedPeer(err error) {
	a.metrics.CountRefusal(peridotverdict.PeerRefused)
	log.Warn(logPrefix + "refused a peer: " + err.Error())
}

// drain stops the admission of requests. It then waits, up to the shutdown grace,
// until all requests have ended, their outcomes are recorded, all usage figures are
// handed over, and all answers are written.
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
		a.runningJobs.Wait()
		a.flushOutcomes(grace)
		close(ended)
	}()
	select {
	case <-ended:
	case <-ctx.Done():
	}
	a.awaitUsageCollected(ctx)
	if err := server.AwaitAnswers(ctx); err != nil {
		log.Warn(logPrefix + "shutdown grace passed with requests still running")
		return
	}
	log.Info(logPrefix + "drained")
}

// HandleRequest implements peridotwire.Handler for requests of entry instances. Its
// error has the code BadRequest if the method is unknown or the parameters are
// malformed.
func (a *Agent) HandleRequest(ctx context.Context, p *peridotwire.Peer, method string, params json.RawMessage) (any, error) {
	switch method {
	case peridotwire.MethodRun:
		var r peridotwire.Run
		if err := decodeParams(params, &r); err != nil {
			return nil, err
		}
		return a.handleRun(ctx, p, r), nil
	case peridotwire.MethodResume:
		var r peridotwire.Resume
		if err := decodeParams(params, &r); err != nil {
			return nil, err
		}
		return a.handleResume(ctx, p, r), nil
	case peridotwire.MethodPing:
		var ping peridotwire.Ping
		if err := decodeParams(params, &ping); err != nil {
			return nil, err
		}
		return a.handlePing(p, ping), nil
	case peridotwire.MethodCommits:
		var f peridotwire.Fetch
		if err := decodeParams(params, &f); err != nil {
			return nil, err
		}
		return a.node.UpdateSince(f.After), nil
	case peridotwire.MethodOrder:
		return a.handleOrder(ctx, params)
	case peridotwire.MethodCollect:
		var c peridotwire.Collect
		if err := decodeParams(params, &c); err != nil {
			return nil, err
		}
		return peridotwire.Collected{}, a.handleCollect(ctx, p, c)
	case peridotwire.MethodDescribe:
		return a.handleDescribe(ctx, params)
	default:
		return nil, peridotverdict.New(peridotverdict.BadRequest, peridotverdict.NotRun, "unknown method "+method)
	}
}

// HandleNotification implements peridotwire.Handler for notifications of entry
// instances. It ignores malformed notifications.
func (a *Agent) HandleNotification(_ *peridotwire.Peer, method string, params json.RawMessage) {
	switch method {
	case peridotwire.MethodCancel:
		var c peridotwire.Cancel
		if decodeParams(params, &c) == nil {
			a.cancelJob(c.RequestID)
		}
	case peridotwire.MethodConfirm:
		var c peridotwire.Confirm
		if decodeParams(params, &c) == nil {
			a.node.HandleConfirm(c.From, c.Version, c.Stamp)
		}
	}
}

// newPong returns the answer to a heartbeat.
func (a *Agent) newPong() peridotwire.Pong {
	pong := peridotwire.Pong{
		From:        a.settings.Instance,
		Domain:      a.settings.Domain,
		Incarnation: a.node.Incarnation,
		Version:     a.node.Version(),
		Stamp:       a.node.Stamp(),
		Load:        a.currentLoad(),
		Leaving:     a.leaving.Load(),
		Quiet:       a.isQuiesced(),
		Ended:       a.ends.list(time.Now()),
	}
	if pong.Leaving {
		// An empty Incarnation means that this process is no longer a witness.
		// Another process may soon answer at its address.
		pong.Incarnation = ""
	}
	return pong
}

// decodeParams decodes the parameters of a call or notification into message. Its
// error has the code BadRequest and the verdict NotRun.
func decodeParams(params json.RawMessage, message any) error {
	if err := json.Unmarshal(params, message); err != nil {
		return peridotverdict.New(peridotverdict.BadRequest, peridotverdict.NotRun, "malformed message", peridotverdict.Cause(err))
	}
	return nil
}
