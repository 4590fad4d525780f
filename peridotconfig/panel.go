package peridotconfig

import (
	"maps"
	"slices"
	"time"
)

// Witness is one process that acknowledges commits. There is at most one per
// failure domain in a panel.
type Witness struct {
	Domain string
	// Instance and Incarnation name one life of one process: a process that was
	// restarted has forgotten what it acknowledged and has another Incarnation.
	Instance    string
	Incarnation string
	// Address is where other processes of the system reach it.
	Address string
}

// Panel is a set of witnesses. Any two majorities of a panel share a process.
type Panel struct {
	// Number grows by one with each panel appointed.
	Number    int64
	Witnesses []Witness
}

// Majority returns how many witnesses are more than half; an empty panel has
// no majority.
func (p Panel) Majority() int {
	return len(p.Witnesses)/2 + 1
}

// Panel returns the panel in office. It is empty when none was ever appointed.
func (c *Config) Panel() Panel {
	if len(c.Panels) == 0 {
		return Panel{}
	}
	return c.Panels[len(c.Panels)-1]
}

func (c *Config) appoint(p Panel) error {
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

func (c *Config) relieve(through int64) error {
	if through >= c.Panel().Number {
		return badField("Through", "the panel in office stays")
	}
	c.Panels = slices.DeleteFunc(slices.Clone(c.Panels), func(p Panel) bool { return p.Number <= through })
	return nil
}

// Report is what a process has heard from a witness.
type Report struct {
	Witness Witness
	// Seq is the commit up to which the witness has applied the timeline.
	Seq int64
	// Sent is when the question was sent that the report answers, by the clock of
	// the process that asked. The witness had Seq at some time after it.
	Sent time.Time
}

// Reports keeps the last report of each witness. The zero value is empty. It is
// not safe for concurrent use.
type Reports struct {
	last map[Witness]Report
	// gone holds the witnesses whose process has ended.
	gone map[Witness]bool
	// missed holds since when a witness never heard from is missed.
	missed map[Witness]time.Time
}

// Add takes a report. Reports of one witness may arrive out of order.
func (r *Reports) Add(report Report) {
	if r.last == nil {
		r.last = make(map[Witness]Report)
	}
	old := r.last[report.Witness]
	report.Seq = max(report.Seq, old.Seq)
	if report.Sent.Before(old.Sent) {
		report.Sent = old.Sent
	}
	r.last[report.Witness] = report
}

// Ended takes what another life of an instance tells about the witnesses in
// asked, the configuration in force here when the question was sent. The lives of
// one instance do not overlap, and asked names only lives that had begun by then:
// the one that answered came after them. A witness that has ended counts as one
// that acknowledged everything, for it will never report an old number again.
func (r *Reports) Ended(asked *Config, answered Witness) {
	if r.gone == nil {
		r.gone = make(map[Witness]bool)
	}
	for _, p := range asked.Panels {
		for _, w := range p.Witnesses {
			if w.Instance == answered.Instance && w.Incarnation != answered.Incarnation {
				r.gone[w] = true
			}
		}
	}
}

// Keep forgets witnesses that are in none of the panels.
func (r *Reports) Keep(panels []Panel) {
	unlisted := func(w Witness) bool {
		return !slices.ContainsFunc(panels, func(p Panel) bool { return slices.Contains(p.Witnesses, w) })
	}
	maps.DeleteFunc(r.last, func(w Witness, _ Report) bool { return unlisted(w) })
	maps.DeleteFunc(r.missed, func(w Witness, _ time.Time) bool { return unlisted(w) })
	maps.DeleteFunc(r.gone, func(w Witness, _ bool) bool { return unlisted(w) })
}

// Accepted reports whether the commit seq, which must be in force here as part
// of c, is accepted: a majority of every listed panel has acknowledged it. From
// then on no process can prove an older configuration to be the newest, but by
// what it learned before. Without any panel a commit is accepted as it stands.
func (r *Reports) Accepted(c *Config, seq int64) bool {
	for _, p := range c.Panels {
		if !r.acknowledged(p, seq) {
			return false
		}
	}
	return c.Seq >= seq
}

func (r *Reports) acknowledged(p Panel, seq int64) bool {
	count := 0
	for _, w := range p.Witnesses {
		if report, ok := r.last[w]; r.gone[w] || ok && report.Seq >= seq {
			count++
		}
	}
	return count >= p.Majority()
}

// Newest returns the latest time before which no commit newer than c was
// accepted, as far as the reports show. It returns the zero time when they do
// not show it for any time.
func (r *Reports) Newest(c *Config) time.Time {
	p := c.Panel()
	var sent []time.Time
	for _, w := range p.Witnesses {
		report, ok := r.last[w]
		if ok && !r.gone[w] && report.Seq <= c.Seq {
			sent = append(sent, report.Sent)
		}
	}
	if len(sent) < p.Majority() {
		return time.Time{}
	}
	slices.SortFunc(sent, func(a, b time.Time) int { return b.Compare(a) })
	return sent[p.Majority()-1]
}

// silentAfter is how long a witness may stay silent before another is appointed.
const silentAfter = 10 * time.Second

// maxPanels bounds the panels listed at a time.
const maxPanels = 3

// Succession returns the change of the panels that is due at the time now, or
// nil. It must be committed on top of c. Candidates are processes that were
// heard from a moment ago and know c.
//
// Panels are relieved only once majorities of them know a configuration in which
// a later panel is in office. From then on nobody can prove by them a
// configuration from before to be the newest.
func (r *Reports) Succession(c *Config, candidates []Witness, now time.Time) Change {
	if n := len(c.Panels); n > 1 && r.allAcknowledged(c.Panels[:n-1], c.Seq) {
		return RelievePanels{Through: c.Panels[n-2].Number}
	}
	if len(c.Panels) >= maxPanels {
		return nil
	}
	next := r.nextPanel(c.Panel(), candidates, now)
	if slices.Equal(next.Witnesses, c.Panel().Witnesses) {
		return nil
	}
	return AppointPanel{Panel: next}
}

func (r *Reports) allAcknowledged(panels []Panel, seq int64) bool {
	for _, p := range panels {
		if !r.acknowledged(p, seq) {
			return false
		}
	}
	return true
}

// nextPanel keeps the witnesses that still report, replaces the others, and adds
// one for each failure domain that has none.
func (r *Reports) nextPanel(old Panel, candidates []Witness, now time.Time) Panel {
	next := Panel{Number: old.Number + 1, Witnesses: slices.Clone(old.Witnesses)}
	for _, w := range candidates {
		i := slices.IndexFunc(next.Witnesses, func(o Witness) bool { return o.Domain == w.Domain })
		switch {
		case i < 0:
			next.Witnesses = append(next.Witnesses, w)
		case r.gone[next.Witnesses[i]] || r.silent(next.Witnesses[i], now):
			next.Witnesses[i] = w
		}
	}
	return next
}

// silent reports whether a witness has not reported for long; for one that was
// never heard from here, the time counts from the first question.
func (r *Reports) silent(w Witness, now time.Time) bool {
	if report, ok := r.last[w]; ok {
		return now.Sub(report.Sent) > silentAfter
	}
	if r.missed == nil {
		r.missed = make(map[Witness]time.Time)
	}
	if _, ok := r.missed[w]; !ok {
		r.missed[w] = now
	}
	return now.Sub(r.missed[w]) > silentAfter
}
