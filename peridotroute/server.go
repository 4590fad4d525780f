package peridotroute

import "time"

// Roles of a backend server.
const (
	// Mixed servers do prefill and decode; the empty role means the same.
	Mixed = "Mixed"
	// Prefill servers only do prefill and export the KV cache.
	Prefill = "Prefill"
	// Decode servers only do decode from an imported KV cache.
	Decode = "Decode"
)

// Server is a backend server that may get requests.
type Server struct {
	// Instance is the unique ID.
	Instance string
	Domain   string
	// Model is set for a model engine, Service for a plain service.
	Model   string
	Service string
	// Role is Mixed, Prefill or Decode; empty means Mixed.
	Role string
	// PrefillTokensPerSecond and DecodeTokensPerSecond are the rates for all requests
	// of the server together; 0 means unknown, as for plain services.
	PrefillTokensPerSecond float64
	DecodeTokensPerSecond  float64
	// MaxRunning is the number of requests that run at once while others wait; 0 means
	// no limit.
	MaxRunning int
	// RoundTrip is the network round-trip time to the server.
	RoundTrip time.Duration
	// Leaving and Down servers get no new requests.
	Leaving bool
	Down    bool
}

// Report is the load that a backend server reported.
type Report struct {
	Instance string
	// At is the time at which the report was received.
	At time.Duration
	// Running and Waiting are numbers of requests.
	Running int
	Waiting int
	// PrefillTokens and DecodeTokens are the tokens still to be processed for these
	// requests.
	PrefillTokens int
	DecodeTokens  int
	// FreeBlocks is the number of free KV cache blocks.
	FreeBlocks int
}

// Request is the part of a request that the choice of a server depends on.
type Request struct {
	// ID is unique among the requests that have not ended.
	ID string
	// Model or Service is set, but not both.
	Model   string
	Service string
	// PromptTokens is the length of the prompt in tokens.
	PromptTokens int
	// MaxTokens is the maximum number of output tokens; 0 means no limit.
	MaxTokens int
	// ExpectedOutput is the expected number of output tokens; 0 means unknown.
	ExpectedOutput int
	// PrefixHash holds the hashes of the prompt's prefixes, the longest last. Each
	// prefix is one block longer than the one before; all blocks have equal length.
	PrefixHash []uint64
	// Timeout is the time left for the whole answer; 0 means no deadline.
	Timeout time.Duration
	// Role restricts the choice to servers that can do this role; empty means servers
	// that can do the whole request.
	Role string
	// Exclude holds the instances that must not be chosen.
	Exclude []string
}

// Choice is the server or pair of servers chosen for a request.
type Choice struct {
	// Instance generates the answer.
	Instance string
	// PrefillInstance is set if another server does the prefill and then transfers the
	// KV cache to Instance.
	PrefillInstance string
	// CachedTokens is the estimated number of prompt tokens that are cached at the
	// server that does the prefill.
	CachedTokens int
	// Wait is the estimated time from now to the first token.
	Wait time.Duration
	// IdleWait is the Wait that would be expected if the servers had no other requests.
	IdleWait time.Duration
	// Finish is the estimated time from now to the end of the answer.
	Finish time.Duration
}
