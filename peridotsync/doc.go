// Package peridotsync runs a peridotconfig.Follower. It reports the time and
// messages of peers to the follower, performs the follower's actions on the table
// service and on peers, and reports their results. The follower makes all
// decisions.
package peridotsync
