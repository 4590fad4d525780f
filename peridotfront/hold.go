package peridotfront

import (
	"time"

	"github.com/apex/log"

	"peridotstack/peridotsite"
)

// recordHold records that a backend server turned the request away and wants no other
// one for some time. An answer of another backend server at its address says nothing
// about it.
func (x *exchange) recordHold(from peridotsite.Backend, head AnswerHead) {
	if head.RetryAfter <= 0 || head.Misdirected {
		return
	}
	f := x.front
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.placer.Hold(f.now(), from.ID, from.Born, head.RetryAfter) {
		return
	}
	f.metrics.Count("backend_holds")
	log.WithFields(log.Fields{"request": x.call.ID, "backend": from.ID, "born": from.Born, "retry_after_ms": head.RetryAfter, "source": "answer"}).Info(logPrefix + "backend server wants no requests")
}

// untilAccepted returns when to try again a request that no server takes: at the end of
// the first hold if all are held, but not before noBackendRetryAfter.
func (x *exchange) untilAccepted() time.Duration {
	f := x.front
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(noBackendRetryAfter, f.placer.HeldFor(f.now(), x.service.Name, x.software))
}
