package peridotwire

import (
	"peridotstack/peridotstream"
	"peridotstack/peridotverdict"
)

// Methods of JSON-RPC between the processes.
const (
	// MethodRun runs a request; chunks come as notifications before the answer.
	MethodRun = "Run"
	// MethodResume continues an answer behind a checkpoint.
	MethodResume = "Resume"
	// MethodCancel (a notification) ends a request whose caller has gone.
	MethodCancel = "Cancel"
	// MethodChunks (a notification) carries chunks of an answer.
	MethodChunks = "Chunks"
	// MethodPing is the heartbeat; it carries configuration versions both ways.
	MethodPing = "Ping"
	// MethodConfirm (a notification) follows each ping; it hands a proof of the
	// configuration to the pinged process.
	MethodConfirm = "Confirm"
	// MethodCommits fetches the commits behind a number.
	MethodCommits = "Commits"
	// MethodOrder hands an order to the process beside an engine.
	MethodOrder = "Order"
	// MethodDescribe tells what the backend server runs.
	MethodDescribe = "Describe"
)

// Run asks an agent to run one request on its backend server. It never holds
// the caller's key.
type Run struct {
	// RequestID is unique; the agent refuses a second Run with the same one.
	RequestID string
	// Account and KeyID say who asks; both are empty on open routes.
	Account string
	KeyID   string
	// ConfigSeq is the number of the configuration the entry decided by.
	ConfigSeq int64
	// Model is set for model requests, Service for plain services.
	Model   string
	Service string
	// Method, Path and Query are those of the backend server's call.
	Method string
	Path   string
	Query  string
	// ContentType and Body are the caller's.
	ContentType string
	Body        string
	// Stream asks for the answer in pieces.
	Stream bool
	// MaxTokens bounds the output of a model.
	MaxTokens int
	Priority  int
	// IdempotencyKey is the caller's, scoped to its account.
	IdempotencyKey string
	// Idempotent requests may run more than once.
	Idempotent bool
	// TimeoutMillis is what is left until the caller's deadline.
	TimeoutMillis int64
	// UsageWindow is the number of the window that the request's use counts in.
	UsageWindow int64
}

// Resume asks for the chunks of a running or ended request behind a checkpoint.
type Resume struct {
	RequestID string
	Account   string
	// After is how many chunks the reader already has.
	After int
	// TimeoutMillis bounds the wait.
	TimeoutMillis int64
}

// Cancel ends a request.
type Cancel struct {
	RequestID string
}

// Chunks carries part of an answer.
type Chunks struct {
	RequestID string
	// First is the number of the first chunk, counting from 0.
	First int
	Data  []string
}

// Result answers Run and Resume. Either Err or End is set.
type Result struct {
	End *peridotstream.End
	Err *peridotverdict.Error
	// Load is the agent's load when it answered.
	Load Load
}

// Load is what an agent reports of its backend server.
type Load struct {
	// Running and Waiting count requests in the backend server.
	Running int
	Waiting int
	// PrefillTokens and DecodeTokens are what the running and waiting requests
	// still need.
	PrefillTokens int
	DecodeTokens  int
	// FreeBlocks is the free KV cache memory in blocks.
	FreeBlocks int
}

// Version says how new the sender's configuration is.
type Version struct {
	// Seq is the number of the last commit the sender has applied.
	Seq int64
	// ConfirmedMillis is how long ago, at the time of sending, the table service
	// or a majority of the witnesses confirmed that Seq was the newest; negative
	// when that never happened.
	ConfirmedMillis int64
}

// Ping is the heartbeat of the dialing process.
type Ping struct {
	// From is the sender's instance.
	From    string
	Version Version
	// Leaving is set when the sender knows the receiver to be marked as leaving.
	Leaving bool
}

// Confirm hands a proof to the process that answered a ping with the Stamp.
type Confirm struct {
	From    string
	Version Version
	// Stamp tells the receiver a time before the age in Version was computed.
	Stamp int64
}

// Pong answers Ping.
type Pong struct {
	// From is the answering instance, Domain its failure domain.
	From   string
	Domain string
	// Incarnation is unique to this life of the answering process. It is empty
	// when the process is no longer a witness.
	Incarnation string
	Version     Version
	// Stamp comes back in Confirm.
	Stamp int64
	Load  Load
	// Leaving is set once the process takes no new work.
	Leaving bool
	// Quiet is set while the process takes no new work because an order is about
	// to change its engine.
	Quiet bool
}

// Fetch asks for the commits behind a number.
type Fetch struct {
	After int64
}

// Describe asks what the backend server runs.
type Describe struct {
	// Shard and Token are set by the holder of the shard's lease: no order with
	// an older token is taken from then on.
	Shard string
	Token int64
}

// Description answers Describe.
type Description struct {
	Instance string
	Domain   string
	// Service is set when the backend server is a plain service.
	Service string
	// Model, Version and Role are what a model engine runs at present.
	Model   string
	Version string
	Role    string
	// Token is the highest fencing token the agent has seen for the engine.
	Token int64
	// OrderID names the last order taken; Busy says whether it is under way.
	OrderID string
	Busy    bool
	// Ticket is set for a holder whose token is the newest seen; its orders must
	// name it.
	Ticket string
}
