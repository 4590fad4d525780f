package peridotroute

import "time"

// Roles of a backend server.
const (
	// Mixed servers do prefill and decode; the empty role means the same.
	Mixed = "Mixed"
	// Prefill servers only read prompts and export their KV cache.
	Prefill = "Prefill"
	// Decode servers only generate tokens from an imported KV cache.
	Decode = "Decode"
)

// Server is one backend server that requests may be sent to.
type Server struct {
	// Instance is unique.
	Instance string
	Domain   string
	// Model is set for a model engine, Service for a plain service.
	Model   string
	Service string
	// Role is Mixed, Prefill or Decode; empty means Mixed.
	Role string
	// PrefillTokensPerSecond and DecodeTokensPerSecond are for all requests of
	// the server together; 0 means unknown, as for plain services.
	PrefillTokensPerSecond float64
	DecodeTokensPerSecond  float64
	// MaxRunning is how many requests run at once, others wait; 0 means no bound.
	MaxRunning int
	// RoundTrip is the network time to the server and back.
	RoundTrip time.Duration
	// Leaving and Down servers get no new requests.
	Leaving bool
	Down    bool
}

// Report is what a backend server told of its load.
type Report struct {
	Instance string
	// At is when the report was received.
	At time.Duration
	// Running and Waiting count requests.
	Running int
	Waiting int
	// PrefillTokens and DecodeTokens are what these requests still need.
	PrefillTokens int
	DecodeTokens  int
	// FreeBlocks is the free KV cache memory in blocks.
	FreeBlocks int
}

// Request is what the choice depends on.
type Request struct {
	// ID is unique among the requests under way.
	ID string
	// Exactly one of Model and Service is set.
	Model   string
	Service string
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// MaxTokens bounds the output; 0 means no bound.
	MaxTokens int
	// ExpectedOutput is the expected number of output tokens; 0 means unknown.
	ExpectedOutput int
	// PrefixHash holds the hashes of the prompt's prefixes, which grow by equal
	// blocks, the longest last.
	PrefixHash []uint64
	// Deadline is the time left for the whole answer; 0 means no deadline.
	Deadline time.Duration
	// Role asks for servers of that role only; empty means any that can do the
	// whole request.
	Role string
	// Exclude names instances that must not be chosen.
	Exclude []string
}

// Choice is where a request goes.
type Choice struct {
	// Instance generates the answer.
	Instance string
	// PrefillInstance is set when another server does the prefill, from which
	// the KV cache is then moved to Instance.
	PrefillInstance string
	// CachedTokens is how much of the prompt is believed to be cached at the
	// server that does the prefill.
	CachedTokens int
	// Wait is the estimated time from now to the first token.
	Wait time.Duration
	// Alone is the part of Wait that would be left without other requests.
	Alone time.Duration
	// Finish is the estimated time from now to the end of the answer.
	Finish time.Duration
}
