package peridotentry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"strings"
	"sync"
	"time"

	"peridotstack/peridotstream"
	"peridotstack/peridotverdict"
	"peridotstack/peridotwire"
)

const (
	requestIDBytes = 12
	// idSeparator parts the agent's instance from the random part of a request
	// id, so that any entry instance can find the agent that has the answer.
	idSeparator = "~"
	maxAnswer   = 8 << 20
	// maxResumes bounds the attempts to pick up a broken stream.
	maxResumes  = 5
	resumePause = 200 * time.Millisecond
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

// exchange is one request under way at one agent. Its answer collects in
// timeline, from where the caller's connection is written.
type exchange struct {
	request peridotwire.Run
	// after is how many chunks the caller already had.
	after    int
	timeline peridotstream.Timeline
	// use is nil when the exchange only continues an answer.
	use *use

	mu      sync.Mutex
	checker *peridotstream.Checker
	broken  error
}

func newExchange(r peridotwire.Run, after int) *exchange {
	x := &exchange{request: r, after: after, checker: peridotstream.NewChecker(after)}
	x.timeline.MaxBytes = maxAnswer
	return x
}

// take accepts chunks from the agent.
func (x *exchange) take(c peridotwire.Chunks) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.broken != nil {
		return
	}
	fresh, err := x.checker.Accept(c.First, c.Data)
	if err != nil {
		x.broken = err
		return
	}
	for _, chunk := range fresh {
		if err := x.timeline.Append(chunk); err != nil {
			x.broken = err
			return
		}
	}
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
	for range maxResumes {
		if err == nil || err.Code != peridotverdict.PeerLost || ctx.Err() != nil {
			break
		}
		e.metrics.Retried(err.Code)
		wait(ctx, resumePause)
		result, err = e.resume(ctx, x)
	}
	if err != nil {
		return nil, err
	}
	if result.Err != nil {
		return nil, result.Err
	}
	if bad := x.verify(*result.End); bad != nil {
		return nil, peridotverdict.As(bad)
	}
	return result.End, nil
}

func (e *Entry) first(ctx context.Context, peer *peridotwire.Peer, x *exchange, started bool) (peridotwire.Result, *peridotverdict.Error) {
	if started {
		return e.resume(ctx, x)
	}
	var result peridotwire.Result
	err := peer.Call(ctx, peridotwire.MethodRun, x.request, &result)
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
	return result, peridotverdict.As(err)
}
