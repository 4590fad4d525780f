package peridotconfig

import (
	"maps"
	"slices"
	"time"
)

// Witness is one process that acknowledges commits. A panel has at most one
// witness per failure domain.
type Witness struct {
	Domain string
	// Instance and Incarnation identify the process between two restarts. A
	// restart loses what the process acknowledged and changes its Incarnation.
	Instance    string
	Incarnation string
	// Address is the network address at which other processes reach the witness.
	Address string
}

// Panel is a set of witnesses. Any two majorities of a panel have a process in
// common.
type Panel struct {
	// Number increases by one with each appointed panel; the first panel is 1.
	Number    int64
	Witnesses []Witness
}

// Majority returns the smallest number of witnesses that is more than half. It
// returns 1 for an empty panel, which therefore has no majority.
func (p Panel) Majority() int {
	return len(p.Witnesses)/2 + 1
}

// Panel returns the current panel, the last one appointed. It is empty if none was
// ever appointed.
func (c *Config) Panel() Panel {
	if len(c.Panels) == 0 {
		return Panel{}
	}
	return c.Panels[len(c.Panels)-1]
}

func (c *Config) appointPanel(p Panel) error {
	if p.Number != c.Panel().Number+1 {
		return badField("Panel", "the panel must follow the one in office")
	}
	if len(p.Witnesses) == 0 {
		return badField("Panel", "a panel without witnesses could acknowledge nothing")
	}
	for i, w := range p.Witnesses {
		if slices.ContainsFunc(p.Witnesses[:i], func(o Witness) bool { return o.Domain == w.Domain }) {
			return badField("Panel", "two witnesses in failure domain "+w.Domain)
		}
	}
	c.Panels = append(slices.Clone(c.Panels), p)
	return nil
}

func (c *Config) relievePanels(through int64) error {
	if through >= c.Panel().Number {
		return badField("Through", "the panel in office stays")
	}
	c.Panels = slices.DeleteFunc(slices.Clone(c.Panels), func(p Panel) bool { return p.Number <= through })
	return nil
}

// Report is an answer of a witness to a question of this process.
type Report struct {
	Witness Witness
	// Seq is the number of the last commit that the witness has applied.
	Seq int64
	// Sent is when this process sent the question, on its own clock. At some time
	// after Sent, the last commit that the witness had applied was Seq.
	Sent time.Time
}

// Reports holds the latest report of each witness. The zero value is empty. It is
// not safe for concurrent use.
type Reports struct {
	latest map[Witness]Report
	// ended contains the witnesses whose process has ended.
	ended map[Witness]bool
	// missingSince holds when timedOut was first called for a witness that had never
	// reported.
	missingSince map[Witness]time.Time
}

// Add adds a report. Reports of one witness may arrive out of order.
func (r *Reports) Add(report Report) {
	if r.latest == nil {
		r.latest = make(map[Witness]Report)
	}
	old := r.latest[report.Witness]
	report.Seq = max(report.Seq, old.Seq)
	if report.Sent.Before(old.Sent) {
		report.Sent = old.Sent
	}
	r.latest[report.Witness] = report
}

// MarkEnded records that other incarnations of the responder's instance have ended.
// The responder is a process that answered a question, and configAtSend is the
// configuration that this process had when it sent the question.
//
// Two incarnations of an instance never run at the same time, and configAtSend lists
// only incarnations that had already started. The responder therefore started later
// than the other incarnations of its instance listed there. Accepted treats an ended
// witness as if it had acknowledged every commit, because it cannot report an old
// number again.
func (r *Reports) MarkEnded(configAtSend *Config, responder Witness) {
	if r.ended == nil {
		r.ended = make(map[Witness]bool)
	}
	for _, p := range configAtSend.Panels {
		for _, w := range p.Witnesses {
			if w.Instance == responder.Instance && w.Incarnation != responder.Incarnation {
				r.ended[w] = true
			}
		}
	}
}

// DeleteUnlisted deletes the state of witnesses that are in none of the given panels.
func (r *Reports) DeleteUnlisted(panels []Panel) {
	unlisted := func(w Witness) bool {
		return !slices.ContainsFunc(panels, func(p Panel) bool { return slices.Contains(p.Witnesses, w) })
	}
	maps.DeleteFunc(r.latest, func(w Witness, _ Report) bool { return unlisted(w) })
	maps.DeleteFunc(r.missingSince, func(w Witness, _ time.Time) bool { return unlisted(w) })
	maps.DeleteFunc(r.ended, func(w Witness, _ bool) bool { return unlisted(w) })
}

