// Package peridotagent is the process beside a backend server. It is the only
// way to that server: it runs requests for entry instances, keeps each answer
// for readers that lost their connection, and passes on orders from whoever
// holds authority.
package peridotagent
