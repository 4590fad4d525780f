package peridotroute

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"peridotstack/peridotseed"
)

// event is something that happens at a time of the simulated clock.

type event struct {
	at   time.Duration
	what func(now time.Duration)
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

const (
	fleetServers = 16
	fleetEntries = 8
	fleetRate    = 10_000 // prefill tokens a second
	fleetLag     = 2 * time.Second

	fleetTime = 30 * time.Second
	fleetLoad = 0.8
)

// fleet is a set of servers with one queue each, seen by entries through
// reports that are fleetLag old and come every fleetLag.
type fleet struct {
	events  events
	random  *rand.Rand
	freeAt  [fleetServers]time.Duration
	running [fleetServers]int
	waits   []time.Duration
	// last is the time of the last event.
	last time.Duration
}

// chooser is how the entries of a fleet choose; the instance is a number.
type chooser interface {
	choose(now time.Duration, entry int, request Request) int
	done(now time.Duration, entry int, id string)
	observe(now time.Duration, report Report)
}

func (f *fleet) push(at time.Duration, what func(time.Duration)) {
	heap.Push(&f.events, event{at, what})
}

// run returns the mean wait of the requests.
func (f *fleet) run(c chooser) time.Duration {
	f.report(c)
	f.arrive(c, 0)
	for len(f.events) > 0 {
		e := heap.Pop(&f.events).(event)
		f.last = e.at
		if e.at < fleetTime {
			e.what(e.at)
		}
	}
	var sum time.Duration
	for _, wait := range f.waits {
		sum += wait
	}
	return sum / time.Duration(len(f.waits))
}

func (f *fleet) arrive(c chooser, n int) {
	const meanPrompt = 1000
	perSecond := fleetLoad * fleetServers * fleetRate / meanPrompt
	gap := time.Duration(f.random.ExpFloat64() / perSecond * float64(time.Second))
	f.push(f.last+gap, func(now time.Duration) {
		entry := f.random.IntN(fleetEntries)
		request := Request{ID: strconv.Itoa(n), Model: "m", PromptTokens: 500 + f.random.IntN(1000), ExpectedOutput: 1}
		i := c.choose(now, entry, request)
		f.waits = append(f.waits, max(0, f.freeAt[i]-now))
		f.freeAt[i] = max(f.freeAt[i], now) + seconds(float64(request.PromptTokens)/fleetRate)
		f.running[i]++
		f.push(f.freeAt[i], func(now time.Duration) {
			f.running[i]--
			c.done(now, entry, request.ID)
		})
		f.arrive(c, n+1)
	})
}

// report takes the load of every server now and hands it over after the lag.
func (f *fleet) report(c chooser) {
	now := f.last
	for i := range fleetServers {
		backlog := max(0, f.freeAt[i]-now).Seconds() * fleetRate
		report := Report{Instance: name(i), At: now + fleetLag, Running: f.running[i], PrefillTokens: int(backlog), DecodeTokens: f.running[i]}
		f.push(now+fleetLag, func(now time.Duration) { c.observe(now, report) })
	}
	f.push(now+fleetLag, func(time.Duration) { f.report(c) })
}

func name(i int) string { return fmt.Sprintf("s%02d", i) }

// leastReported goes to the server that reported the least load.
type leastReported struct {
	reports [fleetServers]int
}

func (l *leastReported) choose(time.Duration, int, Request) int {
	return slices.Index(l.reports[:], slices.Min(l.reports[:]))
}

func (l *leastReported) done(time.Duration, int, string) {}

func (l *leastReported) observe(_ time.Duration, r Report) {
	l.reports[numberOf(r.Instance)] = r.PrefillTokens
}

// routers is one Router for each entry.
type routers [fleetEntries]*Router

func newRouters(seed uint64) *routers {
	var rs routers
	var list []Server
	for i := range fleetServers {
		list = append(list, Server{Instance: name(i), Model: "m", PrefillTokensPerSecond: fleetRate, DecodeTokensPerSecond: 1e6})
	}
	for i := range rs {
		rs[i] = New(seed+uint64(i), ReportLag(fleetLag))
		rs[i].SetServers(0, list)
	}
	return &rs
}

func (rs *routers) choose(now time.Duration, entry int, request Request) int {
	c, err := rs[entry].Choose(now, request)
	if err != nil {
		panic(err)
	}
	rs[entry].Sent(now, request, c)
	return numberOf(c.Instance)
}

func (rs *routers) done(now time.Duration, entry int, id string) {
	rs[entry].Done(now, id, 1)
}

func (rs *routers) observe(now time.Duration, report Report) {
	for _, r := range rs {
		r.Observe(now, report)
	}
}

func numberOf(instance string) int {
	n, err := strconv.Atoi(instance[1:])
	if err != nil {
		panic(err)
	}
	return n
}

// blind chooses at random.
type blind struct{ random *rand.Rand }

func (b blind) choose(time.Duration, int, Request) int { return b.random.IntN(fleetServers) }
func (b blind) done(time.Duration, int, string)        {}
func (b blind) observe(_ time.Duration, _ Report)      {}

// TestNoHerd shows the herd of entries that go to the server with the least
// reported load, and its absence with Router.
func TestNoHerd(t *testing.T) {
	var herd, random, own time.Duration
	n := time.Duration(peridotseed.Count(t, peridotseed.Usual))
	for seed := range peridotseed.Count(t, peridotseed.Usual) {
		run := func(c chooser) time.Duration {
			f := &fleet{random: rand.New(rand.NewPCG(seed, 1))}
			return f.run(c)
		}
		herd += run(&leastReported{}) / n
		random += run(blind{rand.New(rand.NewPCG(seed, 2))}) / n
		own += run(newRouters(seed)) / n
	}
	t.Logf("mean wait over %d seeds: %v by least reported load, %v at random, %v by Router", n, herd, random, own)
	if herd < 10*random {
		t.Errorf("mean wait by least reported load: got %v, want a herd, ten times the %v at random", herd, random)
	}
	if own > random*3/4 {
		t.Errorf("mean wait by Router: got %v, want at most 3/4 of the %v at random", own, random)
	}
}