// Accepted reports whether the commit seq is accepted: c, the current
// configuration of this process, includes it, and a majority of every panel listed
// in c has acknowledged it. Once a commit is accepted, a process can prove an older
// configuration to be the newest only with answers that it got before. If c lists
// no panel, every commit in c is accepted.
func (r *Reports) Accepted(c *Config, seq int64) bool {
	for _, p := range c.Panels {
		if !r.majorityAcknowledged(p, seq) {
			return false
		}
	}
	return c.Seq >= seq
}

// majorityAcknowledged reports whether a majority of the panel has acknowledged the
// commit seq or ended.
func (r *Reports) majorityAcknowledged(p Panel, seq int64) bool {
	count := 0
	for _, w := range p.Witnesses {
		if report, ok := r.latest[w]; r.ended[w] || ok && report.Seq >= seq {
			count++
		}
	}
	return count >= p.Majority()
}

// ProvenAt returns the latest time for which the reports prove that no commit newer
// than c had been accepted. It returns the zero time if there is no such time.
func (r *Reports) ProvenAt(c *Config) time.Time {
	p := c.Panel()
	var sent []time.Time
	for _, w := range p.Witnesses {
		report, ok := r.latest[w]
		if ok && !r.ended[w] && report.Seq <= c.Seq {
			sent = append(sent, report.Sent)
		}
	}
	if len(sent) < p.Majority() {
		return time.Time{}
	}
	slices.SortFunc(sent, func(a, b time.Time) int { return b.Compare(a) })
	return sent[p.Majority()-1]
}

// witnessTimeout is the time without a report after which a witness is replaced.
const witnessTimeout = 10 * time.Second

// maxListedPanels limits the number of panels that a configuration lists.
const maxListedPanels = 3

// NextPanelChange returns the change of the panels that is due at the time now, or
// nil. The caller must commit the change on top of c. Candidates are processes that
// have answered recently and have applied c.
//
// Earlier panels are relieved only after a majority of each has applied a
// configuration that lists a later panel. From then on these majorities cannot
// prove a configuration without the later panel to be the newest.
func (r *Reports) NextPanelChange(c *Config, candidates []Witness, now time.Time) Change {
	if n := len(c.Panels); n > 1 && r.majoritiesAcknowledged(c.Panels[:n-1], c.Seq) {
		return RelievePanels{Through: c.Panels[n-2].Number}
	}
	if len(c.Panels) >= maxListedPanels {
		return nil
	}
	next := r.nextPanel(c.Panel(), candidates, now)
	if slices.Equal(next.Witnesses, c.Panel().Witnesses) {
		return nil
	}
	return AppointPanel{Panel: next}
}

func (r *Reports) majoritiesAcknowledged(panels []Panel, seq int64) bool {
	for _, p := range panels {
		if !r.majorityAcknowledged(p, seq) {
			return false
		}
	}
	return true
}

// nextPanel returns the panel to follow old. It keeps the witnesses that still
// report, replaces the others with candidates of the same failure domain, and adds a
// candidate for each failure domain without a witness.
func (r *Reports) nextPanel(old Panel, candidates []Witness, now time.Time) Panel {
	next := Panel{Number: old.Number + 1, Witnesses: slices.Clone(old.Witnesses)}
	for _, w := range candidates {
		i := slices.IndexFunc(next.Witnesses, func(o Witness) bool { return o.Domain == w.Domain })
		switch {
		case i < 0:
			next.Witnesses = append(next.Witnesses, w)
		case r.ended[next.Witnesses[i]] || r.timedOut(next.Witnesses[i], now):
			next.Witnesses[i] = w
		}
	}
	return next
}

// timedOut reports whether more than witnessTimeout has passed since the sending of
// the question that the witness last answered. For a witness that has never
// reported, the time counts from the first call of timedOut.
func (r *Reports) timedOut(w Witness, now time.Time) bool {
	if report, ok := r.latest[w]; ok {
		return now.Sub(report.Sent) > witnessTimeout
	}
	if r.missingSince == nil {
		r.missingSince = make(map[Witness]time.Time)
	}
	if _, ok := r.missingSince[w]; !ok {
		r.missingSince[w] = now
	}
	return now.Sub(r.missingSince[w]) > witnessTimeout
}
