package peridotagent

import (
	"context"
	"time"

	"peridotstack/peridotbackend"
	"peridotstack/peridotstream"
	"peridotstack/peridotverdict"
	"peridotstack/peridotwire"
)

const (
	maxAnswerBytes = 8 << 20
	// orphanGrace is how long a request goes on after its last reader has gone.
	orphanGrace   = 10 * time.Second
	cancelTimeout = time.Second
)

// job is one request and its answer.
type job struct {
	account  string
	timeline peridotstream.Timeline
	cancel   context.CancelFunc
	// once is set for a request that is not idempotent; it goes on without readers.
	once bool
	// orphan fires when no reader has come back in time; it is guarded by the
	// agent's mutex, and so is readers.
	orphan  *time.Timer
	readers int
}

// run starts a request and follows its answer.
func (a *Agent) run(ctx context.Context, p *peridotwire.Peer, r peridotwire.Run) peridotwire.Result {
	j, err := a.start(r)
	if err != nil {
		a.metrics.CountRefusal(err.Code)
		return peridotwire.Result{Err: err, Load: a.load()}
	}
	return a.follow(ctx, p, r.RequestID, j, 0)
}

// resume follows an answer behind the reader's checkpoint.
func (a *Agent) resume(ctx context.Context, p *peridotwire.Peer, r peridotwire.Resume) peridotwire.Result {
	a.mu.Lock()
	j := a.jobs[r.RequestID]
	a.mu.Unlock()
	if j == nil || j.account != r.Account {
		// The agent may have restarted, or forgotten an answer that ended long ago.
		err := peridotverdict.New(peridotverdict.UnknownRequest, peridotverdict.MayHaveRun, "no such request")
		a.metrics.CountRefusal(err.Code)
		return peridotwire.Result{Err: err, Load: a.load()}
	}
	return a.follow(ctx, p, r.RequestID, j, r.After)
}

// start admits a request and hands it to the backend server.
func (a *Agent) start(r peridotwire.Run) (*job, *peridotverdict.Error) {
	if refused := a.admit(r); refused != nil {
		return nil, refused
	}
	if r.TimeoutMillis <= 0 {
		return nil, peridotverdict.New(peridotverdict.DeadlinePassed, peridotverdict.NotRun, "the deadline has passed")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leaving.Load() {
		return nil, peridotverdict.New(peridotverdict.Leaving, peridotverdict.NotRun, "the backend server is leaving")
	}
	if a.quiet() {
		return nil, peridotverdict.New(peridotverdict.Leaving, peridotverdict.NotRun, "the engine is about to change", peridotverdict.RetryAfter(time.Second))
	}
	if _, ok := a.jobs[r.RequestID]; ok {
		return nil, peridotverdict.New(peridotverdict.BadRequest, peridotverdict.Ran, "the request id was used before")
	}
	if a.active >= maxJobs {
		return nil, peridotverdict.New(peridotverdict.Overloaded, peridotverdict.NotRun, "too many requests", peridotverdict.RetryAfter(time.Second))
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(r.TimeoutMillis)*time.Millisecond)
	j := &job{account: r.Account, cancel: cancel, once: !r.Idempotent}
	j.timeline.MaxBytes = maxAnswerBytes
	a.jobs[r.RequestID] = j
	a.active++
	a.running.Add(1)
	go a.execute(ctx, r, j)
	return j, nil
}

func (a *Agent) execute(ctx context.Context, r peridotwire.Run, j *job) {
	defer a.running.Done()
	defer j.cancel()
	request := peridotbackend.Request{
		ID:             r.RequestID,
		Method:         r.Method,
		Path:           r.Path,
		Query:          r.Query,
		ContentType:    r.ContentType,
		Body:           r.Body,
		Stream:         r.Stream,
		Priority:       r.Priority,
		IdempotencyKey: r.IdempotencyKey,
	}
	ran := true
	if r.Idempotent {
		peridotbackend.Run(ctx, a.backend, request, &j.timeline)
	} else {
		ran = a.runOnce(ctx, r, request, &j.timeline)
	}
	if ran {
		a.countUse(r, &j.timeline)
	}
	if ctx.Err() != nil {
		a.cancelAtEngine(r.RequestID)
	}
	a.keep(r.RequestID)
}

// cancelAtEngine tells an engine that nobody waits for the request any more. The
// engine sees the closed connection too, but not through every proxy.
func (a *Agent) cancelAtEngine(requestID string) {
	engine, ok := a.backend.(*peridotbackend.Engine)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if err := engine.Cancel(ctx, requestID); err != nil {
		a.metrics.Count("cancel_failures")
	}
}

// endedJob is a job whose answer waits for readers that come back.
type endedJob struct {
	requestID string
	at        time.Time
}

// keep leaves an ended answer for readers that come back, for a while and as
// long as there are not too many.
func (a *Agent) keep(requestID string) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.active--
	a.ended = append(a.ended, endedJob{requestID, now})
	for len(a.ended) > maxEnded || now.Sub(a.ended[0].at) > keepEnded {
		delete(a.jobs, a.ended[0].requestID)
		a.ended = a.ended[1:]
	}
}

// follow sends the chunks behind a checkpoint and returns the end. The request
// itself goes on for a while when its reader is lost.
func (a *Agent) follow(ctx context.Context, p *peridotwire.Peer, requestID string, j *job, after int) peridotwire.Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-p.Closed():
			cancel()
		case <-ctx.Done():
		}
	}()
	a.enter(j)
	defer a.leave(j)
	for {
		chunks, end, err := j.timeline.Next(ctx, after)
		if err != nil {
			return peridotwire.Result{Err: peridotverdict.New(peridotverdict.Canceled, peridotverdict.MayHaveRun, "the reader has gone")}
		}
		if len(chunks) > 0 {
			if err := p.Notify(ctx, peridotwire.MethodChunks, peridotwire.Chunks{RequestID: requestID, First: after, Data: chunks}); err != nil {
				return peridotwire.Result{Err: peridotverdict.New(peridotverdict.PeerLost, peridotverdict.MayHaveRun, "the reader has gone")}
			}
			after += len(chunks)
		}
		if end != nil {
			return peridotwire.Result{End: end, Load: a.load()}
		}
	}
}

// enter counts a reader and stops the clock of an orphaned request.
func (a *Agent) enter(j *job) {
	a.mu.Lock()
	defer a.mu.Unlock()
	j.readers++
	if j.orphan != nil {
		j.orphan.Stop()
		j.orphan = nil
	}
}

// leave ends a reader; without any left, the request is canceled after a while.
func (a *Agent) leave(j *job) {
	a.mu.Lock()
	defer a.mu.Unlock()
	j.readers--
	if j.readers == 0 && !j.once && j.timeline.Ended() == nil {
		j.orphan = time.AfterFunc(orphanGrace, j.cancel)
	}
}

// cancel ends a request whose caller has gone, unless it may run only once: its
// caller may ask again.
func (a *Agent) cancel(requestID string) {
	a.mu.Lock()
	j := a.jobs[requestID]
	a.mu.Unlock()
	if j != nil && !j.once {
		j.cancel()
	}
}

// load reports how busy the backend server is.
func (a *Agent) load() peridotwire.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return peridotwire.Load{Running: a.active}
}
