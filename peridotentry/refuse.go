package peridotentry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"peridotstack/peridotverdict"
)

// statuses maps error codes to HTTP statuses. Codes that are not listed map to
// 503.
var statuses = []struct {
	code   peridotverdict.Code
	status int
}{
	{peridotverdict.BadRequest, http.StatusBadRequest},
	{peridotverdict.BadKey, http.StatusUnauthorized},
	{peridotverdict.NotAllowed, http.StatusForbidden},
	{peridotverdict.UnknownRoute, http.StatusNotFound},
	{peridotverdict.UnknownModel, http.StatusNotFound},
	{peridotverdict.UnknownRequest, http.StatusNotFound},
	{peridotverdict.WrongMethod, http.StatusMethodNotAllowed},
	{peridotverdict.TooLarge, http.StatusRequestEntityTooLarge},
	{peridotverdict.RequestTimedOut, http.StatusRequestTimeout},
	{peridotverdict.KeyReused, http.StatusUnprocessableEntity},
	{peridotverdict.StillRunning, http.StatusConflict},
	{peridotverdict.MayHaveRunBefore, http.StatusConflict},
	{peridotverdict.ResultExpired, http.StatusGone},
	{peridotverdict.AccountLimit, http.StatusTooManyRequests},
	{peridotverdict.DeadlinePassed, http.StatusGatewayTimeout},
	{peridotverdict.EngineFailed, http.StatusBadGateway},
	{peridotverdict.ShortAnswer, http.StatusBadGateway},
	{peridotverdict.PeerLost, http.StatusBadGateway},
	{peridotverdict.Internal, http.StatusInternalServerError},
}

// statusOf returns the HTTP status of an error. A request that was ended because the
// instance stops gets 503 only if it certainly did not run.
func statusOf(err *peridotverdict.Error) int {
	if err.Code == peridotverdict.ShuttingDown && err.Verdict != peridotverdict.NotRun {
		return http.StatusBadGateway
	}
	for _, s := range statuses {
		if s.code == err.Code {
			return s.status
		}
	}
	return http.StatusServiceUnavailable
}

// Refusal is the JSON body of the response to a request that was refused or
// failed.
type Refusal struct {
	Error RefusalError `json:"error"`
}

// RefusalError is the error object that clients of model servers expect, with
// additional fields.
type RefusalError struct {
	Code    peridotverdict.Code `json:"code"`
	Message string              `json:"message"`
	// Param names the invalid field or header of the request.
	Param string `json:"param,omitempty"`
	// Verdict says whether the request may have run.
	Verdict   peridotverdict.Verdict `json:"verdict"`
	RequestID string                 `json:"request_id,omitempty"`
	// RetryAfterMillis is the time after which a retry may succeed. 0 means that no
	// time is known.
	RetryAfterMillis int64 `json:"retry_after_millis,omitempty"`
}

func newRefusal(err *peridotverdict.Error, requestID string) Refusal {
	return Refusal{Error: RefusalError{
		Code:             err.Code,
		Message:          err.Message,
		Param:            err.Field,
		Verdict:          err.Verdict,
		RequestID:        requestID,
		RetryAfterMillis: err.RetryAfter.Milliseconds(),
	}}
}

// refuse writes the final response to a request that failed before any part of
// its answer was sent.
func (e *Entry) refuse(w http.ResponseWriter, err *peridotverdict.Error, requestID string) {
	e.metrics.CountRefusal(err.Code)
	header := w.Header()
	header.Set("Content-Type", "application/json")
	if err.RetryAfter > 0 {
		seconds := (err.RetryAfter + time.Second - 1) / time.Second
		header.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	if requestID != "" {
		header.Set(headerRequestID, requestID)
	}
	w.WriteHeader(statusOf(err))
	_ = json.NewEncoder(w).Encode(newRefusal(err, requestID))
}
