// Package peridotplatform is the client of the platform: its table service,
// instance list, order interface for backend servers and usage interface. It
// contains all that the system knows about their wire formats.
package peridotplatform
