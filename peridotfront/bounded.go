package peridotfront

import (
	"net"
	"net/http"
	"time"

	"peridotstack/peridotreserve"
)

const (
	// boundedConnections is the maximum number of connections of a server that only the
	// platform and other fronts use.
	boundedConnections = 48
	// boundedHeadBytes limits the heads of its requests, and boundedHeadMemory the memory of all.
	boundedHeadBytes  = 8 << 10
	boundedHeadMemory = 2 << 20
	// boundedTimeout limits the reading of a request and the writing of its answer.
	boundedTimeout = 5 * time.Second
)

// ServeBounded serves requests of the platform and of other fronts, which are small and
// seldom. It bounds connections, memory and time, because anybody may connect, and closes the
// connections that have waited longest for a request. It returns when the server is closed.
func ServeBounded(listener net.Listener, server *http.Server) error {
	server.MaxHeaderBytes = boundedHeadBytes
	server.WriteTimeout = boundedTimeout
	g := newGuard(listener, boundedConnections, peridotreserve.NewPool(boundedHeadMemory, smallHeadCost), func() headLimits {
		return headLimits{bytes: boundedHeadBytes, timeout: boundedTimeout, idle: callerIdleTimeout}
	})
	g.readTimeout = boundedTimeout
	return g.serve(server)
}
