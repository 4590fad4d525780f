// Package peridotquarantine decides which requests must not be sent to backend servers,
// because servers ended when they ran the same request, or when they began to generate an
// answer on a part of its prompt.
//
// A Suspicion is a run that broke off. Once the server is known to have ended, the
// suspicion becomes one Accusation for the whole request and one for each part of its
// prompt; a Part is either. Instances exchange accusations; each adds them up in a Table,
// which quarantines a part after a few ends of different servers. A whole answer on a part
// refutes the earlier ends at that software version. It says nothing about later ones: the
// same version may serve other weights, or get a prompt of another length.
//
// The package has no goroutine, socket or clock: its callers pass the time, and send and
// store what it returns. Its types are not safe for concurrent use.
package peridotquarantine
