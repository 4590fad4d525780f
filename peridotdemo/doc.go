// Package peridotdemo runs all roles and the stand-ins in one process on
// loopback, with a small configuration, as a demonstration of the system.
package peridotdemo
