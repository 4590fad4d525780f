package peridotplace

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"peridotstack/peridotsite"
	"peridotstack/peridotturn"
)

const (
	simulatedSpeed = 409.0 // Prompt tokens that an engine reads in a millisecond.
	simulatedStep  = 6.0   // Time in ms of a step that generates an event of each answer.
	simulatedGap   = 150 * time.Millisecond
	simulatedLimit = 2 * time.Second
)

// simulatedRequest is a request of the load.
type simulatedRequest struct {
	prompt                 Prompt
	flight                 *Flight
	front                  *Placer
	tokens, remaining      int // Events left to generate, and prompt tokens left to read.
	urgency, order, engine int
	arrivedAt, eventAt     time.Duration
	objective              time.Duration
	begun, ready, isOnTime bool
	endedAt                time.Duration
}

// simulatedEngine reads prompts in chunks between the steps of up to 8 answers.
type simulatedEngine struct {
	waiting, running []*simulatedRequest
	speed            float64
	slow, stopped    bool
	freeAt           time.Duration
}

// admit moves waiting requests into slots. A more urgent one preempts the newest of the least
// urgent, which starts from its prompt again.
func (e *simulatedEngine) admit() {
	slices.SortFunc(e.waiting, func(a, b *simulatedRequest) int { return 1000000*(a.urgency-b.urgency) + a.order - b.order })
	for len(e.waiting) > 0 {
		r := e.waiting[0]
		if len(e.running) == 8 {
			last := slices.MaxFunc(e.running, func(a, b *simulatedRequest) int { return 1000000*(a.urgency-b.urgency) + a.order - b.order })
			if last.urgency <= r.urgency {
				return
			}
			e.running = slices.DeleteFunc(e.running, func(o *simulatedRequest) bool { return o == last })
			last.remaining = last.prompt.Tokens
			e.waiting = append(e.waiting, last)
		}
		e.waiting = e.waiting[1:]
		e.running = append(e.running, r)
	}
}

// step runs one step from now on: a chunk of the prompt whose turn it is, and one event of
// each answer. It returns the requests that ended.
func (e *simulatedEngine) step(now time.Duration) (ended []*simulatedRequest) {
	e.admit()
	var reading *simulatedRequest
	for _, r := range e.running {
		r.ready = r.remaining == 0
		if r.remaining > 0 && (reading == nil || !reading.begun && (r.begun || r.urgency < reading.urgency)) {
			reading = r
		}
	}
	ms := simulatedStep
	if reading != nil {
		n := min(reading.remaining, peridotturn.ChunkTokens)
		reading.remaining, reading.begun = reading.remaining-n, reading.remaining > n
		reading.ready = reading.remaining == 0
		ms += float64(n) / simulatedSpeed
	}
	if e.slow {
		ms *= 2.5
	}
	e.freeAt = now + fromMillis(ms/e.speed)
	for _, r := range e.running {
		if !r.ready {
			continue
		}
		if r.eventAt == 0 {
			r.front.FinishPrefill(e.freeAt, r.flight)
			r.isOnTime = e.freeAt-r.arrivedAt <= r.objective
		} else if r.prompt.Gap > 0 {
			r.isOnTime = r.isOnTime && e.freeAt-r.eventAt <= simulatedGap
		}
		r.eventAt = e.freeAt
		if r.tokens--; r.tokens == 0 {
			ended = append(ended, r)
		}
	}
	e.running = slices.DeleteFunc(e.running, func(r *simulatedRequest) bool { return r.tokens == 0 })
	return ended
}

// simulation is a load of long prompts and questions at 24 fronts and 32 engines.
type simulation struct {
	rule    bool
	random  *rand.Rand
	fronts  []*Placer
	service *peridotsite.Service
	engines []*simulatedEngine
	all     []*simulatedRequest
	rate    float64 // Long prompts per ms.
}

