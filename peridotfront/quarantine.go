package peridotfront

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"peridotstack/peridotlink"
	"peridotstack/peridotquarantine"
	"peridotstack/peridotsite"
	"peridotstack/peridotverdict"
	"peridotstack/peridotwait"
)

const (
	// secondProbeDelay is the time between the two probes of a server that broke off a
	// run. A process that ends closes its connections and its listener one by one.
	secondProbeDelay = 100 * time.Millisecond
	// quarantineLoadTime is how long after its start a front refuses requests if it knows
	// neither the stored accusations nor those of another front.
	quarantineLoadTime = 2 * time.Second
	// quarantineLoadRetryAfter is the Retry-After until then.
	quarantineLoadRetryAfter = 100 * time.Millisecond
	// answeredSettleTime is how long accusations of a part that was answered before don't
	// count. Most parts that ran at a server when it ended are answered again elsewhere
	// within that time. Without it a frequent request was refused if several servers ended
	// at one moment.
	answeredSettleTime = 500 * time.Millisecond
	// maxUnsettled limits the accusations that wait for that.
	maxUnsettled = 4096
	// crashRemovalTime is how long after the removal of its registration a run at a server
	// may break off for the server to count as crashed. One that leaves without saying so
	// serves on for longer.
	crashRemovalTime = time.Second
	// trialRetryAfter is the Retry-After of a request that waits for the trial of another one
	// whose part has a rival.
	trialRetryAfter = 300 * time.Millisecond
)

// quarantine keeps requests from backend servers if servers ended under them, or under a
// part of their prompts. It shares what it learns with the other fronts and the table
// service. Its methods are safe for concurrent use. Front.mu may be locked when they are
// called, but they must not lock it.
type quarantine struct {
	front *Front
	// probe finds out whether a process listens at an address.
	probe func(ctx context.Context, address string) peridotlink.Presence
	// changed gets a value when the table service lacks a change.
	changed chan struct{}

	mu      sync.Mutex
	table   *peridotquarantine.Table
	pending peridotquarantine.Pending
	news    quarantineNews
	rows    quarantineRows
	// unsettled contains the accusations that wait for answeredSettleTime, oldest first. They
	// don't count yet.
	unsettled []unsettledAccusation
	// loaded is set once the stored accusations, or those of another front, are known.
	loaded bool
	// trials are those of this front.
	trials peridotquarantine.Trials
}

// unsettledAccusation is an accusation that counts from a time of Front.now on, unless the
// part is answered until then.
type unsettledAccusation struct {
	peridotquarantine.Accusation
	settlesAt time.Duration
}

func newQuarantine(f *Front) *quarantine {
	return &quarantine{front: f, probe: f.pool.Probe, changed: make(chan struct{}, 1), table: peridotquarantine.NewTable()}
}

// softwareOf returns the software that a backend server runs.
func softwareOf(b peridotsite.Backend) peridotquarantine.Software {
	return peridotquarantine.Software{Service: b.Service, Version: b.SoftwareVersion}
}

// isLoaded reports whether the accusations are known that other fronts have stored, or
// can't be had in time.
func (q *quarantine) isLoaded() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.loaded || q.front.now() > quarantineLoadTime
}

// recordAnswered records that a whole answer on the parts has come.
func (q *quarantine) recordAnswered(parts []peridotquarantine.Part, at peridotquarantine.Software) {
	if len(parts) == 0 {
		return
	}
	now := q.front.trueTime()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.refute(q.table.RecordAnswered(parts, at, now))
}

// refute announces that parts were answered since servers ended, and deletes the rows of their refuted
// accusations. The caller must hold q.mu.
func (q *quarantine) refute(refuted []peridotquarantine.Accusation) {
	for _, a := range refuted {
		q.rows.delete(a)
		q.news.removeAccusation(a)
		q.addAnswered(a.Part, a.At)
		q.front.metrics.Count(kindOf(a.Part) + "_accusations_refuted")
		log.WithFields(log.Fields{"part": a.Part, "service": a.At.Service, "software": a.At.Version}).Info(logPrefix + nameOf(a.Part) + " answered since the server ended")
	}
	if len(refuted) > 0 {
		notify(q.changed)
	}
}

// addAnswered tells the other fronts when a part was last answered, if that is known. The
// caller must hold q.mu.
func (q *quarantine) addAnswered(part peridotquarantine.Part, at peridotquarantine.Software) {
	if answeredAt, ok := q.table.AnsweredAt(part, at); ok {
		q.news.addAnswered(peridotquarantine.NewAnswer(part, at, answeredAt))
	}
}

