package peridotfront

import (
	"context"
	"net/http"
	"time"

	"peridotstack/peridotplace"
	"peridotstack/peridotsite"
	"peridotstack/peridottable"
)

// Protocol translates between the headers of the deployment's protocol and what
// they mean. It holds no state.
type Protocol interface {
	// Call decodes what a caller asks for.
	Call(r *http.Request) Call
	// Head returns the headers for a backend server, made from the caller's.
	Head(from http.Header, o Outgoing) http.Header
	// Answer decodes the head of a backend server's answer.
	Answer(status int, h http.Header) AnswerHead
	// Return removes what concerns one connection from a backend server's headers.
	Return(h http.Header) http.Header
	// Prefilled decodes the handle from an answer to a prefill.
	Prefilled(body []byte) (handle string, err error)
	// KVSource names the KV cache that the engine at an address holds.
	KVSource(address, handle string) string
	// FreeKV returns the method and path that free a handle at an engine.
	FreeKV(handle string) (method, path string)
}

// Call is what a caller asks for.
type Call struct {
	// ID is unique per attempt of the caller.
	ID string
	// Key is the caller's secret, or empty.
	Key string
	// Left is how long the caller waits, if HasLeft.
	Left    time.Duration
	HasLeft bool
	// LastEvent is the event behind which a resumed stream goes on, or empty.
	LastEvent string
	Model     string
	// PromptTokens and MaxTokens are the prompt's length and the longest output; 0
	// means unknown.
	PromptTokens int
	MaxTokens    int
	Parts        []peridotplace.Part
}

// Outgoing is what this process sets on a request to a backend server. Empty
// fields are left out.
type Outgoing struct {
	// Account is the client account that the caller's key belongs to.
	Account string
	// Backend is the only backend server that may run the request.
	Backend string
	// Left is the time left for the whole request.
	Left time.Duration
	// LastEvent is the event behind which the stream goes on.
	LastEvent string
	// Prefill asks to read the prompt only.
	Prefill bool
	// KVSource names the KV cache to go on from.
	KVSource string
	// Urgency orders requests at an engine.
	Urgency Urgency
}

// Urgency orders the requests that wait at an engine.
type Urgency int

const (
	// UrgencyUsual is for requests that can be on time.
	UrgencyUsual Urgency = iota
	// UrgencyHigh is for those whose prompt has been read elsewhere, which need no
	// more than a slot.
	UrgencyHigh
	// UrgencyLow is for those that will be late anyway.
	UrgencyLow
)

// AnswerHead is what the head of a backend server's answer says.
type AnswerHead struct {
	// ID is that of the request which is answered, or empty.
	ID string
	// Sealed answers come from a backend server that ran the request.
	Sealed bool
	// NotRun says that the backend server did not and will not run the request.
	NotRun bool
	// Moved says that another backend server has the address now.
	Moved bool
}

// Duty names who does a duty.
type Duty struct {
	Holder string
	// Token is the fencing token; it grows with each change of holder.
	Token int64
}

// Platform is what the fronts use of the users' platform.
type Platform interface {
	peridottable.Store
	// WatchConfig and WatchBackends feed w until ctx is done.
	WatchConfig(ctx context.Context, w Watcher) error
	WatchBackends(ctx context.Context, w Watcher) error
	// ReportUsage sends the requests per account that began in a window.
	ReportUsage(ctx context.Context, d Duty, window int64, requests map[string]int64) error
}

// Watcher receives what the platform's table service holds, as it changes.
type Watcher interface {
	// Configured takes a configuration; its version may be older than the last.
	Configured(c *peridotsite.Config)
	// Registered takes all backend servers that are registered.
	Registered(backends []peridotsite.Backend)
	// Unreadable takes a row that cannot be decoded and is left out.
	Unreadable(key string, err error)
	// Reached and Lost tell that a feed of the table service answers, or does not.
	Reached(feed string)
	Lost(feed string, err error)
}
