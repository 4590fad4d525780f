package peridotstandin

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/pkg/errors"
)

const (
	// The ports below are not handed out to outgoing connections, which would
	// take them away between the choice of a port and its use.
	firstPort = 10_000
	portCount = 20_000
	// processStride keeps the choices of different processes apart.
	processStride = 97
)

// ports counts the ports tried by this process.
var ports atomic.Int64

// FreeAddress returns a loopback address whose port nobody listens on.
func FreeAddress() (string, error) {
	for range portCount {
		n := ports.Add(1) + int64(os.Getpid())*processStride
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+n%portCount)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		return address, listener.Close()
	}
	return "", errors.New("no free port")
}
