// Package peridotstandin provides small stand-ins for the system's surroundings:
// the platform, a model engine and a plain service. They implement the published
// protocols, fail on demand, and log what they receive, so that a test can check
// what the receiver saw.
package peridotstandin