// learnAnswer records a whole answer that another front has seen. now is in true time. The
// caller must hold q.mu.
func (q *quarantine) learnAnswer(now time.Time, a peridotquarantine.Answer) {
	answeredAt := a.Time()
	if answeredAt.After(now) {
		answeredAt = now // A clock that is ahead must not refute ends to come.
	}
	q.table.RecordAnswered([]peridotquarantine.Part{a.Part}, a.At, answeredAt)
}

// kindOf returns the prefix of the metrics of a part.
func kindOf(part peridotquarantine.Part) string {
	if part.IsRequest() {
		return "request"
	}
	return "prompt"
}

// nameOf returns what log lines call a part.
func nameOf(part peridotquarantine.Part) string {
	if part.IsRequest() {
		return "request"
	}
	return "prompt part"
}

// recordBreak records that a server broke off a run, and begins to find out whether the
// server has ended.
func (q *quarantine) recordBreak(s peridotquarantine.Suspicion) {
	s.BrokeAt = q.front.trueTime()
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.pending.Add(q.front.now(), s) {
		go q.investigate(s)
	}
}

// investigate probes a server that broke off a run. If nothing answers there, the next
// lists of registrations decide.
func (q *quarantine) investigate(s peridotquarantine.Suspicion) {
	line := log.WithFields(log.Fields{"backend": s.ID, "born": s.Born, "software": s.At.Version})
	for probe := range 2 {
		peridotwait.Sleep(context.Background(), time.Duration(probe)*secondProbeDelay)
		switch q.probe(context.Background(), s.Address) {
		case peridotlink.NotListening:
			line.Warn(logPrefix + "backend server ended under a request")
			q.confirm(s.End())
			return
		case peridotlink.PresenceUnknown:
			line.Info(logPrefix + "backend server broke off a run and cannot be reached")
			return
		}
	}
	line.Info(logPrefix + "a process still listens at the address of a backend server that broke off a run")
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pending.SetListening(s.End())
}

// recordBackends confirms the suspicions of servers that are not registered any more, or
// whose address a later incarnation has.
func (q *quarantine) recordBackends(byID map[string]peridotsite.Backend) {
	q.mu.Lock()
	q.settle()
	q.pending.Expire(q.front.now())
	ended := q.pending.Ended(func(s peridotquarantine.Suspicion) peridotquarantine.Registration {
		return registrationOf(byID, s)
	})
	q.mu.Unlock()
	for _, end := range ended {
		q.confirm(end)
	}
}

// registrationOf returns the registration of the incarnation of a suspicion.
func registrationOf(byID map[string]peridotsite.Backend, s peridotquarantine.Suspicion) (r peridotquarantine.Registration) {
	b, ok := byID[s.ID]
	r.Registered = ok && b.Born == s.Born
	r.Leaving = r.Registered && b.Leaving
	r.Replaced = ok && !r.Registered
	for _, other := range byID {
		r.Replaced = r.Replaced || other.ID != s.ID && other.Address == s.Address
	}
	return r
}

// confirm turns the suspicions of a server that has ended into accusations.
func (q *quarantine) confirm(end peridotquarantine.End) {
	now := q.front.trueTime()
	q.mu.Lock()
	defer q.mu.Unlock()
	suspicions := q.pending.Take(end)
	if len(suspicions) > 0 {
		q.front.metrics.Count("backend_ends")
	}
	for _, s := range suspicions {
		for _, a := range s.Accusations() {
			if _, ok := q.table.AnsweredAt(a.Part, a.At); ok && len(q.unsettled) < maxUnsettled {
				q.unsettled = append(q.unsettled, unsettledAccusation{a, q.front.now() + answeredSettleTime})
				continue
			}
			if q.accuse(now, a) {
				q.tell(a)
			}
		}
	}
}

// tell passes an accusation on to the other fronts and the table service. The caller must
// hold q.mu.
func (q *quarantine) tell(a peridotquarantine.Accusation) {
	q.store(a.Part)
	q.news.addAccusation(a, len(q.table.Of(a.Part)) > 1)
}

// settle adds the accusations that no answer has refuted in time, and passes them on. The
// caller must hold q.mu.
func (q *quarantine) settle() {
	now, trueTime := q.front.now(), q.front.trueTime()
	for len(q.unsettled) > 0 && q.unsettled[0].settlesAt <= now {
		if a := q.unsettled[0].Accusation; q.accuse(trueTime, a) {
			q.addAnswered(a.Part, a.At) // Decides how many ends the others need.
			q.tell(a)
		}
		q.unsettled = q.unsettled[1:]
	}
}

