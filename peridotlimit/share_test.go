package peridotlimit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	// limitWindow is the time over which the platform counts, and learnTime that from the
	// first answer with a limit until it must be kept.
	limitWindow = 4 * time.Second
	learnTime   = 3 * time.Second
	// announceInterval is the time between two announcements of an instance's demand, and
	// silenceTime that for which others reckon with it after its last one.
	announceInterval = 400 * time.Millisecond
	silenceTime      = 20 * time.Second
	stepTime         = 5 * time.Millisecond
)

// allowed is the number of requests that a server with a limit may get in limitWindow.
func allowed(rate float64) int {
	return int(1.5*rate*limitWindow.Seconds()) + 5
}

// instance simulates one instance that sends requests to one server.
type instance struct {
	table     *Table
	demand    Demand
	announced float64
	// rate is the number of requests per second that it has, from startAt to endAt.
	rate           float64
	startAt, endAt time.Duration
}

func (i *instance) runs(now time.Duration) bool {
	return now >= i.startAt && now < i.endAt
}

// simulate runs instances and returns the times of the requests that they send to a server
// with a limit.
func simulate(random *rand.Rand, rate float64, instances []*instance, length time.Duration, vary func(now time.Duration)) []time.Duration {
	server := Server{ID: "s", Born: 1}
	var sent []time.Duration
	for now := time.Duration(0); now < length; now += stepTime {
		vary(now)
		if now%announceInterval == 0 {
			for _, i := range instances {
				if i.runs(now) {
					i.announced = i.demand.Rate(now)
				}
			}
			for at, i := range instances {
				if i.runs(now) {
					i.table.SetShare(now, server, shareOf(now, rate, instances, at))
				}
			}
		}
		for _, i := range instances {
			if !i.runs(now) {
				continue
			}
			i.table.Observe(now, server, Observation{At: now, Limited: true, Rate: rate})
			for n := i.rate * stepTime.Seconds(); n > 0; n-- {
				if random.Float64() >= n {
					continue
				}
				i.demand.Add(now)
				if i.table.Allows(now, server) {
					i.table.Take(now, server)
					sent = append(sent, now)
				}
			}
		}
	}
	return sent
}

// shareOf returns the share of the instance with the given index, by what has been
// announced.
func shareOf(now time.Duration, rate float64, instances []*instance, index int) float64 {
	var others []Instance
	for at, i := range instances {
		if at != index && now >= i.startAt && now < i.endAt+silenceTime {
			others = append(others, Instance{Demand: i.announced, Score: uint64(at)})
		}
	}
	return Share(rate, Instance{Demand: instances[index].announced, Score: uint64(index)}, others)
}

// mostInWindow returns the largest number of requests in limitWindow, from learnTime on.
func mostInWindow(sent []time.Duration) int {
	most, first := 0, 0
	for last, at := range sent {
		for at-sent[first] >= limitWindow || sent[first] < learnTime {
			if first == last {
				break
			}
			first++
		}
		if at >= learnTime {
			most = max(most, last-first+1)
		}
	}
	return most
}

// TestInstancesKeepLimitTogether guards against instances that send more requests in sum
// than a server takes, while their demand varies and instances come and go.
func TestInstancesKeepLimitTogether(t *testing.T) {
	const length = 30 * time.Second
	for _, count := range []int{1, 3, 5, 21, 68} {
		for _, rate := range []float64{0, 0.5, 3, 12.7, 60} {
			t.Run(fmt.Sprintf("%d instances, limit %v", count, rate), func(t *testing.T) {
				random := rand.New(rand.NewPCG(uint64(count), math.Float64bits(rate)))
				var instances []*instance
				for n := range count {
					i := &instance{table: NewTable(), endAt: math.MaxInt64 / 2}
					if n%4 == 3 {
						i.startAt = time.Duration(random.Int64N(int64(length)))
					}
					if n%4 == 2 {
						i.endAt = time.Duration(random.Int64N(int64(length)))
					}
					instances = append(instances, i)
				}
				sent := simulate(random, rate, instances, length, func(now time.Duration) {
					for _, i := range instances {
						if now%(700*time.Millisecond) == 0 {
							i.rate = []float64{0, 1, 20, 100}[random.IntN(4)]
						}
					}
				})
				if got, want := mostInWindow(sent), allowed(rate); got > want {
					t.Errorf("got %d requests in %v, want %d at most", got, limitWindow, want)
				}
			})
		}
	}
}

// TestUnusedShareIsLent guards against instances with many requests that starve because
// others have a share of the limit that they don't use.
func TestUnusedShareIsLent(t *testing.T) {
	const length = 15 * time.Second
	for _, count := range []int{3, 5, 10} {
		for _, rate := range []float64{3, 12.7, 60} {
			random := rand.New(rand.NewPCG(uint64(count), 1))
			var instances []*instance
			for range count {
				instances = append(instances, &instance{table: NewTable(), endAt: length})
			}
			instances[count-1].rate = 10 * rate
			sent := simulate(random, rate, instances, length, func(time.Duration) {})
			got, want := 0, 0.5*rate*(length-learnTime).Seconds()
			for _, at := range sent {
				if at >= learnTime {
					got++
				}
			}
			if float64(got) < want {
				t.Errorf("%d instances, limit %v: got %d requests from the only busy one, want %.0f or more", count, rate, got, want)
			}
		}
	}
}

