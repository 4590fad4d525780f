package peridotentry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"peridotstack/peridotstream"
	"peridotstack/peridotverdict"
	"peridotstack/peridotwait"
	"peridotstack/peridotwire"
)

const (
	requestIDBytes = 12
	// idSeparator parts the agent's instance from the random part of a request
	// id, so that any entry instance can find the agent that has the answer.
	idSeparator = "~"
	maxAnswer   = 8 << 20
	resumePause = 100 * time.Millisecond
	// resumeTime bounds the attempts to pick up an answer that only its agent
	// has, and shortResumeTime those for a request that can run elsewhere.
	resumeTime      = 5 * time.Second
	shortResumeTime = time.Second
)

// newRequestID returns an id for a request that goes to the given agent.
func newRequestID(instance string) string {
	b := make([]byte, requestIDBytes)
	rand.Read(b) // crypto/rand.Read never fails.
	return instance + idSeparator + hex.EncodeToString(b)
}

// agentOf returns the agent that runs a request.
func agentOf(requestID string) (string, bool) {
	i := strings.LastIndex(requestID, idSeparator)
	if i <= 0 {
		return "", false
	}
	return requestID[:i], true
}

var errAbandoned = errors.New("the exchange is over")

// exchange is one request under way at one agent. Its answer collects in
// timeline, from where the caller's connection is written.
type exchange struct {
	request  peridotwire.Run
	timeline *peridotstream.Timeline
	// progress, if set, is told how many chunks have come.
	progress func(chunks int)
	// use is nil when the exchange only continues an answer.
	use *use

	mu      sync.Mutex
	checker *peridotstream.Checker
	broken  error
}

// newExchange returns an exchange whose caller already had the first after
// chunks.
func newExchange(r peridotwire.Run, after int, t *peridotstream.Timeline) *exchange {
	return &exchange{request: r, timeline: t, checker: peridotstream.NewChecker(after)}
}

// take accepts chunks from the agent.
func (x *exchange) take(c peridotwire.Chunks) {
	received := x.accept(c)
	if received > 0 && x.progress != nil {
		x.progress(received)
	}
}

// accept appends what is new and returns the checkpoint, or 0 once the exchange
// is broken or over.
func (x *exchange) accept(c peridotwire.Chunks) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.broken != nil {
		return 0
	}
	fresh, err := x.checker.Accept(c.First, c.Data)
	if err != nil {
		x.broken = err
		return 0
	}
	for _, chunk := range fresh {
		if err := x.timeline.Append(chunk); err != nil {
			x.broken = err
			return 0
		}
	}
	return x.checker.Received
}

// abandon makes the exchange take no more chunks, for another one may now write
// to the same answer, and returns how many it took.
func (x *exchange) abandon() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.broken = errAbandoned
	return x.checker.Received
}

// received returns the checkpoint.
func (x *exchange) received() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.checker.Received
}

// verify checks that the answer is whole.
func (x *exchange) verify(end peridotstream.End) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.broken != nil {
		return x.broken
	}
	return x.checker.Finish(end)
}

// conduct runs the exchange to its end: it sends the request and, when the
// connection breaks, resumes behind the checkpoint. started is false when the
// answer is only to be resumed.
func (e *Entry) conduct(ctx context.Context, peer *peridotwire.Peer, x *exchange, started bool) (*peridotstream.End, *peridotverdict.Error) {
	e.pool.open(x)
	defer e.pool.close(x)
	result, err := e.first(ctx, peer, x, started)
	broke := time.Now()
	for err != nil && err.Code == peridotverdict.PeerLost && ctx.Err() == nil && time.Since(broke) < x.patience() {
		e.metrics.Count("resumes")
		peridotwait.Sleep(ctx, resumePause)
		result, err = e.resume(ctx, x)
	}
	if err != nil {
		return nil, err
	}
	if result.Err != nil {
		return nil, lost(result.Err, started)
	}
	if result.End.Err != nil {
		return nil, result.End.Err
	}
	if bad := x.verify(*result.End); bad != nil {
		return nil, peridotverdict.As(bad)
	}
	return result.End, nil
}

// lost returns err, but that of an agent that does not know a request which this
// process has sent to it. The request may still arrive there, or have run before
// the agent was replaced.
func lost(err *peridotverdict.Error, started bool) *peridotverdict.Error {
	if started || err.Code != peridotverdict.UnknownRequest {
		return err
	}
	return peridotverdict.New(peridotverdict.PeerLost, peridotverdict.MayHaveRun, "the agent lost the request", peridotverdict.Cause(err))
}

// patience returns how long to try to resume the answer.
func (x *exchange) patience() time.Duration {
	if x.request.Idempotent && x.received() == 0 {
		return shortResumeTime
	}
	return resumeTime
}

func (e *Entry) first(ctx context.Context, peer *peridotwire.Peer, x *exchange, started bool) (peridotwire.Result, *peridotverdict.Error) {
	if started {
		return e.resume(ctx, x)
	}
	var result peridotwire.Result
	err := peer.Call(ctx, peridotwire.MethodRun, x.request, &result)
	e.observe(x, err, result)
	return result, peridotverdict.As(err)
}

// resume asks the agent for what follows the checkpoint, over whatever
// connection there is now.
func (e *Entry) resume(ctx context.Context, x *exchange) (peridotwire.Result, *peridotverdict.Error) {
	instance, _ := agentOf(x.request.RequestID)
	peer := e.pool.peerOf(instance)
	if peer == nil {
		return peridotwire.Result{}, peridotverdict.New(peridotverdict.PeerLost, peridotverdict.MayHaveRun, "the agent is out of reach")
	}
	var result peridotwire.Result
	err := peer.Call(ctx, peridotwire.MethodResume, peridotwire.Resume{
		RequestID: x.request.RequestID,
		Account:   x.request.Account,
		After:     x.received(),
	}, &result)
	e.observe(x, err, result)
	return result, peridotverdict.As(err)
}

// observe takes the load that came with an answer.
func (e *Entry) observe(x *exchange, err error, result peridotwire.Result) {
	if err != nil {
		return
	}
	if instance, ok := agentOf(x.request.RequestID); ok {
		e.traffic.observe(instance, result.Load)
	}
}