// store puts the accusations of a part that must last into the table service. The caller
// must hold q.mu.
func (q *quarantine) store(part peridotquarantine.Part) {
	if !q.table.MustLast(part) {
		return
	}
	for _, a := range q.table.Of(part) {
		q.rows.putAccusation(a)
	}
	for _, a := range q.table.LastingAnswers(part) {
		q.rows.putAnswer(a)
	}
	notify(q.changed)
}

// accuse adds an accusation and reports whether that is new. The caller must hold q.mu.
func (q *quarantine) accuse(now time.Time, a peridotquarantine.Accusation) bool {
	before := q.table.IsQuarantined(now, a.Part, a.At)
	fields := log.Fields{"part": a.Part, "service": a.At.Service, "software": a.At.Version, "begun": a.Begun, "had_events": a.HadEvents}
	if !q.table.Accuse(now, a) {
		if q.table.IsRefuted(a) {
			q.front.metrics.Count(kindOf(a.Part) + "_accusations_ignored")
			log.WithFields(fields).Debug(logPrefix + nameOf(a.Part) + " not accused: it was answered since")
		}
		return false
	}
	if !before && q.table.IsQuarantined(now, a.Part, a.At) {
		log.WithFields(fields).Warn(logPrefix + nameOf(a.Part) + " quarantined")
	} else {
		log.WithFields(fields).Info(logPrefix + nameOf(a.Part) + " accused")
	}
	return true
}

// isAnyAccused reports whether servers have ended under any of the parts.
func (q *quarantine) isAnyAccused(parts []peridotquarantine.Part) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.settle()
	return slices.ContainsFunc(parts, q.table.IsAccused)
}

// judge returns what becomes of a request at servers of the given software, and the error
// with which to refuse it unless that is Allowed.
func (q *quarantine) judge(parts []peridotquarantine.Part, at peridotquarantine.Software) (peridotquarantine.Judgment, *peridotverdict.Error) {
	if !q.isAnyAccused(parts) {
		return peridotquarantine.Allowed, nil
	}
	now := q.front.trueTime()
	q.mu.Lock()
	defer q.mu.Unlock()
	judgment, part := q.table.Judge(now, parts, at)
	switch judgment {
	case peridotquarantine.Allowed:
		return judgment, nil
	case peridotquarantine.OnTrial:
		return judgment, quarantineError(part, trialRetryAfter)
	}
	return judgment, quarantineError(part, q.table.Until(now, judgment, part, at).Sub(now))
}

// quarantineError returns the error of a request that is refused because servers ended
// under a part.
func quarantineError(part peridotquarantine.Part, retryAfter time.Duration) *peridotverdict.Error {
	code, message := peridotverdict.PromptQuarantined, "backend servers ended under part "+part.String()+" of the prompt"
	if part.IsRequest() {
		code, message = peridotverdict.RequestQuarantined, "backend servers ended when they ran this request"
	}
	return peridotverdict.New(code, peridotverdict.NotRun, message, peridotverdict.RetryAfter(retryAfter))
}

// claimTrial reports whether this front may send one request of the given kind on trial now.
func (q *quarantine) claimTrial(kind peridotquarantine.Judgment) bool {
	index, count := q.front.peers.position()
	now := q.front.trueTime()
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.trials.Claim(now, kind, index, count) {
		return false
	}
	if kind == peridotquarantine.OnLoneTrial {
		q.front.metrics.Count("quarantine_lone_trials")
	} else {
		q.front.metrics.Count("quarantine_trials")
	}
	return true
}

// some returns up to limit accusations, and as many of the answers that must last like them.
func (q *quarantine) some(limit int) (accusations []peridotquarantine.Accusation, answers []peridotquarantine.Answer) {
	q.mu.Lock()
	defer q.mu.Unlock()
	accusations = q.table.Some(limit)
	for _, part := range accusedParts(accusations) {
		answers = append(answers, q.table.LastingAnswers(part)...)
	}
	return accusations, answers[:min(len(answers), limit)]
}

// accusedParts returns the parts of accusations, each once.
func accusedParts(accusations []peridotquarantine.Accusation) []peridotquarantine.Part {
	var parts []peridotquarantine.Part
	seen := make(map[peridotquarantine.Part]bool)
	for _, a := range accusations {
		if !seen[a.Part] {
			seen[a.Part] = true
			parts = append(parts, a.Part)
		}
	}
	return parts
}

// count returns the number of accusations.
func (q *quarantine) count() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Len()
}

// load adds the accusations and the answers that another front knows.
func (q *quarantine) load(list []peridotquarantine.Accusation, answers []peridotquarantine.Answer) {
	now := q.front.trueTime()
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, a := range answers {
		q.learnAnswer(now, a)
	}
	for _, a := range list {
		q.accuse(now, a)
	}
	q.loaded = true
}

