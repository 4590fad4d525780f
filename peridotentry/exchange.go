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
	// idSeparator separates the agent's instance from the random part of a request
	// ID. Any entry instance can thus find the agent that has the answer.
	idSeparator = "~"
	// maxAnswerBytes bounds the size of one answer.
	maxAnswerBytes = 8 << 20
	// resumeDelay is the time before each attempt to resume an answer.
	resumeDelay = 100 * time.Millisecond
	// maxResumeTime bounds the time for which an agent may be out of reach while an
	// answer that only it can provide is resumed. maxRepeatableResumeTime is the bound
	// once it is certain that the request can run on another backend server instead.
	maxResumeTime           = 5 * time.Second
	maxRepeatableResumeTime = time.Second
	// minReachTime is how long a resume must last to show, even without a chunk, that
	// the agent is in reach again. An agent that closes each connection at once is not.
	minReachTime = time.Second
)

// newRequestID returns a unique ID for a request that is sent to the given
// agent.
func newRequestID(instance string) string {
	b := make([]byte, requestIDBytes)
	rand.Read(b) // crypto/rand.Read never fails.
	return instance + idSeparator + hex.EncodeToString(b)
}

// agentOf returns the instance of the agent that runs a request, or false if the
// request ID does not name one.
func agentOf(requestID string) (string, bool) {
	i := strings.LastIndex(requestID, idSeparator)
	if i <= 0 {
		return "", false
	}
	return requestID[:i], true
}

var errAbandoned = errors.New("the exchange is over")

// exchange is one request that is running at one agent. The chunks of its answer
// are appended to timeline, from which they are written to the caller.
type exchange struct {
	request  peridotwire.Run
	timeline *peridotstream.Timeline
	// onProgress, if not nil, is called with the number of chunks received so far.
	onProgress func(chunks int)
	// reserveReplacement, if not nil, reserves a retry on another backend server and
	// reports whether there is one. The exchange ends once it has returned true.
	reserveReplacement func() bool
	// usageTarget is nil if the exchange only resumes an answer. The usage is
	// counted by the instance that sent the request.
	usageTarget *usageTarget

	mu      sync.Mutex
	checker *peridotstream.Checker
	// stopErr is the reason why the exchange accepts no more chunks, or nil.
	stopErr error
}

// newExchange returns an exchange for a caller that has already received
// checkpoint chunks.
func newExchange(r peridotwire.Run, checkpoint int, t *peridotstream.Timeline) *exchange {
	return &exchange{request: r, timeline: t, checker: peridotstream.NewChecker(checkpoint)}
}

// receiveChunks adds chunks from the agent to the answer and reports the
// progress.
func (x *exchange) receiveChunks(c peridotwire.Chunks) {
	received := x.appendChunks(c)
	if received > 0 && x.onProgress != nil {
		x.onProgress(received)
	}
}

// appendChunks appends the chunks that are new to the timeline. It returns the
// number of chunks received so far, or 0 if the exchange accepts no more chunks.
func (x *exchange) appendChunks(c peridotwire.Chunks) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.stopErr != nil {
		return 0
	}
	newChunks, err := x.checker.Accept(c.First, c.Data)
	if err != nil {
		x.stopErr = err
		return 0
	}
	for _, chunk := range newChunks {
		if err := x.timeline.Append(chunk); err != nil {
			x.stopErr = err
			return 0
		}
	}
	return x.checker.Checkpoint
}

// abandon makes the exchange ignore all further chunks, because another exchange
// may now write to the same answer. It returns the number of chunks received.
func (x *exchange) abandon() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.stopErr = errAbandoned
	return x.checker.Checkpoint
}

// receivedChunks returns the number of chunks received, which is the checkpoint
// to resume from.
func (x *exchange) receivedChunks() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.checker.Checkpoint
}

// verifyComplete returns an error unless the exchange has received the complete
// answer.
func (x *exchange) verifyComplete(end peridotstream.End) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.stopErr != nil {
		return x.stopErr
	}
	return x.checker.Finish(end)
}

// runExchange runs an exchange until it ends. It sends the request and, whenever
// the connection is lost, resumes the answer after the last chunk received, until
// the agent has been out of reach for too long. If resumeOnly is set, it does not
// send the request and only resumes its answer.
func (e *Entry) runExchange(ctx context.Context, peer *peridotwire.Peer, x *exchange, resumeOnly bool) (*peridotstream.End, *peridotverdict.Error) {
	e.pool.addExchange(x)
	defer e.pool.removeExchange(x)
	result, err := e.startExchange(ctx, peer, x, resumeOnly)
	outOfReach := time.Duration(0)
	for err != nil && err.Code == peridotverdict.PeerLost && ctx.Err() == nil && !x.givenUp(outOfReach) {
		e.metrics.Count("resumes")
		peridotwait.Sleep(ctx, resumeDelay)
		outOfReach += resumeDelay
		resumedAt, received := time.Now(), x.receivedChunks()
		result, err = e.resume(ctx, x)
		if time.Since(resumedAt) >= minReachTime || x.receivedChunks() > received {
			outOfReach = 0
		}
	}
	if err != nil {
		return nil, err
	}
	if result.Err != nil {
		return nil, convertUnknownRequest(result.Err, resumeOnly)
	}
	if result.End.Err != nil {
		return nil, result.End.Err
	}
	if verifyErr := x.verifyComplete(*result.End); verifyErr != nil {
		return nil, peridotverdict.As(verifyErr)
	}
	return result.End, nil
}

// convertUnknownRequest converts an UnknownRequest error to PeerLost with
// MayHaveRun if this process has sent the request. The request may still reach
// the agent, or may have run before the agent was replaced. All other errors are
// returned unchanged.
func convertUnknownRequest(err *peridotverdict.Error, resumeOnly bool) *peridotverdict.Error {
	if resumeOnly || err.Code != peridotverdict.UnknownRequest {
		return err
	}
	return peridotverdict.New(peridotverdict.PeerLost, peridotverdict.MayHaveRun, "the agent lost the request", peridotverdict.Cause(err))
}

// givenUp reports whether the answer is no longer resumed after its agent has been
// out of reach for the given time.
func (x *exchange) givenUp(outOfReach time.Duration) bool {
	if outOfReach >= maxResumeTime {
		return true
	}
	if outOfReach < maxRepeatableResumeTime || !x.request.Idempotent || x.receivedChunks() > 0 {
		return false
	}
	return x.reserveReplacement != nil && x.reserveReplacement()
}

// startExchange sends the request, or only resumes its answer if resumeOnly is
// set.
func (e *Entry) startExchange(ctx context.Context, peer *peridotwire.Peer, x *exchange, resumeOnly bool) (peridotwire.Result, *peridotverdict.Error) {
	if resumeOnly {
		return e.resume(ctx, x)
	}
	var result peridotwire.Result
	err := peer.Call(ctx, peridotwire.MethodRun, x.request, &result)
	e.observeLoad(x, err, result)
	return result, peridotverdict.As(err)
}

// resume requests the chunks after the last one received, on the agent's current
// connection.
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
		After:     x.receivedChunks(),
	}, &result)
	e.observeLoad(x, err, result)
	return result, peridotverdict.As(err)
}

// observeLoad passes the load in a successful result to the router.
func (e *Entry) observeLoad(x *exchange, err error, result peridotwire.Result) {
	if err != nil {
		return
	}
	if instance, ok := agentOf(x.request.RequestID); ok {
		e.traffic.observeLoad(instance, result.Load)
	}
}
