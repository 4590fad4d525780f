package peridottree

import (
	"context"
	"testing"
)

// TestRestartAfterPanic checks that a component that panics is restarted while
// another component keeps running.
func TestRestartAfterPanic(t *testing.T) {
	tree := New("test")
	starts := make(chan int, 2)
	otherStopped := make(chan struct{})
	n := 0
	tree.Add(Component{"failing", func(ctx context.Context) error {
		n++
		starts <- n
		if n == 1 {
			panic("first start")
		}
		<-ctx.Done()
		return ctx.Err()
	}})
	tree.Add(Component{"other", func(ctx context.Context) error {
		<-ctx.Done()
		close(otherStopped)
		return ctx.Err()
	}})
	ctx, stop := context.WithCancel(context.Background())
	done := tree.ServeBackground(ctx)
	for want := 1; want <= 2; want++ {
		if got := <-starts; got != want {
			t.Errorf("start: got %d, want %d", got, want)
		}
	}
	stop()
	<-otherStopped
	<-done
}