func TestTable(t *testing.T) {
	s := Server{ID: "s", Born: 1}
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	limited := func(at int, rate float64) Observation { return Observation{At: ms(at), Limited: true, Rate: rate} }
	for _, test := range []struct {
		name  string
		steps func(t *Table)
		at    time.Duration
		want  time.Duration
	}{
		{name: "nothing known", steps: func(*Table) {}},
		{name: "one request at once", steps: func(t *Table) { t.Observe(0, s, limited(0, 2)) }},
		{name: "the next one waits", steps: func(t *Table) { t.Observe(0, s, limited(0, 2)); t.Take(0, s) }, want: ms(500)},
		{name: "until then", steps: func(t *Table) { t.Observe(0, s, limited(0, 2)); t.Take(0, s) }, at: ms(500)},
		{name: "a request that was not sent", steps: func(t *Table) { t.Observe(0, s, limited(0, 2)); t.Take(0, s); t.Return(0, s) }},
		{name: "ended", steps: func(t *Table) {
			t.Observe(0, s, limited(0, 2))
			t.Take(0, s)
			t.Observe(ms(5), s, Observation{At: ms(5)})
		}},
		{name: "named again after many requests", steps: func(t *Table) {
			t.Observe(0, s, limited(0, 2))
			t.Observe(ms(5), s, Observation{At: ms(5)})
			for range 100 {
				t.Take(ms(5), s)
			}
			t.Observe(ms(6), s, limited(6, 2))
		}, at: ms(6)},
		{name: "an older answer does not end it", steps: func(t *Table) {
			t.Observe(ms(5), s, limited(5, 2))
			t.Take(ms(5), s)
			t.Observe(ms(6), s, Observation{At: ms(4)})
		}, at: ms(5), want: ms(500)},
		{name: "half of it", steps: func(t *Table) { t.Observe(0, s, limited(0, 2)); t.SetShare(0, s, 0.5); t.Take(0, s) }, want: ms(1000)},
		{name: "not an owner", steps: func(t *Table) { t.Observe(0, s, limited(0, 2)); t.SetShare(0, s, 0) }, want: foreignWait},
		{name: "zero", steps: func(t *Table) { t.Observe(0, s, limited(0, 0)); t.Take(0, s) }, want: 10 * time.Second},
		{name: "raised", steps: func(t *Table) { t.Observe(0, s, limited(0, 2)); t.Take(0, s); t.Observe(0, s, limited(0, 10)) }, want: ms(100)},
		{name: "next incarnation", steps: func(t *Table) {
			t.Observe(0, Server{ID: "s", Born: 2}, limited(0, 2))
			t.Take(0, Server{ID: "s", Born: 2})
		}},
		{name: "gone for long", steps: func(t *Table) {
			t.Observe(0, s, limited(0, 2))
			t.Take(0, s)
			t.KeepRegistered(forgetTime, func(Server) bool { return false })
		}},
		{name: "gone for a short time", steps: func(t *Table) {
			t.Observe(0, s, limited(0, 2))
			t.Take(0, s)
			t.KeepRegistered(forgetTime-1, func(Server) bool { return false })
		}, want: ms(500)},
	} {
		table := NewTable()
		test.steps(table)
		if got := table.Wait(test.at, s); got != test.want {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}

func TestShare(t *testing.T) {
	demands := func(list ...float64) []Instance {
		var instances []Instance
		for at, d := range list {
			instances = append(instances, Instance{Demand: d, Score: uint64(at)})
		}
		return instances
	}
	for _, test := range []struct {
		name string
		rate float64
		// instances are all instances; the first is the own one.
		instances []Instance
		want      float64
	}{
		{name: "alone, idle", rate: 10, instances: demands(0), want: 1},
		{name: "alone", rate: 10, instances: demands(5), want: 1},
		{name: "all idle", rate: 10, instances: demands(0, 0, 0), want: 1.0 / 3},
		{name: "equal", rate: 10, instances: demands(10, 10), want: 0.5},
		{name: "uneven", rate: 10, instances: demands(30, 10), want: 0.75},
		{name: "other unknown", rate: 10, instances: demands(10, -1), want: 0.5},
		{name: "own unknown", rate: 10, instances: demands(-1, 10), want: 0.5},
		{name: "all unknown", rate: 10, instances: demands(-1, -1), want: 0.5},
		{name: "idle beside a busy one", rate: 10, instances: demands(0, 19), want: 0.95 / 19.95},
		{name: "one of two owners", rate: 0, instances: demands(1, 1, 1, 1), want: 0.5},
		{name: "not an owner", rate: 0, instances: append([]Instance{{Demand: 1, Score: 9}}, demands(1, 1, 1)...)},
		{name: "the busy one is an owner", rate: 0, instances: append([]Instance{{Demand: 40, Score: 9}}, demands(0, 0, 0)...), want: 40 / 41.0},
		{name: "huge limit", rate: math.MaxFloat64, instances: demands(1, 1), want: 0.5},
	} {
		if got := Share(test.rate, test.instances[0], test.instances[1:]); math.Abs(got-test.want) > 1e-9 {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}
