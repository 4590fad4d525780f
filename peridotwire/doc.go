// Package peridotwire defines the messages that the processes of the system exchange
// over JSON-RPC 2.0 on long-lived TCP connections. It also dials and serves these
// connections, with mutual TLS, and closes those that have become silent.
package peridotwire