// updateMetrics removes expired accusations and updates the gauges.
func (q *quarantine) updateMetrics() {
	now := q.front.trueTime()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.Expire(now)
	requests, parts := q.table.Counts(now)
	q.front.metrics.SetGauge("requests_accused", float64(requests.Accused))
	q.front.metrics.SetGauge("requests_quarantined", float64(requests.Quarantined))
	q.front.metrics.SetGauge("prompt_parts_accused", float64(parts.Accused))
	q.front.metrics.SetGauge("prompt_parts_quarantined", float64(parts.Quarantined))
}

// recordBreak records that a server broke off a run, under one of the given parts if it
// has ended. ctx is that of the try: a run that this instance canceled says nothing about
// the server, and neither does the end of one that leaves.
func (x *exchange) recordBreak(ctx context.Context, at peridotsite.Backend, err *peridotverdict.Error, parts []peridotquarantine.Part) {
	isBreak := err.Code == peridotverdict.PeerLost || err.Code == peridotverdict.ShortAnswer
	if !isBreak || ctx.Err() != nil || x.front.isLeaving(at) {
		return
	}
	// Answers of other servers come whole: a head says nothing about the runs beside it.
	begun := x.headReceived && x.service.Engine != nil
	x.front.quarantine.recordBreak(peridotquarantine.Suspicion{ID: at.ID, Born: at.Born, Address: at.Address, At: softwareOf(at), Parts: parts, Begun: begun, HadEvents: begun && x.runEvents > 0})
}

// isLeaving reports whether an incarnation that was chosen for a run leaves by now, or has
// left without saying so: the registration of one that crashes stays for some heartbeats.
func (f *Front) isLeaving(chosen peridotsite.Backend) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if b, ok := f.backends.byID[chosen.ID]; ok {
		return b.Leaving && b.Born == chosen.Born
	}
	r, ok := f.backends.removed[chosen.ID]
	return chosen.Leaving || ok && r.born == chosen.Born && (r.wasLeaving || f.now()-r.at > crashRemovalTime)
}

// recordPrefillBreak records that an engine broke off a prefill. An engine that writes on
// none of the parts can only have ended under the whole request.
func (x *exchange) recordPrefillBreak(ctx context.Context, at peridotsite.Backend, err *peridotverdict.Error) {
	x.recordBreak(ctx, at, err, x.suspects[:1])
}

// checkQuarantine finds the servers to which the request must not be sent. It returns an
// error if that are all servers of the service. A request on trial gets the right to one
// try.
func (x *exchange) checkQuarantine() *peridotverdict.Error {
	f := x.front
	x.quarantinedBackends, x.trial = nil, peridotquarantine.Allowed
	if !f.quarantine.isAnyAccused(x.suspects) {
		return nil
	}
	list := f.backendsOf(x.service.Name)
	judgments := make([]peridotquarantine.Judgment, len(list))
	var refusal *peridotverdict.Error
	least := peridotquarantine.Allowed
	for i, b := range list {
		judgment, err := f.quarantine.judge(x.suspects, softwareOf(b))
		if judgments[i] = judgment; i == 0 || judgment < least {
			refusal, least = err, judgment
		}
	}
	if (least == peridotquarantine.OnTrial || least == peridotquarantine.OnLoneTrial) && f.quarantine.claimTrial(least) {
		x.trial, refusal = least, nil
	}
	for i, b := range list {
		if judgments[i] > x.trial {
			x.quarantinedBackends = append(x.quarantinedBackends, b.ID)
		}
	}
	return refusal
}

// refuseQuarantined returns an error if the request must not be sent to a backend server.
func (x *exchange) refuseQuarantined(to peridotsite.Backend) *peridotverdict.Error {
	judgment, err := x.front.quarantine.judge(x.suspects, softwareOf(to))
	if judgment <= x.trial {
		return nil
	}
	return err
}

// excludedBackends returns the backend servers that must not be chosen: those that were
// tried, and those to which the request must not be sent.
func (x *exchange) excludedBackends() []string {
	if len(x.quarantinedBackends) == 0 {
		return x.triedBackends
	}
	return slices.Concat(x.quarantinedBackends, x.triedBackends)
}

// backendsOf returns the known backend servers of a service.
func (f *Front) backendsOf(service string) []peridotsite.Backend {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []peridotsite.Backend
	for _, b := range f.backends.byID {
		if b.Service == service {
			list = append(list, b)
		}
	}
	return list
}
