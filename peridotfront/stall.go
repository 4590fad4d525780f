package peridotfront

import (
	"context"
	"sync"
	"time"
)

// stallWatch cancels a try whose server sends nothing for too long. Its methods are
// called by the handler of the request; only expire runs in another goroutine.
type stallWatch struct {
	exchange *exchange
	// place names the kind of the try in the metrics.
	place  string
	cancel context.CancelFunc
	timer  *time.Timer

	// mu guards the fields below.
	mu sync.Mutex
	// limit is the longest allowed silence; 0 means that the watch is not running.
	limit time.Duration
	// since is the value of Front.now when the silence began.
	since time.Duration
	// silentFor is the length of the silence for which the try was canceled; 0 if it
	// was not canceled.
	silentFor time.Duration
}

// watchStall returns the context of one try and a watch that cancels it. The watch
// does not run until start is called. The caller must call stop at the end of the try.
func (x *exchange) watchStall(place string) (context.Context, *stallWatch) {
	ctx, cancel := context.WithCancel(x.ctx)
	return ctx, &stallWatch{exchange: x, place: place, cancel: cancel}
}

// start starts the watch, or restarts it after the server has sent something.
func (w *stallWatch) start(limit time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limit, w.since = limit, w.exchange.front.now()
	if w.timer == nil {
		w.timer = time.AfterFunc(limit, w.expire)
		return
	}
	w.timer.Reset(limit)
}

// stop ends the try and tells its exchange for how long the server was silent if the
// watch canceled the try.
func (w *stallWatch) stop() {
	w.cancel()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limit = 0
	if w.timer != nil {
		w.timer.Stop()
	}
	w.exchange.silentFor = w.silentFor
}

// expire cancels the try unless the server has sent something meanwhile.
func (w *stallWatch) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	f := w.exchange.front
	silentFor := f.now() - w.since
	if w.limit == 0 {
		return
	}
	if silentFor < w.limit {
		w.timer.Reset(w.limit - silentFor)
		return
	}
	w.silentFor = silentFor
	f.metrics.CountAt("tries_given_up", w.place)
	w.cancel()
}
