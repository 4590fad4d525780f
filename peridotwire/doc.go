// Package peridotwire defines what the system's own processes say to each other
// over JSON-RPC 2.0 on long-lived TCP connections, and the connections
// themselves: dialing, serving, and heartbeats that unmask a silent connection.
package peridotwire
