package peridotagent

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"peridotstack/peridotanswer"
	"peridotstack/peridotbackend"
	"peridotstack/peridotquarantine"
	"peridotstack/peridotstream"
	"peridotstack/peridotverdict"
	"peridotstack/peridotwait"
	"peridotstack/peridotwire"
)

const (
	// maxEndedRequests limits the accusations that an agent keeps, which all heartbeats
	// carry. One takes about 150 bytes.
	maxEndedRequests = 32
	// endedRequestTTL is how long an agent keeps them.
	endedRequestTTL = 10 * time.Minute
	// secondProbeDelay is the time between the two probes of a backend server that broke
	// off a run. A process that ends closes its connections and its listener one by one.
	secondProbeDelay = 100 * time.Millisecond
)

// ends contains the requests under which the backend server ended. The zero value is empty.
// It is safe for concurrent use.
type ends struct {
	mu sync.Mutex
	// lastEnd is when the backend server ended last. All requests that were sent before
	// belong to that end.
	lastEnd     time.Time
	accusations []peridotquarantine.Accusation
}

// add records that the backend server ended while it ran a request that was sent at sentAt.
func (e *ends) add(now, sentAt time.Time, instance string, r peridotwire.Run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if sentAt.After(e.lastEnd) {
		e.lastEnd = now
	}
	e.accusations = append(e.accusations, peridotquarantine.Accusation{
		Part:        r.Identity(),
		End:         peridotquarantine.EndOf(instance, e.lastEnd.UnixNano()),
		At:          r.Software(),
		UnixSeconds: now.Unix(),
	})
	e.expire(now)
}

// remove forgets the ends under a request that was answered.
func (e *ends) remove(part peridotquarantine.Part) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.accusations = slices.DeleteFunc(e.accusations, func(a peridotquarantine.Accusation) bool { return a.Part == part })
}

// list returns the accusations that other processes must know of.
func (e *ends) list(now time.Time) []peridotquarantine.Accusation {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire(now)
	return slices.Clone(e.accusations)
}

// expire drops the oldest accusations. The caller must hold e.mu.
func (e *ends) expire(now time.Time) {
	e.accusations = slices.DeleteFunc(e.accusations, func(a peridotquarantine.Accusation) bool {
		return now.Unix()-a.UnixSeconds >= int64(endedRequestTTL.Seconds())
	})
	if excess := len(e.accusations) - maxEndedRequests; excess > 0 {
		e.accusations = slices.Delete(e.accusations, 0, excess)
	}
}

// recordEnd records what the end of a run that was sent at sentAt tells of the backend
// server. ctx is that of the run: one that was canceled or timed out tells nothing.
func (a *Agent) recordEnd(ctx context.Context, sentAt time.Time, r peridotwire.Run, end *peridotstream.End) {
	if end.Err == nil {
		a.ends.remove(r.Identity())
		return
	}
	isBreak := end.Err.Code == peridotverdict.EngineFailed || end.Err.Code == peridotverdict.ShortAnswer
	if !isBreak || end.Err.Verdict == peridotverdict.NotRun || ctx.Err() != nil {
		return
	}
	var malformed *peridotanswer.HeadError
	if errors.As(end.Err, &malformed) {
		log.WithError(malformed).WithField("request", r.RequestID).Warn(logPrefix + "backend server sent no valid answer")
	}
	for probe := range 2 {
		peridotwait.Sleep(ctx, time.Duration(probe)*secondProbeDelay)
		if !peridotbackend.IsListening(ctx, a.backend) {
			a.ends.add(time.Now(), sentAt, a.settings.Instance, r)
			a.metrics.Count("backend_ends")
			log.WithFields(log.Fields{"request": r.RequestID, "identity": r.Identity()}).Warn(logPrefix + "backend server ended under a request")
			return
		}
	}
}
