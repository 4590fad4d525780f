package peridotmember

import "time"

const (
	// SuspectAfter is the time without an answer after which an instance gets no
	// new work.
	SuspectAfter = 3 * time.Second
	// MissingAfter is the time for which an instance that answers may be missing
	// from the list before it gets no new work.
	MissingAfter = 10 * time.Second
)

// State is the state of an instance as far as a View knows it.
type State int

const (
	// Unknown instances have not been listed and have not answered, or have been
	// dropped as Gone.
	Unknown State = iota
	// Silent instances have not answered for longer than SuspectAfter, or never.
	Silent
	// Alive instances may get new work.
	Alive
	// Leaving instances get no new work, but finish the work that they have.
	Leaving
	// Gone instances do not answer and have been missing from the list for longer
	// than MissingAfter.
	Gone
)

// ListedInstance is an instance in the platform's list.
type ListedInstance struct {
	Instance string
	Leaving  bool
}

// Answer is an instance's report about itself.
type Answer struct {
	Instance string
	// Incarnation identifies the process of the instance; it changes with each
	// restart.
	Incarnation string
	// Leaving is set once the process accepts no new work.
	Leaving bool
	// Sent is the time at which the query for this answer was sent.
	Sent time.Time
}

// View is one process's view of the instances. The zero value is an empty view.
// A View is not safe for concurrent use.
type View struct {
	instances map[string]*instance
	// lastListAt is the time at which the last list was requested.
	lastListAt time.Time
}

// instance holds the data of one instance in a View.
type instance struct {
	// lastListedAt is the time of the last list that contained the instance.
	lastListedAt time.Time
	// listedLeaving is set once a list has marked the instance as leaving. It stays
	// set, because a later list may lag and lack the mark.
	listedLeaving bool
	// lastAnswerAt is the Sent time of the last answer.
	lastAnswerAt time.Time
	incarnation  string
	// answeredLeaving is set once an answer of the current incarnation has Leaving
	// set.
	answeredLeaving bool
}

// RecordList updates the view with a list that was requested at requestedAt,
// and drops the instances that are Gone.
func (v *View) RecordList(requestedAt time.Time, list []ListedInstance) {
	for _, l := range list {
		i := v.instance(l.Instance)
		i.lastListedAt = requestedAt
		i.listedLeaving = i.listedLeaving || l.Leaving
	}
	v.lastListAt = requestedAt
	for name := range v.instances {
		if v.State(name, requestedAt) == Gone {
			delete(v.instances, name)
		}
	}
}

// RecordAnswer updates the view with an answer of an instance. It ignores an
// answer to an older query than that of the last answer.
func (v *View) RecordAnswer(a Answer) {
	i := v.instance(a.Instance)
	if a.Sent.Before(i.lastAnswerAt) {
		return
	}
	i.lastAnswerAt = a.Sent
	if a.Incarnation != i.incarnation {
		i.incarnation, i.answeredLeaving = a.Incarnation, false
	}
	i.answeredLeaving = i.answeredLeaving || a.Leaving
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

// MarkedLeaving reports whether a list or the instance itself has marked the
// instance as leaving. A process that reads the mark in a list passes it on to
// the instance, which then reports it in its answers, so the mark also reaches
// processes that cannot read the list.
func (v *View) MarkedLeaving(name string) bool {
	i := v.instances[name]
	return i != nil && (i.listedLeaving || i.answeredLeaving)
}

// State returns the state of an instance at the time now.
func (v *View) State(name string, now time.Time) State {
	i := v.instances[name]
	if i == nil {
		return Unknown
	}
	silent := now.Sub(i.lastAnswerAt) > SuspectAfter
	missing := v.lastListAt.After(i.lastListedAt)
	switch {
	case silent && missing && v.lastListAt.Sub(i.lastListedAt) > MissingAfter:
		return Gone
	case v.MarkedLeaving(name):
		return Leaving
	case silent:
		return Silent
	case missing && v.lastListAt.Sub(i.lastListedAt) > MissingAfter:
		return Leaving
	default:
		return Alive
	}
}

// Usable reports whether an instance may be given new work at the time now.
func (v *View) Usable(name string, now time.Time) bool {
	return v.State(name, now) == Alive
}
