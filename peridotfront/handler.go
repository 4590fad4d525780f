package peridotfront

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"time"

	"github.com/apex/log"

	"peridotstack/peridotclock"
	"peridotstack/peridotlocality"
	"peridotstack/peridotorigin"
	"peridotstack/peridotquarantine"
	"peridotstack/peridotreserve"
	"peridotstack/peridotsite"
	"peridotstack/peridotverdict"
)

const (
	// noConfigRetryAfter is the Retry-After of a front that has no configuration yet.
	noConfigRetryAfter = 500 * time.Millisecond
	// stoppingRetryAfter is the Retry-After of a stopping front; the retry goes to
	// another instance.
	stoppingRetryAfter = 100 * time.Millisecond
	// noBackendRetryAfter is the Retry-After if no backend server accepts the
	// request. A failing backend server is tried again at about this interval.
	noBackendRetryAfter = 300 * time.Millisecond
	// memoryRetryAfter is the Retry-After if request heads or bodies use too much memory.
	memoryRetryAfter = 300 * time.Millisecond
	// defaultRequestTimeout limits a request if its route sets no timeout.
	defaultRequestTimeout = time.Minute
	// maxStackBytes limits the stack in the log line of a panic.
	maxStackBytes = 4 << 10
)

// exchange is the state of one request from a caller.
type exchange struct {
	front   *Front
	writer  http.ResponseWriter
	request *http.Request
	call    Call

	config *peridotsite.Config
	// host and path are those of the request, by which the route is chosen.
	host, path string
	route      *peridotsite.Route
	service    *peridotsite.Service
	account    string
	body       []byte
	// bodyClaim is the memory reserved for body.
	bodyClaim peridotreserve.Claim
	// responseClaim is the memory reserved for whole responses.
	responseClaim peridotreserve.Claim
	// identity is what all requests have in common that ask the same.
	identity peridotquarantine.Part
	// suspects are the parts under which servers may end: identity and those of the prompt.
	suspects []peridotquarantine.Part

	// arrivedAt is when the request arrived, on the clock of peridotclock.BootTime.
	arrivedAt time.Time
	// timeout limits the time from arrivedAt to the end of the answer.
	timeout time.Duration
	// ctx is done when timeout has passed, the caller disconnects or the front is
	// closing.
	ctx context.Context

	// tries is the number of tries so far. A prefill and the generation that follows it
	// are one try.
	tries int
	// prefillAccepted is set once an engine may have accepted a prefill of the prompt. The
	// first one is no repeat.
	prefillAccepted bool
	// singleEngine is set if further tries must use one engine for prefill and decode,
	// because the retry budget allows no pair.
	singleEngine bool
	// runs is the number of tries that may have run the request.
	runs int
	retryState
	// placedFor is the Reason of the last peridotplace.Choice, and crossedFor why the present
	// try goes to another failure domain; empty if it doesn't.
	placedFor, crossedFor peridotlocality.Reason
	// headReceived is set if the head of the last try's answer came from a backend server
	// that runs the request.
	headReceived bool
	// answerStarted is set once the head of the answer has been sent to the caller.
	answerStarted bool
	// lastEventID is the ID of the last stream event that the caller has, from this answer
	// or the one that it goes on with; 0 if none.
	lastEventID int64
	// events is the number of events read from servers, of all runs.
	events int
	// runEvents is the number of those of the current run.
	runEvents int
	// unnumberedSent is set if an event without an ID has been sent to the caller since that
	// of lastEventID. Another run would send it again.
	unnumberedSent bool
	// software is the software version whose servers may generate the answer. It is
	// valid only if softwareFixed is set.
	software string
	// lastServer is the server, as it was registered when the request was sent, that brought the
	// last events. It is valid only if softwareFixed is set by events of this answer.
	lastServer peridotsite.Backend
	// dialedAt is the value of Front.now when the connection of the last try was established.
	dialedAt time.Duration
	// softwareFixed is set once the stream has events of one software version, in this
	// answer or in the one that it goes on with.
	softwareFixed bool
	// earlier says where an earlier attempt of a new stream began; nil if that is unknown or
	// doesn't matter any more.
	earlier *earlierAttempt
	// alike is what was known of the content of a new stream before it began.
	alike peridotorigin.Finding
	// resumption says how the software version of a resumed stream was found.
	resumption resumption
	// late is set while the request is expected to miss its objective and is queued
	// with low urgency.
	late bool
	// interactive is set if the engine is to serve the request before others. It is decided
	// once, so that a request keeps its urgency for the whole response.
	interactive bool
	eventGaps
	// budgetSpent is set once a retry was not allowed for want of budget.
	budgetSpent bool
	// lastErr is the error of the last failed try; nil if none has failed.
	lastErr *peridotverdict.Error
	// failure is the last error answer of a server, which the caller gets if no other
	// server answers better; nil if none has come.
	failure *bufferedAnswer
	// quotaCost is what the request was counted as against the limit of its account; 0 if
	// it was not.
	quotaCost float64
	// quotaTakenAt is the value of Front.now when it was counted.
	quotaTakenAt time.Duration
	// logFields contains the fields of the request's log line.
	logFields log.Fields
}

