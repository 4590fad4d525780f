package peridotplace

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"peridotstack/peridotsite"
)

const (
	plainSlots     = 6
	plainMillis    = 30.0
	plainObjective = 120 * time.Millisecond
	plainDeadline  = 600 * time.Millisecond
	plainLinkDelay = 900 * time.Microsecond
	reportAge      = 200 * time.Millisecond
)

// domainLoad is a load of three failure domains with a plain server of 6 slots each. Reports
// are sent every 200 ms and arrive 200 ms later.
type domainLoad struct {
	fronts int
	// rate is the demand of a domain at a time, relative to its capacity at nominal speed.
	rate func(domain int, now time.Duration) float64
	// slow is how long a server takes relative to the nominal speed.
	slow func(domain int, now time.Duration) float64
	// silentFrom is the time from which reports reach no other domain; 0 means never.
	silentFrom time.Duration
}

// domainFigures are shares of the requests from the fifth second on. swing is the difference
// of the largest and least share of domain 0 that left within a second.
type domainFigures struct{ onTime, inDeadline, left, swing float64 }

// run steps the load for 30 s, with the rule or with the fixed costs.
func (l *domainLoad) run(rule bool) domainFigures {
	const duration, warmUp = 30 * time.Second, 5 * time.Second
	config := (&peridotsite.Config{Services: []peridotsite.Service{{Name: "plain"}}}).BuildIndex()
	config.Services[0].Scarce = true
	var list []peridotsite.Backend
	for _, id := range []string{"0", "1", "2"} {
		list = append(list, peridotsite.Backend{ID: id, Service: "plain", Domain: id, Slots: plainSlots})
	}
	fronts := make([]*Placer, l.fronts)
	for i := range fronts {
		fronts[i] = New(uint64(i), list[i%3].Domain)
		fronts[i].SetBackends(0, list, config)
	}
	prompt := Prompt{Service: "plain"}
	if rule {
		prompt.ToObjective, prompt.ToDeadline = plainObjective, plainDeadline
	}
	type ending struct {
		at     time.Duration
		front  *Placer
		flight *Flight
	}
	type delivery struct {
		at     time.Duration
		from   int
		report Report
	}
	random := rand.New(rand.NewPCG(7, 7))
	var freeAt [3][plainSlots]time.Duration
	var endings []ending
	var deliveries []delivery
	var sums domainFigures
	var left, sent [30]float64
	requests := 0.0
	for now := time.Duration(0); now < duration; now += time.Millisecond {
		endings = slices.DeleteFunc(endings, func(e ending) bool {
			if e.at <= now {
				e.front.Done(e.at, e.flight, Answered)
			}
			return e.at <= now
		})
		for i, p := range fronts {
			if now%reportAge == time.Duration(i)*time.Millisecond%reportAge {
				deliveries = append(deliveries, delivery{now + reportAge, i, p.Report(now, 0)})
			}
		}
		for len(deliveries) > 0 && deliveries[0].at <= now {
			d := deliveries[0]
			deliveries = deliveries[1:]
			for i, p := range fronts {
				if i != d.from && (i%3 == d.from%3 || l.silentFrom == 0 || now < l.silentFrom) {
					p.Observe(now, fmt.Sprint(d.from), d.report)
				}
			}
		}
		for domain := range 3 {
			if random.Float64() >= l.rate(domain, now)*plainSlots/plainMillis {
				continue
			}
			p := fronts[domain+3*random.IntN(l.fronts/3)]
			c, _ := p.Place(now, prompt)
			server := int(c.Backend[0] - '0')
			delay := time.Duration(0)
			if server != domain {
				delay = plainLinkDelay
			}
			slot := slices.Index(freeAt[server][:], slices.Min(freeAt[server][:]))
			begin := max(now+delay, freeAt[server][slot])
			freeAt[server][slot] = begin + fromMillis(plainMillis*l.slow(server, begin))
			end := freeAt[server][slot] + delay
			endings = append(endings, ending{end, p, p.Begin(now, c.Backend)})
			if now < warmUp {
				continue
			}
			requests++
			if end-now <= plainObjective {
				sums.onTime++
			}
			if end-now <= plainDeadline {
				sums.inDeadline++
			}
			if server != domain {
				sums.left++
			}
			if domain == 0 {
				sent[now/time.Second]++
				if server != domain {
					left[now/time.Second]++
				}
			}
		}
	}
	least, most := 1.0, 0.0
	for i := int(warmUp / time.Second); i < len(sent); i++ {
		least, most = min(least, left[i]/sent[i]), max(most, left[i]/sent[i])
	}
	return domainFigures{sums.onTime / requests, sums.inDeadline / requests, sums.left / requests, most - least}
}

func evenRate(share float64) func(int, time.Duration) float64 {
	return func(int, time.Duration) float64 { return share }
}

func nominalSpeed(int, time.Duration) float64 { return 1 }

func firstSlow(domain int, _ time.Duration) float64 {
	if domain == 0 {
		return 2.5
	}
	return 1
}

func TestTrial(t *testing.T) {
	moments := func(domain int, now time.Duration) float64 {
		if moment := int(now / (600 * time.Millisecond)); moment%2 == 1 && moment/2%3 == domain {
			return 2.5
		}
		return 1
	}
	swing := func(domain int, now time.Duration) float64 {
		return 0.6 * (1 + 0.55*math.Sin(2*math.Pi*(now.Seconds()+0.5*float64(domain))/15))
	}
	for _, test := range []struct {
		name string
		load domainLoad
	}{
		{"calm", domainLoad{fronts: 24, rate: evenRate(0.5), slow: nominalSpeed}},
		{"busy", domainLoad{fronts: 24, rate: evenRate(0.85), slow: nominalSpeed}},
		{"one slow", domainLoad{fronts: 24, rate: evenRate(0.6), slow: firstSlow}},
		{"one slow 300", domainLoad{fronts: 300, rate: evenRate(0.6), slow: firstSlow}},
		{"one slow silent", domainLoad{fronts: 24, rate: evenRate(0.6), slow: firstSlow, silentFrom: 4 * time.Second}},
		{"one full", domainLoad{fronts: 24, rate: func(d int, _ time.Duration) float64 { return []float64{1.4, 0.4, 0.4}[d] }, slow: nominalSpeed}},
		{"one full 300", domainLoad{fronts: 300, rate: func(d int, _ time.Duration) float64 { return []float64{1.4, 0.4, 0.4}[d] }, slow: nominalSpeed}},
		{"all full", domainLoad{fronts: 24, rate: evenRate(1.05), slow: nominalSpeed}},
		{"moments", domainLoad{fronts: 24, rate: evenRate(0.6), slow: moments}},
		{"swing", domainLoad{fronts: 24, rate: swing, slow: nominalSpeed}},
		{"swing moments", domainLoad{fronts: 24, rate: swing, slow: moments}},
		{"swing moments 6", domainLoad{fronts: 6, rate: swing, slow: moments}},
	} {
		t.Logf("%-18s off %.3f on %.3f", test.name, test.load.run(false), test.load.run(true))
	}
}