func newSimulation(rule bool) *simulation {
	config := (&peridotsite.Config{Services: []peridotsite.Service{{Name: service, Engine: &peridotsite.Engine{Slots: 8, CacheTokens: 1_000_000}}}}).BuildIndex()
	config.Services[0].Scarce = rule
	s := &simulation{rule: rule, random: rand.New(rand.NewPCG(1, 1)), service: config.Service(service), rate: 0.467}
	var list []peridotsite.Backend
	for i := range 32 {
		speed := 1.2
		if i%4 == 0 {
			speed = 0.55
		}
		s.engines = append(s.engines, &simulatedEngine{speed: speed})
		list = append(list, peridotsite.Backend{ID: fmt.Sprintf("%02d", i), Service: service, Domain: "a"})
	}
	for i := range 24 {
		p := New(uint64(i), "a")
		p.SetBackends(0, list, config)
		s.fronts = append(s.fronts, p)
	}
	return s
}

// send places a request as a front does.
func (s *simulation) send(now time.Duration, r *simulatedRequest) {
	r.front = s.fronts[s.random.IntN(len(s.fronts))]
	r.prompt.Interactive = r.front.IsInteractive(s.service, peridotturn.Request{PromptTokens: r.prompt.Tokens, MaxTokens: r.tokens, Objective: r.objective, Gap: r.prompt.Gap})
	c, _ := r.front.Place(now, r.prompt)
	isLate := now-r.arrivedAt+c.Wait+25*time.Millisecond > r.objective
	r.urgency = 5
	if r.prompt.Interactive {
		r.urgency = 2
	} else if r.prompt.Late = isLate; isLate {
		r.urgency = 7
		c, _ = r.front.Place(now, r.prompt)
	}
	if isLate && c.Wait-c.PrefillTime > simulatedLimit*7/10 {
		return // Refused.
	}
	r.flight = r.front.BeginPrefill(now, c.Backend, nil, c.UncachedTokens)
	if r.prompt.Late {
		r.front.Demote(r.flight)
	}
	if r.prompt.Interactive {
		r.flight.SetInteractive()
	}
	_, _ = fmt.Sscan(c.Backend, &r.engine)
	r.order, r.remaining = len(s.all), r.prompt.Tokens
	e := s.engines[r.engine]
	e.waiting = append(e.waiting, r)
}

// arrive sends the requests that arrive in a millisecond.
func (s *simulation) arrive(now time.Duration) {
	if s.random.Float64() < s.rate {
		tokens := min(57000, 500+int(s.random.ExpFloat64()*8800))
		s.all = append(s.all, &simulatedRequest{prompt: Prompt{Service: service, Tokens: tokens}, tokens: 2, arrivedAt: now, objective: 200 * time.Millisecond})
		s.send(now, s.all[len(s.all)-1])
	}
	if s.random.Float64() < 0.0056 {
		s.all = append(s.all, &simulatedRequest{prompt: Prompt{Service: service, Tokens: 100 + s.random.IntN(240), Gap: simulatedGap}, tokens: 20 + s.random.IntN(105), arrivedAt: now, objective: 120 * time.Millisecond})
		s.send(now, s.all[len(s.all)-1])
	}
}

// exchangeReports gives each front the reports of the others.
func exchangeReports(now time.Duration, fronts []*Placer) {
	for i, p := range fronts {
		report := p.Report(now, 0)
		for j, other := range fronts {
			if i != j {
				other.Observe(now, fmt.Sprint(i), report)
			}
		}
	}
}

// run steps the load for a time. Reports of the fronts arrive every 200 ms, and change
// changes the engines every 600 ms.
func (s *simulation) run(duration time.Duration, change func(now time.Duration, s *simulation)) {
	for now := time.Duration(0); now < duration; now += time.Millisecond {
		if now%(600*time.Millisecond) == 0 {
			change(now, s)
		}
		if now%(200*time.Millisecond) == 0 {
			exchangeReports(now, s.fronts)
		}
		s.arrive(now)
		for _, e := range s.engines {
			for !e.stopped && e.freeAt <= now && len(e.waiting)+len(e.running) > 0 {
				for _, r := range e.step(now) {
					r.endedAt = e.freeAt
					r.front.Done(e.freeAt, r.flight, Answered)
				}
			}
			e.freeAt = max(e.freeAt, now)
		}
	}
}

