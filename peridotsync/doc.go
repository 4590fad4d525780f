// Package peridotsync runs a peridotconfig.Follower: it gives it the time, does
// what it asks for at the table service and at peers, and tells it what came of
// it. All decisions are the follower's.
package peridotsync
