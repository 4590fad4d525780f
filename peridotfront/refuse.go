package peridotfront

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"

	"peridotstack/peridotclock"
	"peridotstack/peridotverdict"
)

// minComeBack is the soonest that a refused caller is asked to come back.
const minComeBack = 50 * time.Millisecond

// statusOf returns the status of a refusal or failure. Statuses that promise that
// the request has not run are used for that only.
func statusOf(err *peridotverdict.Error) int {
	switch err.Code {
	case peridotverdict.BadRequest:
		return http.StatusBadRequest
	case peridotverdict.BadKey:
		return http.StatusUnauthorized
	case peridotverdict.UnknownRoute:
		return http.StatusNotFound
	case peridotverdict.TooLarge:
		return http.StatusRequestEntityTooLarge
	case peridotverdict.RequestTimedOut:
		return http.StatusRequestTimeout
	}
	if err.Verdict == peridotverdict.NotRun {
		return http.StatusServiceUnavailable
	}
	if err.Code == peridotverdict.DeadlinePassed {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// refusalBody is the body of a refusal or failure.
type refusalBody struct {
	Code    peridotverdict.Code
	Verdict peridotverdict.Verdict
	Message string
	Field   string `json:",omitempty"`
}

// refuse answers with a refusal or failure, at once. An answer that has begun is
// broken off instead, so that it cannot be taken for a whole one.
func (x *exchange) refuse(err *peridotverdict.Error) {
	f := x.front
	f.metrics.Refused(err.Code)
	x.note["code"] = string(err.Code)
	x.note["verdict"] = err.Verdict.String()
	x.note["reason"] = err.Error()
	if x.begun {
		x.flush() // What came whole is delivered.
		x.log(log.WarnLevel, "broke off the answer", 0)
		panic(http.ErrAbortHandler)
	}
	status := statusOf(err)
	h := x.writer.Header()
	h.Set("Content-Type", "application/json")
	if err.Code == peridotverdict.TooLarge || err.Code == peridotverdict.RequestTimedOut {
		h.Set("Connection", "close") // The rest of the body is still to come.
	}
	if status == http.StatusServiceUnavailable {
		after := max(err.RetryAfter, minComeBack)
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
		x.note["retry_after_ms"] = after
	}
	body, encodeErr := json.Marshal(refusalBody{Code: err.Code, Verdict: err.Verdict, Message: err.Message, Field: err.Field})
	if encodeErr != nil {
		body = nil // The status alone says enough.
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	x.writer.WriteHeader(status)
	if _, writeErr := x.writer.Write(body); writeErr != nil {
		x.note["write_error"] = writeErr.Error()
	}
	x.log(log.InfoLevel, "refused", status)
}

// giveUp answers a request whose tries are used up, by what became of them.
func (x *exchange) giveUp(err *peridotverdict.Error) {
	if x.callerLeft() {
		x.front.metrics.Count("callers_left")
		x.log(log.InfoLevel, "caller left", 0)
		panic(http.ErrAbortHandler)
	}
	if x.last != nil && err.Code == peridotverdict.NoBackend {
		err = x.last // Why the servers that were there have failed.
	}
	verdict := peridotverdict.NotRun
	if x.runs > 0 {
		verdict = peridotverdict.MayHaveRun
	}
	code, message := err.Code, err.Message
	if x.over() {
		code, message = peridotverdict.DeadlinePassed, "the time of the request is up: "+err.Message
	}
	x.refuse(peridotverdict.New(code, verdict, message, peridotverdict.RetryAfter(max(err.RetryAfter, noBackendRetry)), peridotverdict.Cause(err.Cause)))
}

// log writes the line that tells what became of the request and why.
func (x *exchange) log(level log.Level, outcome string, status int) {
	x.note["request"] = x.call.ID
	took := peridotclock.Boot().Sub(x.arrived)
	x.front.metrics.Timed("request", took)
	x.note["ms"] = took
	x.note["sends"] = x.sends
	x.note["runs"] = x.runs
	if status != 0 {
		x.note["status"] = status
	}
	e := log.WithFields(x.note)
	switch level {
	case log.DebugLevel:
		e.Debug(logPrefix + outcome)
	case log.WarnLevel:
		e.Warn(logPrefix + outcome)
	default:
		e.Info(logPrefix + outcome)
	}
}

func byteCount(n int64) string {
	return strconv.FormatInt(n, 10) + " bytes"
}
