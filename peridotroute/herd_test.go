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

// event is an action at a time of the simulated clock.
type event struct {
	at     time.Duration
	action func(now time.Duration)
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
	fleetServers     = 16
	fleetEntries     = 8
	fleetPrefillRate = 10_000 // tokens per second, of each server
	fleetLag         = 2 * time.Second

	fleetDuration    = 30 * time.Second
	fleetUtilization = 0.8
)

// fleet simulates servers with one queue each. Entries see them through reports that
// are sent every fleetLag and arrive fleetLag later.
type fleet struct {
	events  events
	random  *rand.Rand
	freeAt  [fleetServers]time.Duration
	running [fleetServers]int
	waits   []time.Duration
	// lastEventAt is the time of the last event.
	lastEventAt time.Duration
}

// chooser is a policy by which the entries of a fleet choose servers, which are
// identified by their index.
type chooser interface {
	choose(now time.Duration, entry int, request Request) int
	done(now time.Duration, entry int, id string)
	observe(now time.Duration, report Report)
}

func (f *fleet) schedule(at time.Duration, action func(time.Duration)) {
	heap.Push(&f.events, event{at, action})
}

// run simulates the fleet for fleetDuration and returns the mean wait of the requests.
func (f *fleet) run(c chooser) time.Duration {
	f.report(c)
	f.arrive(c, 0)
	for len(f.events) > 0 {
		e := heap.Pop(&f.events).(event)
		f.lastEventAt = e.at
		if e.at < fleetDuration {
			e.action(e.at)
		}
	}
	var sum time.Duration
	for _, wait := range f.waits {
		sum += wait
	}
	return sum / time.Duration(len(f.waits))
}

// arrive schedules the arrival of request n, which in turn schedules the next request.
func (f *fleet) arrive(c chooser, n int) {
	const meanPromptTokens = 1000
	perSecond := fleetUtilization * fleetServers * fleetPrefillRate / meanPromptTokens
	gap := time.Duration(f.random.ExpFloat64() / perSecond * float64(time.Second))
	f.schedule(f.lastEventAt+gap, func(now time.Duration) {
		entry := f.random.IntN(fleetEntries)
		request := Request{ID: strconv.Itoa(n), Model: "m", PromptTokens: 500 + f.random.IntN(1000), ExpectedOutput: 1}
		i := c.choose(now, entry, request)
		f.waits = append(f.waits, max(0, f.freeAt[i]-now))
		f.freeAt[i] = max(f.freeAt[i], now) + seconds(float64(request.PromptTokens)/fleetPrefillRate)
		f.running[i]++
		f.schedule(f.freeAt[i], func(now time.Duration) {
			f.running[i]--
			c.done(now, entry, request.ID)
		})
		f.arrive(c, n+1)
	})
}

// report schedules the arrival of reports of the present load, and the next call of
// report.
func (f *fleet) report(c chooser) {
	now := f.lastEventAt
	for i := range fleetServers {
		backlog := max(0, f.freeAt[i]-now).Seconds() * fleetPrefillRate
		report := Report{Instance: serverName(i), At: now + fleetLag, Running: f.running[i], PrefillTokens: int(backlog), DecodeTokens: f.running[i]}
		f.schedule(now+fleetLag, func(now time.Duration) { c.observe(now, report) })
	}
	f.schedule(now+fleetLag, func(time.Duration) { f.report(c) })
}

func serverName(i int) string { return fmt.Sprintf("s%02d", i) }

// leastReported chooses the server with the least load in its last report.
type leastReported struct {
	reports [fleetServers]int
}

func (l *leastReported) choose(time.Duration, int, Request) int {
	return slices.Index(l.reports[:], slices.Min(l.reports[:]))
}

func (l *leastReported) done(time.Duration, int, string) {}

func (l *leastReported) observe(_ time.Duration, r Report) {
	l.reports[serverIndex(r.Instance)] = r.PrefillTokens
}

// routers holds a Router for each entry.
type routers [fleetEntries]*Router

func newRouters(seed uint64) *routers {
	var rs routers
	var list []Server
	for i := range fleetServers {
		list = append(list, Server{Instance: serverName(i), Model: "m", PrefillTokensPerSecond: fleetPrefillRate, DecodeTokensPerSecond: 1e6})
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
	rs[entry].Begin(now, request, c)
	return serverIndex(c.Instance)
}

func (rs *routers) done(now time.Duration, entry int, id string) {
	rs[entry].Done(now, id, 1)
}

func (rs *routers) observe(now time.Duration, report Report) {
	for _, r := range rs {
		r.Observe(now, report)
	}
}

func serverIndex(instance string) int {
	n, err := strconv.Atoi(instance[1:])
	if err != nil {
		panic(err)
	}
	return n
}

// randomChoice chooses a server at random.
type randomChoice struct{ random *rand.Rand }

func (r randomChoice) choose(time.Duration, int, Request) int { return r.random.IntN(fleetServers) }
func (r randomChoice) done(time.Duration, int, string)        {}
func (r randomChoice) observe(_ time.Duration, _ Report)      {}

// TestRouterAvoidsHerding checks that Router avoids herding, and that herding occurs if
// each entry chooses the server with the least reported load: because reports are late,
// all entries choose the same server and overload it.
func TestRouterAvoidsHerding(t *testing.T) {
	var leastReportedWait, randomWait, routerWait time.Duration
	n := time.Duration(peridotseed.Count(t, peridotseed.DefaultCount))
	for seed := range peridotseed.Count(t, peridotseed.DefaultCount) {
		run := func(c chooser) time.Duration {
			f := &fleet{random: rand.New(rand.NewPCG(seed, 1))}
			return f.run(c)
		}
		leastReportedWait += run(&leastReported{}) / n
		randomWait += run(randomChoice{rand.New(rand.NewPCG(seed, 2))}) / n
		routerWait += run(newRouters(seed)) / n
	}
	t.Logf("mean wait over %d seeds: %v by least reported load, %v at random, %v by Router", n, leastReportedWait, randomWait, routerWait)
	if leastReportedWait < 10*randomWait {
		t.Errorf("mean wait by least reported load: got %v, want at least ten times the %v at random", leastReportedWait, randomWait)
	}
	if routerWait > randomWait*3/4 {
		t.Errorf("mean wait by Router: got %v, want at most 3/4 of the %v at random", routerWait, randomWait)
	}
}
