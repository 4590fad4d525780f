package peridotverdict

import (
	"net"

	"github.com/pkg/errors"
)

// OfTransportError returns the verdict of an error of an HTTP client: NotRun if the
// server could not be dialed, and MayHaveRun otherwise.
func OfTransportError(err error) Verdict {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return NotRun
	}
	return MayHaveRun
}
