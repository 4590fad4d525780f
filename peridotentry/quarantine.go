package peridotentry

import (
	"sync"
	"time"

	"github.com/apex/log"

	"peridotstack/peridotquarantine"
	"peridotstack/peridotverdict"
	"peridotstack/peridotwire"
)

// quarantine keeps requests from backend servers that ended under them. Agents tell all
// entry instances in their heartbeats of the ends that they have seen. Its methods are safe
// for concurrent use.
type quarantine struct {
	mu    sync.Mutex
	table *peridotquarantine.Table
	// trials are those of this instance alone.
	trials peridotquarantine.Trials
}

func newQuarantine() *quarantine {
	return &quarantine{table: peridotquarantine.NewTable()}
}

// observe adds the accusations in the heartbeat of an agent.
func (q *quarantine) observe(list []peridotquarantine.Accusation) {
	if len(list) == 0 {
		return
	}
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.Expire(now)
	for _, a := range list {
		if q.table.Accuse(now, a) && q.table.IsQuarantined(now, a.Part, a.At) {
			log.WithField("identity", a.Part).Warn(logPrefix + "request quarantined")
		}
	}
}

// recordAnswered records that a request was answered, so that it ends no servers.
func (q *quarantine) recordAnswered(r peridotwire.Run) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.RecordAnswered([]peridotquarantine.Part{r.Identity()}, r.Software(), time.Now())
}

// check returns an error if a request must not be sent to an agent. A request that always
// ran beside another one under which servers ended is sent: its answer tells which it was.
func (q *quarantine) check(r peridotwire.Run) *peridotverdict.Error {
	now, part := time.Now(), r.Identity()
	q.mu.Lock()
	defer q.mu.Unlock()
	judgment, _ := q.table.Judge(now, []peridotquarantine.Part{part}, r.Software())
	switch judgment {
	case peridotquarantine.Allowed, peridotquarantine.OnTrial:
		return nil
	case peridotquarantine.OnLoneTrial:
		if q.trials.Claim(now, judgment, 0, 1) {
			return nil
		}
	}
	return peridotverdict.New(peridotverdict.RequestQuarantined, peridotverdict.NotRun, "backend servers ended when they ran this request", peridotverdict.RetryAfter(q.table.Until(now, judgment, part, r.Software()).Sub(now)))
}
