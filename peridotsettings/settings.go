package peridotsettings

import (
	"encoding/json"
	"os"

	"github.com/pkg/errors"
)

// Process holds what every process of the system is told.
type Process struct {
	// Instance is unique among all instances.
	Instance string
	// Domain is the failure domain the instance is in.
	Domain string
	// PeerAddress is where other processes of the system reach this one.
	PeerAddress string
	// OperatorAddress serves health, readiness, metrics and, on entry instances,
	// the operator's interface.
	OperatorAddress string
	// PlatformAddress is where the platform's interfaces are.
	PlatformAddress string
	// ShutdownGraceMillis bounds a graceful shutdown.
	ShutdownGraceMillis int64
}

// Entry is the settings of an entry instance.
type Entry struct {
	Process
	// CallerAddress is where callers reach this instance.
	CallerAddress string
	// MaxBodyBytes bounds the body of a caller's request.
	MaxBodyBytes int
}

// Agent is the settings of the process beside a backend server.
type Agent struct {
	Process
	// EngineAddress is set when the backend server is a model engine.
	EngineAddress string
	// ServiceAddress and Service are set when it is a plain service.
	ServiceAddress string
	Service        string
}

// Load reads the file at path into settings, a pointer to one of the types of
// this package.
func Load(path string, settings any) error {
	file, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "open settings")
	}
	defer file.Close()
	decoder := json.NewDecoder(file)
	decoder.DisallowUnknownFields()
	return errors.Wrap(decoder.Decode(settings), "settings file "+path)
}
