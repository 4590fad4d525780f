// Package peridottree implements the supervisors of a process. A supervisor runs
// components of the process concurrently, restarts each component that fails or
// panics, and logs the restarts.
package peridottree

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/thejerf/suture/v4"
)

// stopTimeout limits how long a supervisor waits for a component to stop.
const stopTimeout = 15 * time.Second

// ErrFinished is returned by a component that has done its work.
var ErrFinished = suture.ErrDoNotRestart

// New returns a supervisor without components. Its log messages start with the name
// and a colon.
func New(name string) *suture.Supervisor {
	return suture.New(name, suture.Spec{
		Timeout:   stopTimeout,
		EventHook: func(event suture.Event) { logEvent(name, event) },
	})
}

// logEvent logs panics, stop timeouts and the suspension of restarts as errors, and
// failures and the resumption of restarts as warnings.
func logEvent(name string, event suture.Event) {
	switch event.Type() {
	case suture.EventTypeServicePanic, suture.EventTypeStopTimeout, suture.EventTypeBackoff:
		log.Error(name + ": " + event.String())
	case suture.EventTypeServiceTerminate, suture.EventTypeResume:
		log.Warn(name + ": " + event.String())
	}
}

// Component is a component of a process that a supervisor runs. It implements
// fmt.Stringer, because the supervisor would otherwise format the whole Component in
// log messages and read its fields while it runs.
type Component struct {
	// Name identifies the component in log messages.
	Name string
	// Run runs the component until its context is done. If it returns earlier, the
	// supervisor calls it again, unless it returns ErrFinished.
	Run func(ctx context.Context) error
}

// Serve implements suture.Service.
func (c Component) Serve(ctx context.Context) error {
	return c.Run(ctx)
}

// String returns the name of the component.
func (c Component) String() string {
	return c.Name
}
