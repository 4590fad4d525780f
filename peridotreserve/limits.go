package peridotreserve

const (
	// baseBytes is the memory of a front without clients; 20 MiB were measured.
	baseBytes = 32 << 20
	// minUsableShare is the minimum fraction of the memory that clients may use.
	minUsableShare = 0.25
	// bodyShare, headShare and connectionShare are fractions of the memory without baseBytes.
	// What these and usageShare leave is for answers and for garbage.
	bodyShare       = 0.5
	headShare       = 0.125
	connectionShare = 0.2
	// usageShare is the fraction for the usage counts of other fronts, which anybody may send.
	// At 144 MiB, it holds 8 windows of 100 accounts from 200 fronts.
	usageShare = 0.12
	// connectionCost is the memory of a connection: two buffers of 4 KiB, the stack of its
	// goroutine and that of the goroutine that notices the end of the connection.
	connectionCost = 24 << 10
	// fileDescriptors is the number of descriptors kept for files and own connections.
	fileDescriptors = 200
	// runtimeShare is the fraction of the memory that the Go runtime may use before it collects
	// garbage more often. The rest is for the program's text and for overshoot.
	runtimeShare = 0.75
	// defaultMemory is assumed if the memory is unknown.
	defaultMemory = 144 << 20
)

// Limits are the bounds of a process.
type Limits struct {
	// BodyBytes and HeadBytes are the memory of request bodies and of parsed request heads.
	BodyBytes, HeadBytes int64
	// UsageBytes is the memory of the usage counts of other fronts.
	UsageBytes int64
	// Connections is the maximum number of connections from clients.
	Connections int
	// RuntimeBytes is the memory limit of the Go runtime.
	RuntimeBytes int64
}

// LimitsOf returns the limits of a process with the given memory and maximum number of
// descriptors. A memory of 0 or less means 144 MiB, and a number of 0 or less means that
// descriptors are not bounded. Each client may need another descriptor for a backend server.
func LimitsOf(memory int64, descriptors int) Limits {
	if memory <= 0 {
		memory = defaultMemory
	}
	usable := max(float64(memory-baseBytes), minUsableShare*float64(memory))
	l := Limits{
		BodyBytes: int64(bodyShare * usable), HeadBytes: int64(headShare * usable), UsageBytes: int64(usageShare * usable),
		Connections:  max(1, int(connectionShare*usable/connectionCost)),
		RuntimeBytes: int64(runtimeShare * float64(memory)),
	}
	if descriptors > 0 {
		l.Connections = max(1, min(l.Connections, (descriptors-fileDescriptors)/2))
	}
	return l
}