// retryState says which backend servers were tried and what became of the last try. Only
// the handler of the request uses it.
type retryState struct {
	// triedBackends contains the backend servers that must not be tried again. It must
	// not change during a try.
	triedBackends []string
	// silentBackends contains those of triedBackends that were given up because they
	// were silent. They may be tried again if no other is left.
	silentBackends []string
	// refusedBackends contains those of triedBackends that were full. They may be tried
	// again for a started answer.
	refusedBackends []string
	// quarantinedBackends contains the backend servers to which the request must not be
	// sent. checkQuarantine sets it before each choice of a server.
	quarantinedBackends []string
	// unstoredSoftware contains the software versions that are not stored yet, until which the
	// request must not be sent to their servers, or until unstoredUntil, a value of Front.now.
	// nextServers resets it before each choice of a server.
	unstoredSoftware []serviceSoftware
	unstoredUntil    time.Duration
	// toleratesUnstored is set once the request may be sent to them all the same.
	toleratesUnstored bool
	// trial is OnTrial or OnLoneTrial if the next try may send a request with that judgment.
	// Otherwise it is Allowed.
	trial peridotquarantine.Judgment
	// silentFor is how long the server of the last try had sent nothing when this
	// instance gave the try up; 0 if the try ended otherwise. stallWatch.stop sets it,
	// and recordFailure takes it back.
	silentFor time.Duration
	// reservedRepeats is the number of requests of the next retry that have been counted
	// against the retry budget.
	// stallWatch.stop sets it together with silentFor; the retry or a wait ends it.
	reservedRepeats int
	// gaveUpTry is set if this instance gave up the last run because its server was
	// silent. A try that did not run leaves it as it is.
	gaveUpTry bool
}

// ServeHTTP serves one request from a caller.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.activeRequests.Add(1)
	defer f.activeRequests.Add(-1)
	f.lastRequestAt.Store(f.now())
	x := &exchange{front: f, writer: w, request: r, arrivedAt: peridotclock.BootTime(), logFields: log.Fields{}}
	defer x.answerPanic()
	if !headFits(r) {
		f.metrics.Count("heads_refused")
		x.limitDiscard()
		x.refuse(peridotverdict.New(peridotverdict.Overloaded, peridotverdict.NotRun, "too many request heads are held", peridotverdict.RetryAfter(memoryRetryAfter)))
		return
	}
	x.call = f.protocol.DecodeCall(r)
	if f.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	x.bodyClaim = f.bodies.NewClaim()
	defer x.bodyClaim.Release()
	x.responseClaim = f.bodies.NewClaim()
	defer x.responseClaim.Release()
	if err := x.prepareRequest(); err != nil {
		x.limitDiscard()
		x.refuse(err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), x.remaining())
	defer cancel()
	defer context.AfterFunc(f.closing, cancel)()
	x.ctx = ctx
	if err := x.reserveResponse(); err != nil {
		x.refuse(err)
		return
	}
	f.recordDemand(x.service.Name)
	if err := x.takeQuota(); err != nil {
		x.refuse(err)
		return
	}
	defer x.returnQuota()
	x.serve()
}

// answerPanic logs and counts a panic of the handler. It refuses the request, which may
// have run, if no answer has been started. Otherwise it panics again with
// http.ErrAbortHandler, which closes the connection of the caller.
func (x *exchange) answerPanic() {
	value := recover()
	if value == nil {
		return
	}
	if value != http.ErrAbortHandler {
		x.front.metrics.Count("panics")
		stack := debug.Stack()
		x.logFields["panic"] = fmt.Sprint(value)
		x.logFields["stack"] = string(stack[:min(len(stack), maxStackBytes)])
		x.log(log.ErrorLevel, "handler panicked", 0)
		if !x.answerStarted {
			clear(x.writer.Header())
			x.writer.Header().Set("Connection", "close") // The body may not have been read.
			x.refuse(peridotverdict.New(peridotverdict.Internal, peridotverdict.MayHaveRun, "internal error"))
			return
		}
	}
	panic(http.ErrAbortHandler)
}

