package peridotfront

import (
	"context"
	"net/http"
	"time"

	"peridotstack/peridotplace"
	"peridotstack/peridotquarantine"
	"peridotstack/peridotsite"
	"peridotstack/peridottable"
)

// Protocol encodes and decodes the headers of the deployment's protocol.
// Implementations must be stateless and safe for concurrent use.
type Protocol interface {
	// DecodeCall decodes a caller's request.
	DecodeCall(r *http.Request) Call
	// RequestHeader returns the headers of a request to a backend server, built from
	// the headers of the caller's request and from requestHead.
	RequestHeader(from http.Header, requestHead RequestHead) http.Header
	// DecodeAnswer decodes the status and headers of a backend server's answer.
	DecodeAnswer(status int, h http.Header) AnswerHead
	// AnswerHeader removes the hop-by-hop headers from h, the headers of a backend
	// server's answer, and returns h.
	AnswerHeader(h http.Header) http.Header
	// DecodePrefill decodes the handle of the KV cache from the answer to a prefill.
	DecodePrefill(body []byte) (handle string, err error)
	// KVSource returns the name under which another engine fetches the KV cache that
	// the engine at address keeps under handle.
	KVSource(address, handle string) string
	// KVFetch returns the name under which an engine fetches a prefix of a prompt from the
	// KV cache of the engine at address.
	KVFetch(address string) string
	// FreeKV returns the method and path of the request that makes an engine free the
	// KV cache under handle.
	FreeKV(handle string) (method, path string)
}

// Call is a decoded request from a caller.
type Call struct {
	// ID identifies the request. A caller uses a new ID for each attempt.
	ID string
	// Key is the API key of the caller, or empty.
	Key string
	// Timeout is how long the caller waits for the answer. It is valid only if
	// HasTimeout is set.
	Timeout    time.Duration
	HasTimeout bool
	// LastEventID is the ID of the event after which to resume a stream, or empty.
	LastEventID string
	// Resumes is the ID of the request that brought the first event of the stream to
	// resume, or empty.
	Resumes string
	// Model is the name of the requested model, or empty.
	Model string
	// PromptTokens is the length of the prompt; 0 means unknown.
	PromptTokens int
	// MaxTokens is the maximum length of the output; 0 means unknown.
	MaxTokens int
	// Parts are the parts of the prompt, in order.
	Parts []peridotplace.Part
	// PromptParts are the IDs of the parts of the prompt, in order.
	PromptParts []peridotquarantine.Part
}

// RequestHead contains the values that the front sets in the head of a request to a
// backend server. Empty strings are omitted.
type RequestHead struct {
	// Account is the client account of the caller's key.
	Account string
	// Backend is the ID of the only backend server that may run the request.
	Backend string
	// Timeout is the time remaining until the deadline of the request.
	Timeout time.Duration
	// LastEventID is the ID of the event after which to resume the stream.
	LastEventID string
	// Prefill requests only the prefill of the prompt.
	Prefill bool
	// KVSource names the KV cache to fetch, as returned by Protocol.KVSource.
	KVSource string
	// KVFetch names the engine from whose KV cache to fetch a prefix of the prompt, as
	// returned by Protocol.KVFetch.
	KVFetch string
	// Urgency is the priority of the request in the queue of an engine.
	Urgency Urgency
}

// Urgency is the priority of a request in the queue of an engine.
type Urgency int

const (
	// UrgencyNormal is for requests that can meet their objective.
	UrgencyNormal Urgency = iota
	// UrgencyHigh is for requests whose prefill has run on another engine; they only
	// need a slot.
	UrgencyHigh
	// UrgencyLow is for requests that will miss their objective anyway.
	UrgencyLow
	// UrgencyInteractive is for interactive requests, whose answers must not pause. It is
	// the most urgent.
	UrgencyInteractive
)

// String returns the name of an urgency in logs.
func (u Urgency) String() string {
	switch u {
	case UrgencyHigh:
		return "high"
	case UrgencyLow:
		return "low"
	case UrgencyInteractive:
		return "interactive"
	}
	return "normal"
}

// AnswerHead is the decoded head of a backend server's answer.
type AnswerHead struct {
	// ID is the ID of the answered request, or empty.
	ID string
	// Sealed is set if the answer has the seal of a backend server that ran the
	// request.
	Sealed bool
	// NotRun is set if the backend server did not run the request and never will.
	NotRun bool
	// Misdirected is set if the address now belongs to another backend server.
	Misdirected bool
	// Leaving is set if the backend server leaves and must get no new requests.
	Leaving bool
	// RetryAfter is how long a backend server that did not run the request wants no
	// other one; 0 means that it does not say.
	RetryAfter time.Duration
	// Limited is set if the backend server names a limit: Limit, in requests per second
	// from all instances together.
	Limited bool
	Limit   float64
	// UnreadableLimit is the text of a limit that cannot be decoded and is ignored, or
	// empty.
	UnreadableLimit string
}

// DutyHolder identifies the holder of the duties lease in a call to the platform.
type DutyHolder struct {
	// Instance is the name of the instance that holds the lease.
	Instance string
	// Token is the fencing token, which increases with each change of holder.
	Token int64
}

// Platform provides the services of the users' platform to a front: the table
// service, feeds of its contents and the usage API.
type Platform interface {
	peridottable.Store
	// Era returns the newest era of the table service that an answer has shown.
	Era() int64
	// WatchConfig calls w with each configuration until ctx is done.
	WatchConfig(ctx context.Context, w Watcher) error
	// WatchBackends calls w with each list of registered backend servers until ctx is
	// done.
	WatchBackends(ctx context.Context, w Watcher) error
	// HurryBackends makes WatchBackends deliver changes that it batches once the batch has
	// lasted for delay, or the next one if there is none. It does not block.
	HurryBackends(delay time.Duration)
	// ReportUsage reports the requests per client account that began in a window.
	ReportUsage(ctx context.Context, holder DutyHolder, window int64, requests map[string]int64) error
}

// Watcher receives changes of the configuration and of the registered backend
// servers from the table service. Its methods must be safe for concurrent use.
type Watcher interface {
	// SetConfig is called with a new configuration. Its version may be older than
	// that of an earlier call.
	SetConfig(c *peridotsite.Config)
	// SetBackends is called with all registered backend servers.
	SetBackends(backends []peridotsite.Backend)
	// RowUnreadable is called for a row that cannot be decoded and is ignored.
	RowUnreadable(key string, err error)
	// FeedAnswered is called when the table service answers a call of a feed.
	FeedAnswered(feed string)
	// FeedRestored is called when the table service was restored from an older copy,
	// before the feed delivers the contents of that copy. The era is the new one.
	FeedRestored(feed string, era int64)
	// FeedFailed is called when a call of a feed fails.
	FeedFailed(feed string, err error)
}
