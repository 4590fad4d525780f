package peridotsettings

import "peridotstack/peridotplatform"

// Process holds what every process of the system is told.
type Process struct {
	// Instance is unique among all instances.
	Instance string
	// Domain is the failure domain the instance is in.
	Domain string
	// OperatorAddress serves health, readiness, metrics and, on entry instances,
	// the operator's interface.
	OperatorAddress string
	// PlatformAddress is where the platform's interfaces are.
	PlatformAddress string
	// ShutdownGraceMillis bounds a graceful shutdown.
	ShutdownGraceMillis int64
	// TLS secures connections between the system's processes; nil leaves them
	// open, which is allowed on loopback only.
	TLS *TLS
}

// TLS names the PEM files of a process. They are read again when they change.
type TLS struct {
	CertificateFile string
	KeyFile         string
	// AuthorityFile holds the certificates that sign those of all processes.
	AuthorityFile string
}

// Entry is the settings of an entry instance.
type Entry struct {
	Process
	// CallerAddress is where callers reach this instance.
	CallerAddress string
	// MaxBodyBytes bounds the body of a caller's request.
	MaxBodyBytes int
	// BodyTimeoutMillis bounds how long a caller may take to send a request.
	BodyTimeoutMillis int64
	// LameDuckMillis is how long a stopping instance still takes requests while
	// it tells the balancer that it is not ready.
	LameDuckMillis int64
}

// Agent is the settings of the process beside a backend server.
type Agent struct {
	Process
	// PeerAddress is where other processes of the system reach this one. Binding
	// it first also keeps a second agent off the same backend server.
	PeerAddress string
	// EngineAddress is set when the backend server is a model engine.
	EngineAddress string
	// ServiceAddress and Service are set when it is a plain service.
	ServiceAddress string
	Service        string
}

// Platform is the settings of the platform's stand-in.
type Platform struct {
	Address   string
	Instances []peridotplatform.Instance
}

// Backend is the settings of the stand-in for a backend server.
type Backend struct {
	Address                string
	Model                  string
	Version                string
	PrefillTokensPerSecond float64
	TokenIntervalMillis    int64
	OrderMillis            int64
	// ChecksTokens makes an engine refuse orders with an old fencing token.
	ChecksTokens bool
}
