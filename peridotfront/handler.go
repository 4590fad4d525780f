package peridotfront

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"peridotstack/peridotclock"
	"peridotstack/peridotsite"
	"peridotstack/peridotverdict"
)

const (
	// noConfigRetry is when a caller may come back to a front that has no
	// configuration yet.
	noConfigRetry = 500 * time.Millisecond
	// stoppingRetry is when a caller may come back, to another instance.
	stoppingRetry = 100 * time.Millisecond
	// noBackendRetry is when a caller may come back if no backend server takes
	// requests; faulty ones are tried again about that often.
	noBackendRetry = 300 * time.Millisecond
	// memoryRetry is when a caller may come back if request bodies take too much
	// memory.
	memoryRetry = 300 * time.Millisecond
	// defaultLimit bounds a request whose route and caller set no limit.
	defaultLimit = time.Minute
	// maxBodyDefault bounds a body while the configuration sets no limit.
	maxBodyDefault = 4 << 20
	// bodyTimeout bounds the time that a request's body takes to arrive.
	bodyTimeout = 10 * time.Second
)

// exchange is one request of a caller and what became of it so far.
type exchange struct {
	front  *Front
	writer http.ResponseWriter
	caller *http.Request
	call   Call

	config  *peridotsite.Config
	route   *peridotsite.Route
	service *peridotsite.Service
	account string
	body    []byte

	// arrived is the boot time of the request, limit the time that it may take.
	arrived time.Time
	limit   time.Duration
	// ctx ends at the limit and when the caller leaves.
	ctx context.Context

	// sends counts the requests to backend servers, runs those of them that may
	// have run, tried the servers that must not get it again.
	sends int
	runs  int
	tried []string
	// begun is set once bytes of the answer went to the caller, lastEvent is the
	// number of the last event of a stream that did.
	begun     bool
	lastEvent int64
	// late is set while the request cannot be on time and waits behind all others.
	late bool
	// last is why the last try failed.
	last *peridotverdict.Error
	// note collects what the log line tells.
	note log.Fields
}

// ServeHTTP answers one request of a caller.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.active.Add(1)
	defer f.active.Add(-1)
	f.lastCall.Store(f.now())
	x := &exchange{front: f, writer: w, caller: r, arrived: peridotclock.Boot(), note: log.Fields{}}
	x.call = f.protocol.Call(r)
	if f.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if err := x.accept(); err != nil {
		x.refuse(err)
		return
	}
	defer f.bodies.Add(-int64(len(x.body)))
	ctx, cancel := context.WithTimeout(r.Context(), x.left())
	defer cancel()
	x.ctx = ctx
	if x.service.Engine != nil {
		x.servePrompt()
	} else {
		x.servePlain()
	}
}

// accept finds the route and account of a request and reads its body.
func (x *exchange) accept() *peridotverdict.Error {
	f := x.front
	x.config = f.config.Load()
	if x.config == nil {
		return peridotverdict.New(peridotverdict.ConfigStale, peridotverdict.NotRun, "this instance has no configuration yet", peridotverdict.RetryAfter(noConfigRetry))
	}
	x.note["config"] = x.config.Version
	x.route = x.config.Route(hostOf(x.caller), x.caller.URL.EscapedPath())
	if x.route == nil {
		return peridotverdict.New(peridotverdict.UnknownRoute, peridotverdict.NotRun, "no route has this host and path", peridotverdict.Field("Host"))
	}
	x.note["route"] = x.route.Name
	if err := x.authenticate(); err != nil {
		return err
	}
	x.service = x.config.Service(x.route.Pick(rand.Float64()))
	if x.service == nil {
		return peridotverdict.New(peridotverdict.NoBackend, peridotverdict.NotRun, "the route's service is not configured", peridotverdict.RetryAfter(noBackendRetry))
	}
	x.limit = defaultLimit
	if x.route.Timeout > 0 {
		x.limit = x.route.Timeout
	}
	if x.call.HasLeft {
		x.limit = min(x.limit, x.call.Left)
	}
	if f.stopping.Load() && f.now()+x.limit > time.Duration(f.stopAt.Load()) {
		return peridotverdict.New(peridotverdict.ShuttingDown, peridotverdict.NotRun, "this instance stops before the request could be answered", peridotverdict.RetryAfter(stoppingRetry))
	}
	return x.readBody()
}

func hostOf(r *http.Request) string {
	if host, _, err := net.SplitHostPort(r.Host); err == nil {
		return strings.ToLower(host)
	}
	return strings.ToLower(r.Host)
}

func (x *exchange) authenticate() *peridotverdict.Error {
	if !x.config.NeedsKey(x.route) {
		return nil
	}
	account, ok := x.config.AccountOf(x.call.Key)
	if x.call.Key == "" || !ok {
		return peridotverdict.New(peridotverdict.BadKey, peridotverdict.NotRun, "the key is unknown", peridotverdict.Field("Authorization"))
	}
	x.account = account
	x.note["account"] = account
	return nil
}

// readBody reads the whole body, which a second try needs again.
func (x *exchange) readBody() *peridotverdict.Error {
	limit := int64(maxBodyDefault)
	if x.config.Limits.BodyBytes > 0 {
		limit = int64(x.config.Limits.BodyBytes)
	}
	if x.caller.ContentLength > limit {
		return tooLarge(limit)
	}
	if x.caller.ContentLength == 0 {
		return nil
	}
	f := x.front
	if f.bodies.Load() > int64(bodyShare*float64(f.settings.MemoryBytes)) {
		return peridotverdict.New(peridotverdict.Overloaded, peridotverdict.NotRun, "too many request bodies are held", peridotverdict.RetryAfter(memoryRetry))
	}
	control := http.NewResponseController(x.writer)
	// Without a deadline a slow sender would hold its body's memory for good.
	if err := control.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		x.note["deadline_error"] = err.Error()
	}
	body, err := readAll(x.caller.Body, x.caller.ContentLength, limit)
	if err != nil {
		return peridotverdict.New(peridotverdict.RequestTimedOut, peridotverdict.NotRun, "the body did not arrive", peridotverdict.Cause(err))
	}
	if int64(len(body)) > limit {
		return tooLarge(limit)
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		x.note["deadline_error"] = err.Error()
	}
	x.body = body
	f.bodies.Add(int64(len(body)))
	return nil
}

// readAll reads up to one byte more than limit.
func readAll(r io.Reader, length, limit int64) ([]byte, error) {
	if length > 0 {
		body := make([]byte, length)
		_, err := io.ReadFull(r, body)
		return body, errors.Wrap(err, "read body")
	}
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	return body, errors.Wrap(err, "read body")
}

func tooLarge(limit int64) *peridotverdict.Error {
	return peridotverdict.New(peridotverdict.TooLarge, peridotverdict.NotRun, "the body is larger than "+byteCount(limit), peridotverdict.Field("Content-Length"))
}

// left is the time that the request still has; a suspend of the machine counts.
func (x *exchange) left() time.Duration {
	return x.limit - peridotclock.Boot().Sub(x.arrived)
}

// over reports whether the request needs no more tries, because its caller left
// or its time is up.
func (x *exchange) over() bool {
	return x.ctx.Err() != nil
}

// callerLeft reports whether the caller closed its connection.
func (x *exchange) callerLeft() bool {
	return x.caller.Context().Err() != nil
}
