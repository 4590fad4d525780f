// Package peridottree makes the supervisors of a process: each runs parts of the
// process, starts one anew that fails or panics, and logs that it did.
package peridottree

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/thejerf/suture/v4"
)

// stopTimeout bounds the wait for a part that is told to stop.
const stopTimeout = 15 * time.Second

// New returns a supervisor. Its log lines start with the name and a colon.
func New(name string) *suture.Supervisor {
	return suture.New(name, suture.Spec{
		Timeout:   stopTimeout,
		EventHook: func(event suture.Event) { logEvent(name, event) },
	})
}

func logEvent(name string, event suture.Event) {
	switch event.Type() {
	case suture.EventTypeServicePanic, suture.EventTypeStopTimeout, suture.EventTypeBackoff:
		log.Error(name + ": " + event.String())
	case suture.EventTypeServiceTerminate, suture.EventTypeResume:
		log.Warn(name + ": " + event.String())
	}
}

// Part is a part of a process. It has a name of its own because the supervisor
// would otherwise print the part in full, reading its fields while it runs.
type Part struct {
	Name string
	// Run runs until its context is done.
	Run func(ctx context.Context) error
}

// Serve implements suture.Service.
func (p Part) Serve(ctx context.Context) error {
	return p.Run(ctx)
}

// String returns the name.
func (p Part) String() string {
	return p.Name
}
