// Package peridotoperator provides the HTTP interface for operators and a client
// of it. Operators use it to plan and confirm changes, to manage keys and to read
// the configuration and its history.
package peridotoperator
