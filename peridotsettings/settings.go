package peridotsettings

import "peridotstack/peridotplatform"

// Process contains the settings that entry instances and agents have in common.
type Process struct {
	// Instance is the name of the instance. It must be unique among all instances.
	Instance string
	// Domain is the failure domain of the instance.
	Domain string
	// OperatorAddress is the IP address and port that serve health, readiness,
	// metrics and, on entry instances, the operator interface.
	OperatorAddress string
	// PlatformAddress is the IP address and port of the platform.
	PlatformAddress string
	// ShutdownGraceMillis is the maximum duration of a graceful shutdown, in
	// milliseconds.
	ShutdownGraceMillis int64
	// TLS secures the connections between the system's processes. If it is nil, they
	// are not encrypted, which is allowed only on loopback addresses.
	TLS *TLS
}

// TLS contains the paths of a process's PEM files. The process reloads the files
// when they change.
type TLS struct {
	CertificateFile string
	KeyFile         string
	// AuthorityFile contains the CA certificates that sign the certificates of all
	// processes.
	AuthorityFile string
}

// Entry contains the settings of an entry instance.
type Entry struct {
	Process
	// CallerAddress is the IP address and port on which the instance accepts
	// requests of callers.
	CallerAddress string
	// MaxBodyBytes is the maximum size of the body of a caller's request, in bytes.
	MaxBodyBytes int
	// BodyTimeoutMillis is the maximum time that a caller may take to send a request,
	// in milliseconds.
	BodyTimeoutMillis int64
	// LameDuckMillis is how long, in milliseconds, an instance that shuts down still
	// accepts requests while it reports to the load balancer that it is not ready.
	LameDuckMillis int64
}

// Agent contains the settings of an agent, the process beside a backend server.
type Agent struct {
	Process
	// PeerAddress is the IP address and port on which the agent accepts connections
	// of the system's other processes. The agent binds it first, which prevents a
	// second agent from serving the same backend server.
	PeerAddress string
	// EngineAddress is the IP address and port of the backend server if it is a
	// model engine.
	EngineAddress string
	// ServiceAddress and Service are the IP address and port and the name of the
	// backend server if it is a plain service.
	ServiceAddress string
	Service        string
}

// Platform contains the settings of the stand-in for the platform.
type Platform struct {
	Address   string
	Instances []peridotplatform.Instance
}

// Backend contains the settings of the stand-in for a backend server.
type Backend struct {
	Address string
	// Model and Version are the model that a model engine starts with.
	Model                  string
	Version                string
	PrefillTokensPerSecond float64
	// TokenIntervalMillis is the time between two output tokens, in milliseconds.
	TokenIntervalMillis int64
	// OrderMillis is the duration of an order, in milliseconds.
	OrderMillis int64
	// ChecksTokens makes an engine refuse orders with an old fencing token.
	ChecksTokens bool
}
