package peridottree

import (
	"context"
	"testing"
	"time"
)

// TestFinishedComponentIsNotRestarted guards against a component whose work is done
// being restarted over and over, which suspends the restart of failed components.
func TestFinishedComponentIsNotRestarted(t *testing.T) {
	tree := New("test")
	starts := make(chan bool, 100)
	tree.Add(Component{"finished", func(context.Context) error {
		starts <- true
		return ErrFinished
	}})
	failures := make(chan bool, 100)
	tree.Add(Component{"failing", func(ctx context.Context) error {
		failures <- true
		if len(failures) == 1 {
			panic("first start")
		}
		<-ctx.Done()
		return ctx.Err()
	}})
	ctx, stop := context.WithCancel(context.Background())
	done := tree.ServeBackground(ctx)
	time.Sleep(200 * time.Millisecond)
	stop()
	<-done
	if got, want := len(starts), 1; got != want {
		t.Errorf("starts of the finished component: got %d, want %d", got, want)
	}
	if got, want := len(failures), 2; got != want {
		t.Errorf("starts of the failing component: got %d, want %d", got, want)
	}
}
