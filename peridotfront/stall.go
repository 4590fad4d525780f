package peridotfront

import (
	"context"
	"slices"
	"sync"
	"time"

	"peridotstack/peridotplace"
	"peridotstack/peridotsite"
)

// stallCheckInterval is the time between two checks whether another server can replace
// a silent one.
const stallCheckInterval = 50 * time.Millisecond

// maxTimerDelay is the delay of a timer above which this process has not run for a
// while, and may not have read yet what the server has sent.
const maxTimerDelay = 20 * time.Millisecond

// maxPostponement bounds the time for which late timers postpone the end of a silence, so
// that dark servers are replaced also by a front that is always late.
const maxPostponement = time.Second

// Kinds of tries that a stallWatch cancels, in the metrics.
const (
	stallStream  = "stream"
	stallPlain   = "plain"
	stallPrefill = "prefill"
)

// stallWatch cancels a try whose server sends nothing for too long, but only once
// another server can replace it: the silent server may still go on. Its methods are
// called by the handler of the request; only expire runs in another goroutine.
type stallWatch struct {
	exchange *exchange
	// place names the kind of the try in the metrics.
	place  string
	cancel context.CancelFunc
	timer  *time.Timer

	// mu guards the fields below. Front.mu may be locked while mu is held, but not the
	// other way round.
	mu sync.Mutex
	// limit is the longest allowed silence; 0 means that the watch is not running, even
	// if the timer is.
	limit time.Duration
	// pausedLimit is the limit before the last pause.
	pausedLimit time.Duration
	// since is the value of Front.now when the silence began.
	since time.Duration
	// expiresAt is the value of Front.now at which the timer is to call expire.
	expiresAt time.Duration
	// alternative describes the servers that can replace the silent one.
	alternative peridotplace.Alternative
	// repeats is the largest number of requests that the replacement adds, and reserved the
	// number of those that have been counted against the retry budget.
	repeats, reserved int
	// replaceable is set if another run could continue the answer.
	replaceable bool
	// kept is set once the try has been kept for want of a replacement in this silence.
	kept bool
	// silentFor is the length of the silence for which the try was canceled; 0 if it
	// was not canceled.
	silentFor time.Duration
}

// watchStall returns the context of one try at a server and a watch that cancels it.
// The watch does not run until start is called. The caller must call stop at the end of
// the try.
func (x *exchange) watchStall(place string, to peridotsite.Backend) (context.Context, *stallWatch) {
	ctx, cancel := context.WithCancel(x.ctx)
	return ctx, &stallWatch{
		exchange: x, place: place, cancel: cancel,
		alternative: peridotplace.Alternative{
			Service:         x.service.Name,
			Generates:       x.service.Engine != nil,
			Exclude:         append(slices.Clone(x.excludedBackends()), to.ID),
			ExcludeVersions: x.excludedVersions(),
		},
	}
}

// start starts the watch, or restarts it after the server has made progress. The
// caller must have checked that the request may run once more after this try.
func (w *stallWatch) start(limit time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limit, w.since = limit, w.exchange.front.now()
	w.kept = false
	w.replaceable = w.exchange.resumable()
	w.repeats = 1
	if w.exchange.prefillAccepted || w.place == stallPrefill {
		w.repeats = 2 // A canceled prefill may have been accepted.
	}
	w.alternative.SoftwareVersion = w.exchange.software
	w.setTimer(w.since, limit)
}

// setTimer makes the timer call expire after d. The caller must hold w.mu.
func (w *stallWatch) setTimer(now, d time.Duration) {
	w.expiresAt = now + d
	if w.timer == nil {
		w.timer = time.AfterFunc(d, w.expire)
		return
	}
	w.timer.Reset(d)
}

// pause suspends the watch while nothing is read from the server.
func (w *stallWatch) pause() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pausedLimit, w.limit = w.limit, 0
}

// resume ends a pause. The silence goes on: what the server has sent is no progress.
func (w *stallWatch) resume() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.limit = w.pausedLimit; w.limit == 0 {
		return
	}
	now := w.exchange.front.now()
	w.setTimer(now, max(0, w.since+w.limit-now))
}

// stop ends the try. If the watch canceled it, stop passes the length of the silence
// and the reserved retry to the exchange.
func (w *stallWatch) stop() {
	w.cancel()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limit = 0
	if w.timer != nil {
		w.timer.Stop()
	}
	w.exchange.silentFor = w.silentFor
	w.exchange.reservedRepeats = 0
	if w.silentFor > 0 {
		w.exchange.reservedRepeats = w.reserved
	}
}

// expire cancels the try if its server is still silent and another one can replace it.
// Otherwise it checks again later.
func (w *stallWatch) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	f := w.exchange.front
	now := f.now()
	silentFor := now - w.since
	switch {
	case w.limit == 0:
	case silentFor < w.limit:
		w.setTimer(now, w.limit-silentFor)
	case now-w.expiresAt > maxTimerDelay && silentFor < w.limit+maxPostponement:
		w.setTimer(now, stallCheckInterval)
	case w.reserveReplacement():
		w.silentFor = silentFor
		f.metrics.CountAt("tries_given_up", w.place)
		w.limit = 0
		w.cancel()
	default:
		if !w.kept {
			w.kept = true
			f.metrics.CountAt("tries_kept", w.place)
		}
		w.setTimer(now, stallCheckInterval)
	}
}

// reserveReplacement reports whether the request can go on at another server now, and
// counts the retry against the retry budget if so. The caller must hold w.mu.
func (w *stallWatch) reserveReplacement() bool {
	x := w.exchange
	if !w.replaceable || x.ended() || x.remainingWait() < minRetryTime {
		return false
	}
	f := x.front
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.placer.HasAlternative(f.now(), w.alternative) {
		return false
	}
	for w.reserved = w.repeats; w.reserved > 0; w.reserved-- { // One is enough for a single engine.
		if f.retryBudget.AllowRepeats(f.now(), x.service.Name, w.reserved) {
			return true
		}
	}
	return false
}
