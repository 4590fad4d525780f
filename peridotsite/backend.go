package peridotsite

// Role determines which phases of a request a backend server runs.
type Role int

const (
	// Mixed backend servers run requests from start to end: plain services, and
	// engines that do both prefill and decode.
	Mixed Role = iota
	// Decode engines generate tokens. They can also prefill prompts, but slowly.
	Decode
	// Prefill engines prefill prompts and transfer the KV cache to decode engines.
	Prefill
)

// Backend is a registered backend server.
type Backend struct {
	// ID is unique among the backend servers that exist at the same time.
	ID string
	// Born is when this incarnation of the backend server started, in Unix
	// milliseconds; 0 means unknown.
	Born int64
	// Service is the name of the service that the backend server belongs to.
	Service string
	// Address is the IP address and port. Another backend server may have the same
	// address once this one has stopped.
	Address string
	// Domain is the failure domain.
	Domain string
	// Slots is the maximum number of requests that run at the same time.
	Slots int
	// SoftwareVersion is the version of the server's own software, not of its model
	// weights; empty means unknown. Servers of one service may run different versions.
	SoftwareVersion string
	// Leaving is set if the backend server must get no new requests.
	Leaving bool
	Role    Role
}
