// Package peridotstandin holds small stand-ins for what surrounds the system:
// the platform, a model engine and a plain service. They speak the published
// protocols, fail on demand and keep a log of what they received, so that a
// test can observe at the receiver.
package peridotstandin