// prepareRequest finds the route, client account and service of the request, sets its
// timeout and reads its body. It returns an error if the request must be refused.
func (x *exchange) prepareRequest() *peridotverdict.Error {
	f := x.front
	x.config = f.config.Load()
	if x.config == nil {
		return peridotverdict.New(peridotverdict.ConfigStale, peridotverdict.NotRun, "this instance has no configuration yet", peridotverdict.RetryAfter(noConfigRetryAfter))
	}
	x.logFields["config"] = x.config.Version
	x.host, x.path = hostOf(x.request), x.request.URL.EscapedPath()
	x.route = x.config.Route(x.host, x.path)
	if x.route == nil {
		return peridotverdict.New(peridotverdict.UnknownRoute, peridotverdict.NotRun, "no route has this host and path", peridotverdict.Field("Host"))
	}
	x.logFields["route"] = x.route.Name
	if err := x.authenticate(x.config); err != nil {
		return err
	}
	x.service = x.config.Service(x.route.PickService(rand.Float64()))
	if x.service == nil {
		return peridotverdict.New(peridotverdict.NoBackend, peridotverdict.NotRun, "the route's service is not configured", peridotverdict.RetryAfter(noBackendRetryAfter))
	}
	if !f.quarantine.isLoaded() {
		return peridotverdict.New(peridotverdict.ConfigStale, peridotverdict.NotRun, "this instance does not know yet which requests to refuse", peridotverdict.RetryAfter(quarantineLoadRetryAfter))
	}
	x.timeout = defaultRequestTimeout
	if x.route.Timeout > 0 {
		x.timeout = x.route.Timeout
	}
	if x.call.HasTimeout {
		x.timeout = min(x.timeout, x.call.Timeout)
	}
	if f.stopping.Load() && f.now()+x.timeout > time.Duration(f.closeConnsAt.Load()) {
		return peridotverdict.New(peridotverdict.ShuttingDown, peridotverdict.NotRun, "this instance stops before the request could be answered", peridotverdict.RetryAfter(stoppingRetryAfter))
	}
	if err := x.readBody(); err != nil {
		return err
	}
	if err := x.authenticateAgain(); err != nil {
		return err
	}
	x.identify()
	x.setLastEventID()
	return nil
}

// identify sets the identity and suspects once the caller and the body are known.
func (x *exchange) identify() {
	target := x.host + x.path + "?" + x.request.URL.RawQuery
	prompt := uint64(0)
	if n := len(x.call.Parts); n > 0 {
		prompt = uint64(x.call.Parts[n-1].Hash) // Covers the parts before it.
	}
	x.identity = peridotquarantine.RequestOf(x.request.Method, target, x.account, prompt, x.body)
	x.suspects = []peridotquarantine.Part{x.identity}
	if x.service.Engine != nil { // Other servers don't read prompts.
		x.suspects = append(x.suspects, x.call.PromptParts...)
	}
}

// hostOf returns the host of the request in lower case and without a port.
func hostOf(r *http.Request) string {
	if host, _, err := net.SplitHostPort(r.Host); err == nil {
		return strings.ToLower(host)
	}
	return strings.ToLower(r.Host)
}

// authenticate sets the client account if the route requires a key. It returns an
// error if the key is missing, or unknown to config.
func (x *exchange) authenticate(config *peridotsite.Config) *peridotverdict.Error {
	if !config.NeedsKey(x.route) {
		return nil
	}
	account, ok := config.AccountOf(x.call.Key)
	if x.call.Key == "" || !ok {
		return peridotverdict.New(peridotverdict.BadKey, peridotverdict.NotRun, "the key is unknown", peridotverdict.Field("Authorization"))
	}
	x.account = account
	x.logFields["account"] = account
	return nil
}

// authenticateAgain calls authenticate if there is a new configuration since the request
// arrived and the request has not run. Reading the body, and tries that were refused, take
// time in which the key may have been withdrawn.
func (x *exchange) authenticateAgain() *peridotverdict.Error {
	config := x.front.config.Load()
	if x.runs > 0 || config == x.config {
		return nil
	}
	return x.authenticate(config)
}

// remaining returns the time left until the timeout of the request. Time in which
// the machine was suspended counts toward the timeout.
func (x *exchange) remaining() time.Duration {
	return x.timeout - peridotclock.BootTime().Sub(x.arrivedAt)
}

// remainingWait returns the time left until the caller abandons the request unless an
// answer has begun.
func (x *exchange) remainingWait() time.Duration {
	left := x.remaining()
	if x.route.Patience > 0 && !x.answerStarted {
		left = min(left, x.route.Patience-peridotclock.BootTime().Sub(x.arrivedAt))
	}
	return left
}

// ended reports whether the request must not be retried because its caller has
// disconnected, its timeout has passed or the front is closing.
func (x *exchange) ended() bool {
	return x.ctx.Err() != nil
}

// callerDisconnected reports whether the caller has closed its connection.
func (x *exchange) callerDisconnected() bool {
	return x.request.Context().Err() != nil
}
