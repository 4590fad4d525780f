package peridotwire

import (
	"cmp"

	"peridotstack/peridotquarantine"
	"peridotstack/peridotstream"
	"peridotstack/peridotverdict"
)

// JSON-RPC methods between the processes.
const (
	// MethodRun runs a request. The chunks of the answer are sent as notifications
	// before the result.
	MethodRun = "Run"
	// MethodResume sends the chunks of an answer that follow a checkpoint.
	MethodResume = "Resume"
	// MethodCancel, a notification, cancels a request whose caller has
	// disconnected.
	MethodCancel = "Cancel"
	// MethodChunks, a notification, carries chunks of an answer.
	MethodChunks = "Chunks"
	// MethodPing is the heartbeat. Ping and Pong carry the configuration versions
	// of both processes.
	MethodPing = "Ping"
	// MethodConfirm, a notification, follows each ping. It sends the pinged process
	// the configuration version of the sender and the age of its confirmation.
	MethodConfirm = "Confirm"
	// MethodCommits fetches the configuration commits after a given number.
	MethodCommits = "Commits"
	// MethodOrder sends an order to the process beside an engine.
	MethodOrder = "Order"
	// MethodDescribe returns a description of what the backend server runs.
	MethodDescribe = "Describe"
)

// Run asks an agent to run a request on its backend server. It does not contain the
// key of the caller.
type Run struct {
	// RequestID is unique. The agent refuses a second Run with the same ID.
	RequestID string
	// Account and KeyID identify the caller. Both are empty on routes that require no
	// key.
	Account string
	KeyID   string
	// ConfigSeq is the number of the configuration with which the entry instance
	// admitted the request.
	ConfigSeq int64
	// Model is set for requests to model engines, Service for requests to plain
	// services.
	Model   string
	Service string
	// Method, Path and Query are those of the HTTP request to the backend server.
	Method string
	Path   string
	Query  string
	// ContentType and Body are those of the request of the caller.
	ContentType string
	Body        string
	// Stream asks the engine to stream the answer.
	Stream bool
	// MaxTokens limits the output tokens of a model request.
	MaxTokens int
	// Priority ranks the request at the engine. Larger values run first.
	Priority int
	// IdempotencyKey is chosen by the caller and scoped to its account.
	IdempotencyKey string
	// Idempotent is set if the request may run more than once.
	Idempotent bool
	// TimeoutMillis is the remaining time until the deadline of the caller, in
	// milliseconds.
	TimeoutMillis int64
	// UsageWindow is the number of the window in which the usage of the request is
	// counted.
	UsageWindow int64
}

// Identity returns what all requests have in common that ask the same.
func (r Run) Identity() peridotquarantine.Part {
	target := r.Service + " " + r.Model + " " + r.Path + "?" + r.Query
	return peridotquarantine.RequestOf(r.Method, target, r.Account, 0, []byte(r.Body))
}

// Software returns what runs the request. Its version is empty, as requests don't choose it.
func (r Run) Software() peridotquarantine.Software {
	return peridotquarantine.Software{Service: cmp.Or(r.Service, r.Model)}
}

// Resume asks for the chunks of a running or ended request that follow a
// checkpoint.
type Resume struct {
	RequestID string
	Account   string
	// After is the number of chunks that the reader has received.
	After int
	// TimeoutMillis is how long the reader waits for the end of the answer, in
	// milliseconds.
	TimeoutMillis int64
}

// Cancel names the request to cancel.
type Cancel struct {
	RequestID string
}

// Chunks contains consecutive chunks of an answer.
type Chunks struct {
	RequestID string
	// First is the number of the first chunk in Data, counting from 0.
	First int
	Data  []string
}

// Result is the answer to Run and Resume. Either End or Err is set.
type Result struct {
	End *peridotstream.End
	Err *peridotverdict.Error
	// Load is the load of the backend server when the agent answered.
	Load Load
}

// Load is the load of a backend server.
type Load struct {
	// Running and Waiting are numbers of requests at the backend server.
	Running int
	Waiting int
	// PrefillTokens and DecodeTokens are the tokens that the running and waiting
	// requests have yet to prefill and to decode.
	PrefillTokens int
	DecodeTokens  int
	// FreeBlocks is the number of free KV cache blocks.
	FreeBlocks int
}

// Version is the version of the configuration of a process and the age of its
// confirmation.
type Version struct {
	// Seq is the number of the last commit that the sender has applied.
	Seq int64
	// ConfirmedMillis is the time since the table service or a majority of the
	// witnesses confirmed that Seq was the newest commit, in milliseconds at the
	// time of sending. It is negative if that has never happened.
	ConfirmedMillis int64
}

// Ping is the heartbeat that the dialing process sends.
type Ping struct {
	// From is the instance of the sender.
	From    string
	Version Version
	// Leaving is set if the sender knows that the receiver is marked as leaving.
	Leaving bool
}

// Confirm sends the Version of a pinging process to the process that answered the
// ping with Stamp.
type Confirm struct {
	From    string
	Version Version
	// Stamp is copied from the Pong. The receiver issued it before the sender computed
	// ConfirmedMillis, so it is a lower bound for the time of that computation.
	Stamp int64
}

// Pong is the answer to Ping.
type Pong struct {
	// From is the instance of the answering process, and Domain its failure domain.
	From   string
	Domain string
	// Incarnation identifies one run of the answering process, from its start to its
	// end. It is empty if the process is no longer a witness.
	Incarnation string
	Version     Version
	// Stamp is the time on the clock of the answering process. It is opaque to the
	// receiver, which returns it in Confirm.
	Stamp int64
	Load  Load
	// Leaving is set once the process has stopped admitting requests for good.
	Leaving bool
	// Quiet is set while the process admits no requests because an order is about
	// to be applied to its engine.
	Quiet bool
	// Ended contains requests under which the backend server of the process ended.
	Ended []peridotquarantine.Accusation `json:",omitempty"`
}

// Fetch asks for the configuration commits after the number After.
type Fetch struct {
	After int64
}

// Describe asks for a description of what the backend server runs.
type Describe struct {
	// Shard and Token are set by the holder of the lease of the shard. The agent then
	// refuses orders with an older fencing token.
	Shard string
	Token int64
}

// Description is the answer to Describe.
type Description struct {
	Instance string
	Domain   string
	// Service is set if the backend server is a plain service.
	Service string
	// Model, Version and Role are those that a model engine currently runs.
	Model   string
	Version string
	Role    string
	// Token is the highest fencing token that the agent has seen for the engine.
	Token int64
	// OrderID is the ID of the last accepted order. Busy is set while that order is
	// being applied.
	OrderID string
	Busy    bool
	// Ticket is set if the token in Describe is the highest seen. Orders of that
	// lease holder must contain it.
	Ticket string
}
