// Package peridotwait provides a sleep that a context can end.
package peridotwait

import (
	"context"
	"time"
)

// Sleep waits for d, or until ctx is done.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
