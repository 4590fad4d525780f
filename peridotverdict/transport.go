package peridotverdict

import (
	"net"

	"github.com/pkg/errors"
)

// OfTransport returns the verdict of a call that an HTTP client failed to make:
// NotRun if the other side could not even be dialed.
func OfTransport(err error) Verdict {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return NotRun
	}
	return MayHaveRun
}
