package peridotstandin

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/pkg/errors"
)

const (
	// The portCount ports from firstPort on lie below the range from which the
	// system picks the ports of outgoing connections. Such a connection could
	// otherwise take a port between its choice and its use.
	firstPort = 10_000
	portCount = 20_000
	// processStride separates the ports that processes with neighboring IDs try
	// first.
	processStride = 97
)

// portsTried counts the ports that this process has tried.
var portsTried atomic.Int64

// FreeAddress returns a loopback address whose port is free. It doesn't reserve
// the port. It returns an error if no port is free.
func FreeAddress() (string, error) {
	for range portCount {
		n := portsTried.Add(1) + int64(os.Getpid())*processStride
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+n%portCount)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		return address, listener.Close()
	}
	return "", errors.New("no free port")
}
