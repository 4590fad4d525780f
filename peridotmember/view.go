package peridotmember

import "time"

const (
	// SuspectAfter is how long an instance may stay silent before it gets no new
	// work.
	SuspectAfter = 3 * time.Second
	// MissingAfter is how long an instance that answers may be missing from the
	// list before it gets no new work.
	MissingAfter = 10 * time.Second
)

// State is what is known of an instance.
type State int

const (
	// Unknown instances were never heard of.
	Unknown State = iota
	// Silent instances have not answered for a while, or never.
	Silent
	// Alive instances may get new work.
	Alive
	// Leaving instances get no new work, but finish what they have.
	Leaving
	// Gone instances are neither listed nor answering.
	Gone
)

// Listed is one instance in the platform's list.
type Listed struct {
	Instance string
	Leaving  bool
}

// Answer is what an instance said of itself.
type Answer struct {
	Instance string
	// Incarnation changes when the process of the instance is restarted.
	Incarnation string
	// Leaving is set once the process takes no new work.
	Leaving bool
	// Sent is when the question was sent that this answers.
	Sent time.Time
}

// View is one process's view of the instances. The zero value is empty. It is not
// safe for concurrent use.
type View struct {
	instances map[string]*instance
	// read is the time of the last list.
	read time.Time
}

// instance is what a View keeps of one instance.
type instance struct {
	// listed is when the instance was last in the list.
	listed time.Time
	// listedLeaving stays set: a list that lags may show the instance without the
	// mark again.
	listedLeaving bool
	// answered is the Sent of the last answer.
	answered    time.Time
	incarnation string
	// saidLeaving stays set for the life of the process that said so.
	saidLeaving bool
}

// List takes a list that was read; asked is when the read was sent.
func (v *View) List(asked time.Time, list []Listed) {
	for _, l := range list {
		i := v.instance(l.Instance)
		i.listed = asked
		i.listedLeaving = i.listedLeaving || l.Leaving
	}
	v.read = asked
	for name := range v.instances {
		if v.State(name, asked) == Gone {
			delete(v.instances, name)
		}
	}
}

// Hear takes an answer of an instance.
func (v *View) Hear(a Answer) {
	i := v.instance(a.Instance)
	if a.Sent.Before(i.answered) {
		return
	}
	i.answered = a.Sent
	if a.Incarnation != i.incarnation {
		i.incarnation, i.saidLeaving = a.Incarnation, false
	}
	i.saidLeaving = i.saidLeaving || a.Leaving
}

func (v *View) instance(name string) *instance {
	if v.instances == nil {
		v.instances = make(map[string]*instance)
	}
	if v.instances[name] == nil {
		v.instances[name] = &instance{}
	}
	return v.instances[name]
}

// MarkedLeaving reports whether any source marked the instance as leaving. A
// process says so to the instance itself, which then tells all that ask it: this
// is how a process learns it that is cut off from the list.
func (v *View) MarkedLeaving(name string) bool {
	i := v.instances[name]
	return i != nil && (i.listedLeaving || i.saidLeaving)
}

// State returns what is known of an instance at the time now.
func (v *View) State(name string, now time.Time) State {
	i := v.instances[name]
	if i == nil {
		return Unknown
	}
	silent := now.Sub(i.answered) > SuspectAfter
	missing := v.read.After(i.listed)
	switch {
	case silent && missing && v.read.Sub(i.listed) > MissingAfter:
		return Gone
	case v.MarkedLeaving(name):
		return Leaving
	case silent:
		return Silent
	case missing && v.read.Sub(i.listed) > MissingAfter:
		return Leaving
	default:
		return Alive
	}
}

// Usable reports whether an instance may be given new work at the time now.
func (v *View) Usable(name string, now time.Time) bool {
	return v.State(name, now) == Alive
}
