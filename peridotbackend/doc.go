// Package peridotbackend implements the adapters to backend servers: model engines
// and plain services. All code that depends on their wire formats is in this package;
// another format needs one more file here.
package peridotbackend
