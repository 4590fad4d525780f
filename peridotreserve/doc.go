// Package peridotreserve bounds the memory and the descriptors that clients can make a process
// use. Memory is reserved before it is allocated. The package uses no sockets and no clocks.
package peridotreserve
