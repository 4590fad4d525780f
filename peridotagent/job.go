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
	// orphanGrace is how long a request continues after its last reader has
	// disconnected.
	orphanGrace = 10 * time.Second
	// cancelTimeout limits the call that cancels a request on the engine.
	cancelTimeout = time.Second
)

// job is a request and its answer.
type job struct {
	account  string
	timeline peridotstream.Timeline
	cancel   context.CancelFunc
	// atMostOnce is set if the request is not idempotent. Such a request continues
	// without readers.
	atMostOnce bool
	// orphanTimer cancels the request if no reader resumes it in time. It is nil
	// while the request has readers. The mutex of the agent guards orphanTimer and
	// readerCount.
	orphanTimer *time.Timer
	readerCount int
}

// handleRun starts a request and streams its answer to the peer.
func (a *Agent) handleRun(ctx context.Context, p *peridotwire.Peer, r peridotwire.Run) peridotwire.Result {
	j, err := a.startJob(r)
	if err != nil {
		a.metrics.CountRefusal(err.Code)
		return peridotwire.Result{Err: err, Load: a.currentLoad()}
	}
	return a.streamAnswer(ctx, p, r.RequestID, j, 0)
}

// handleResume streams the chunks of an answer that follow the checkpoint of the
// reader.
func (a *Agent) handleResume(ctx context.Context, p *peridotwire.Peer, r peridotwire.Resume) peridotwire.Result {
	a.mu.Lock()
	j := a.jobs[r.RequestID]
	a.mu.Unlock()
	if j == nil || j.account != r.Account {
		// The agent may have restarted, or discarded the answer after its retention time.
		err := peridotverdict.New(peridotverdict.UnknownRequest, peridotverdict.MayHaveRun, "no such request")
		a.metrics.CountRefusal(err.Code)
		return peridotwire.Result{Err: err, Load: a.currentLoad()}
	}
	return a.streamAnswer(ctx, p, r.RequestID, j, r.After)
}

// startJob admits a request and starts to run it in the background. It returns an
// error if the request is refused.
func (a *Agent) startJob(r peridotwire.Run) (*job, *peridotverdict.Error) {
	if refusal := a.checkAdmission(r); refusal != nil {
		return nil, refusal
	}
	if r.TimeoutMillis <= 0 {
		return nil, peridotverdict.New(peridotverdict.DeadlinePassed, peridotverdict.NotRun, "the deadline has passed")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leaving.Load() {
		return nil, peridotverdict.New(peridotverdict.Leaving, peridotverdict.NotRun, "the backend server is leaving")
	}
	if a.isQuiescedLocked() {
		return nil, peridotverdict.New(peridotverdict.Leaving, peridotverdict.NotRun, "the engine is about to change", peridotverdict.RetryAfter(time.Second))
	}
	if _, ok := a.jobs[r.RequestID]; ok {
		return nil, peridotverdict.New(peridotverdict.BadRequest, peridotverdict.Ran, "the request id was used before")
	}
	if a.activeJobs >= maxJobs {
		return nil, peridotverdict.New(peridotverdict.Overloaded, peridotverdict.NotRun, "too many requests", peridotverdict.RetryAfter(time.Second))
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(r.TimeoutMillis)*time.Millisecond)
	j := &job{account: r.Account, cancel: cancel, atMostOnce: !r.Idempotent}
	j.timeline.MaxBytes = maxAnswerBytes
	a.jobs[r.RequestID] = j
	a.activeJobs++
	a.runningJobs.Add(1)
	go a.executeJob(ctx, r, j)
	return j, nil
}

// executeJob runs a request on the backend server until its answer has ended.
func (a *Agent) executeJob(ctx context.Context, r peridotwire.Run, j *job) {
	defer a.runningJobs.Done()
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
	sent, sentAt := true, time.Now()
	if r.Idempotent {
		peridotbackend.Run(ctx, a.backend, request, &j.timeline)
	} else {
		sent = a.runOnce(ctx, r, request, &j.timeline)
	}
	if sent {
		a.countUsage(r, &j.timeline)
	}
	if ctx.Err() != nil {
		a.cancelOnEngine(r.RequestID)
	}
	a.retainEndedJob(r.RequestID)
	if sent {
		a.recordEnd(ctx, sentAt, r, j.timeline.End())
	}
}

// cancelOnEngine asks the engine to cancel a request that no reader waits for.
// Closing the connection is not enough, because a proxy may keep its own connection
// to the engine open.
func (a *Agent) cancelOnEngine(requestID string) {
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

// endedJob is a job whose answer is kept for readers that resume it.
type endedJob struct {
	requestID string
	endedAt   time.Time
}

// retainEndedJob keeps the answer of an ended request for readers that resume it.
// It discards answers that exceed maxEndedJobs or endedJobRetention, oldest first.
func (a *Agent) retainEndedJob(requestID string) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.activeJobs--
	a.endedJobs = append(a.endedJobs, endedJob{requestID, now})
	for len(a.endedJobs) > maxEndedJobs || now.Sub(a.endedJobs[0].endedAt) > endedJobRetention {
		delete(a.jobs, a.endedJobs[0].requestID)
		a.endedJobs = a.endedJobs[1:]
	}
}

// streamAnswer sends the chunks of an answer as notifications, starting with the
// chunk number after, counting from 0. It returns the result once the answer has
// ended. If the reader disconnects, streamAnswer returns early; an idempotent
// request then continues for at most orphanGrace, any other request until it ends.
func (a *Agent) streamAnswer(ctx context.Context, p *peridotwire.Peer, requestID string, j *job, after int) peridotwire.Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-p.Closed():
			cancel()
		case <-ctx.Done():
		}
	}()
	a.addReader(j)
	defer a.removeReader(j)
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
			return peridotwire.Result{End: end, Load: a.currentLoad()}
		}
	}
}

// addReader counts a reader of j and stops the orphan timer.
func (a *Agent) addReader(j *job) {
	a.mu.Lock()
	defer a.mu.Unlock()
	j.readerCount++
	if j.orphanTimer != nil {
		j.orphanTimer.Stop()
		j.orphanTimer = nil
	}
}

// removeReader removes a reader of j. If it was the last one and the request is
// idempotent, removeReader starts the orphan timer.
func (a *Agent) removeReader(j *job) {
	a.mu.Lock()
	defer a.mu.Unlock()
	j.readerCount--
	if j.readerCount == 0 && !j.atMostOnce && j.timeline.End() == nil {
		j.orphanTimer = time.AfterFunc(orphanGrace, j.cancel)
	}
}

// cancelJob cancels a request whose caller has disconnected. It does not cancel a
// request that is not idempotent, because the caller may send that again to get the
// outcome.
func (a *Agent) cancelJob(requestID string) {
	a.mu.Lock()
	j := a.jobs[requestID]
	a.mu.Unlock()
	if j != nil && !j.atMostOnce {
		j.cancel()
	}
}

// currentLoad returns the load of the backend server, of which the agent knows only
// the number of requests in progress.
func (a *Agent) currentLoad() peridotwire.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return peridotwire.Load{Running: a.activeJobs}
}
