// Package peridotdemo runs every role and the stand-ins in one process on
// loopback, with a small shared configuration, for a first look.
package peridotdemo
