// Package peridotsite holds what one deployment serves: its routes, services,
// client accounts and limits, and the backend servers that are registered now.
// It is plain data with look-ups; nothing in it changes once it is published.
package peridotsite