// figures are shares of the requests that arrived a second before the end.
type figures struct{ questionsOnTime, longServed, longOnTime, largestServed float64 }

func (s *simulation) figures(until time.Duration) figures {
	var questions, long, largest []*simulatedRequest
	for _, r := range s.all {
		switch {
		case r.arrivedAt > until-simulatedLimit:
		case r.prompt.Gap > 0:
			questions = append(questions, r)
		default:
			long = append(long, r)
		}
	}
	largest = slices.Clone(long)
	slices.SortFunc(largest, func(a, b *simulatedRequest) int { return b.prompt.Tokens - a.prompt.Tokens })
	share := func(list []*simulatedRequest, counts func(r *simulatedRequest) bool) float64 {
		return 1 - float64(len(slices.DeleteFunc(slices.Clone(list), counts)))/float64(len(list))
	}
	served := func(r *simulatedRequest) bool { return r.endedAt > 0 && r.endedAt-r.arrivedAt <= simulatedLimit }
	onTime := func(r *simulatedRequest) bool { return r.endedAt > 0 && r.isOnTime }
	return figures{share(questions, onTime), share(long, served), share(long, onTime), share(largest[:len(largest)/10], served)}
}

// TestQuestionsBesideLongPrompts guards against questions that are late because long prompts
// pause or preempt them, and against long prompts that starve for them. Engines have
// unequal speeds, and change or stop.
func TestQuestionsBesideLongPrompts(t *testing.T) {
	const duration = 20 * time.Second
	changing := func(_ time.Duration, s *simulation) {
		for _, e := range s.engines {
			e.slow = s.random.IntN(100) < 15
		}
	}
	tests := []struct {
		name   string
		rate   float64 // Long prompts per ms.
		want   float64 // Least share of questions on time.
		change func(now time.Duration, s *simulation)
	}{
		{name: "a fifth is slow at times", rate: 0.467, want: 0.93, change: changing},
		{name: "more long prompts than can be read", rate: 0.99, want: 0.9, change: changing},
		{name: "one engine stops", rate: 0.467, want: 0.95, change: func(now time.Duration, s *simulation) { s.engines[1].stopped = now >= 6*time.Second }},
		{name: "one engine is slow for 600 ms", rate: 0.467, want: 0.95, change: func(now time.Duration, s *simulation) { s.engines[1].slow = now%(3*time.Second) == 0 }},
	}
	for _, test := range tests {
		var got [2]figures
		for i, rule := range []bool{false, true} {
			s := newSimulation(rule)
			s.rate = test.rate
			s.run(duration, test.change)
			got[i] = s.figures(duration)
		}
		off, on := got[0], got[1]
		t.Logf("%s: off %+v, on %+v", test.name, off, on)
		if on.questionsOnTime < max(test.want, off.questionsOnTime) {
			t.Errorf("%s: got %.3f of the questions on time, want at least %.3f and %.3f as without the rule", test.name, on.questionsOnTime, test.want, off.questionsOnTime)
		}
		if on.longServed < off.longServed-0.01 || on.longOnTime < off.longOnTime-0.01 || on.largestServed < on.longServed/2 {
			t.Errorf("%s: got long prompts %+v, want about as many as %+v, and of the largest tenth half the share", test.name, on, off)
		}
	}
}

// TestPlainServerSlowForMoments guards against requests that queue at a plain server because
// it has no more of them than others, although it takes 2.5 times as long for 600 ms.
func TestPlainServerSlowForMoments(t *testing.T) {
	var got [2]float64
	for i, rule := range []bool{false, true} {
		got[i] = plainOnTime(rule)
	}
	t.Logf("on time: off %.3f, on %.3f", got[0], got[1])
	if got[1] < got[0]+0.02 {
		t.Errorf("got %.3f on time, want clearly more than %.3f without the rule", got[1], got[0])
	}
}

