package peridotsite

// Role is the part that a model engine plays.
type Role int

const (
	// Whole backend servers run requests from start to end.
	Whole Role = iota
	// Decode engines generate tokens; they also read prompts, but slowly.
	Decode
	// Prefill engines read prompts and hand their KV cache to decode engines.
	Prefill
)

// Backend is a registered backend server.
type Backend struct {
	// ID is unique among the backend servers that live at a time.
	ID string
	// Born is the start of this incarnation in Unix milliseconds; 0 if unknown.
	Born    int64
	Service string
	// Address is an IP number and port; it may belong to another backend server
	// once this one has ended.
	Address string
	// Domain is the failure domain.
	Domain string
	// Slots is how many requests it runs at once.
	Slots int
	// Leaving backend servers get no new requests.
	Leaving bool
	Role    Role
}
