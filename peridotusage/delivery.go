package peridotusage

// sendsPerWindow is how often the final counts of a window are sent to a collector, since
// messages may be lost.
const sendsPerWindow = 3

// Delivery decides which of a process's own counts are to be sent to which collectors: the
// processes that report the usage, or may have to soon. Sending them to all processes would
// take a burst of messages that is proportional to their number, and fills the link of a
// small machine. A Delivery must be created with NewDelivery and is not safe for concurrent
// use.
type Delivery struct {
	tally *Tally
	// windows is the number of latest windows that are delivered.
	windows int
	// sent holds what has been sent, by collector and window.
	sent map[string]map[Window]sentCounts
}

// sentCounts describes the counts of a window that were sent to a collector.
type sentCounts struct {
	// requests is the sum of the counts, and times how often just these have been sent.
	requests int64
	times    int
}

// NewDelivery returns a Delivery of the own counts of t in its latest windows.
func NewDelivery(t *Tally, windows int) *Delivery {
	return &Delivery{tally: t, windows: windows, sent: make(map[string]map[Window]sentCounts)}
}

// Next returns the counts by window that are to be sent to each collector now, and takes
// them for sent. Counts of the current window are sent each time that they have changed,
// those of windows that have ended sendsPerWindow times. Collectors that are left out are
// forgotten: if they return, they get all counts again.
func (d *Delivery) Next(current Window, collectors []string) map[string]map[Window]map[string]int64 {
	own := d.tally.OwnCounts(current, d.windows)
	next := make(map[string]map[Window]map[string]int64)
	sent := make(map[string]map[Window]sentCounts, len(collectors))
	for _, collector := range collectors {
		parcels := make(map[Window]map[string]int64)
		sentTo := make(map[Window]sentCounts, len(own))
		for w, counts := range own {
			last := d.sent[collector][w]
			if requests := sumOf(counts); requests != last.requests {
				last = sentCounts{requests: requests}
			}
			if last.times == 0 || w < current && last.times < sendsPerWindow {
				parcels[w] = counts
				last.times++
			}
			sentTo[w] = last
		}
		sent[collector] = sentTo
		if len(parcels) > 0 {
			next[collector] = parcels
		}
	}
	d.sent = sent
	return next
}

func sumOf(counts map[string]int64) int64 {
	var sum int64
	for _, n := range counts {
		sum += n
	}
	return sum
}