// plainOnTime returns the share of requests on time at three plain servers of 6 slots that
// are slow in turn: 30 ms a request, objective 120 ms, 500 requests per second from 5 fronts
// whose reports come every 100 ms.
func plainOnTime(rule bool) float64 {
	const slots, requests, objective = 6, 15000, 120 * time.Millisecond
	config := (&peridotsite.Config{Services: []peridotsite.Service{{Name: "plain"}}}).BuildIndex()
	config.Services[0].Scarce = rule
	var list []peridotsite.Backend
	for _, id := range []string{"0", "1", "2"} {
		list = append(list, peridotsite.Backend{ID: id, Service: "plain", Domain: "a", Slots: slots})
	}
	var fronts [5]*Placer
	for i := range fronts {
		fronts[i] = New(uint64(i), "a")
		fronts[i].SetBackends(0, list, config)
	}
	type ending struct {
		at     time.Duration
		front  *Placer
		flight *Flight
	}
	var freeAt [3][slots]time.Duration
	var endings []ending
	onTime := 0
	for i := range requests {
		now := time.Duration(i) * 2 * time.Millisecond
		endings = slices.DeleteFunc(endings, func(e ending) bool {
			if e.at <= now {
				e.front.Done(e.at, e.flight, Answered)
			}
			return e.at <= now
		})
		if i%50 == 0 {
			exchangeReports(now, fronts[:])
		}
		p := fronts[i%len(fronts)]
		c, _ := p.Place(now, Prompt{Service: "plain"})
		server := int(c.Backend[0] - '0')
		slot := slices.Index(freeAt[server][:], slices.Min(freeAt[server][:]))
		end := max(now, freeAt[server][slot]) + 30*time.Millisecond
		if moment := now / (600 * time.Millisecond); moment%2 == 1 && int(moment/2)%3 == server {
			end += 45 * time.Millisecond
		}
		freeAt[server][slot] = end
		endings = append(endings, ending{end, p, p.Begin(now, c.Backend)})
		if end-now <= objective {
			onTime++
		}
	}
	return float64(onTime) / requests
}

// BenchmarkPlaceScarce measures one decision at scarce engines, with reports of 23 others.
func BenchmarkPlaceScarce(b *testing.B) {
	for _, engines := range []int{24, 300} {
		p, list, config := newFleet(0, engines)
		config.Services[0].Scarce = true
		p.SetBackends(0, list, config)
		var r Report
		for _, s := range list {
			r.Loads = append(r.Loads, Load{Backend: s.ID, PrefillTime: 20 * time.Millisecond, Running: 2, Interactive: 1})
		}
		for i := range 23 {
			p.Observe(0, fmt.Sprint(i), r)
		}
		for _, interactive := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d engines interactive %v", engines, interactive), func(b *testing.B) {
				prompt := Prompt{Service: service, Tokens: 9000, Parts: parts(1, 2, 3), Interactive: interactive, Gap: simulatedGap}
				for b.Loop() {
					p.Place(0, prompt)
				}
			})
		}
	}
}

// BenchmarkPlaceAfterReport measures one decision at 32 scarce engines after a new report
// of another front, of which there are 23 or 299.
func BenchmarkPlaceAfterReport(b *testing.B) {
	for _, fronts := range []int{24, 300} {
		p, list, config := newFleet(0, 32)
		config.Services[0].Scarce = true
		p.SetBackends(0, list, config)
		var r Report
		for _, s := range list {
			r.Loads = append(r.Loads, Load{Backend: s.ID, PrefillTime: 20 * time.Millisecond, Running: 2, Interactive: 1})
		}
		for i := range fronts - 1 {
			p.Observe(0, fmt.Sprint(i), r)
		}
		prompt := Prompt{Service: service, Tokens: 9000, Parts: parts(1, 2, 3)}
		b.Run(fmt.Sprintf("%d fronts", fronts), func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				p.Place(2*peerSumTTL*time.Duration(i%2), prompt) // The sums expire each time.
			}
		})
	}
}
