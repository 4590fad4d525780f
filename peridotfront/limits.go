package peridotfront

import (
	"github.com/apex/log"

	"peridotstack/peridotsite"
)

// recordLimit logs whether a backend server has begun or ceased to name a limit in its
// answers, or has named another one.
func (x *exchange) recordLimit(from peridotsite.Backend, head AnswerHead) {
	if head.Misdirected {
		return
	}
	f := x.front
	line := log.WithFields(log.Fields{"request": x.call.ID, "backend": from.ID, "born": from.Born, "source": "answer"})
	if head.UnreadableLimit != "" {
		f.metrics.Count("unreadable_limits")
		line.WithField("value", head.UnreadableLimit).Warn(logPrefix + "ignoring a limit that cannot be decoded")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	limit, known := f.namedLimits[from.ID]
	switch {
	case head.Limited && (!known || limit != head.Limit):
		f.namedLimits[from.ID] = head.Limit
		line.WithField("limit", head.Limit).Info(logPrefix + "backend server names a limit")
	case known && !head.Limited && head.UnreadableLimit == "" && !head.NotRun:
		delete(f.namedLimits, from.ID)
		line.Info(logPrefix + "backend server names no limit any more")
	}
	f.metrics.SetGauge("backends_limited", float64(len(f.namedLimits)))
}
