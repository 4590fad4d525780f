// Package peridotagent implements the process beside a backend server. All requests
// and orders to the backend server pass through its agent. The agent runs requests
// for entry instances, keeps each answer for readers that lost their connection,
// and applies the orders of the process that holds the lease.
package peridotagent
