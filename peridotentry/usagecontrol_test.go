package peridotentry

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"peridotstack/peridotconfig"
	"peridotstack/peridotkey"
	"peridotstack/peridotlease"
	"peridotstack/peridotplatform"
	"peridotstack/peridottable"
	"peridotstack/peridotusage"
)

const secondAccount = "spanish-town"

// reportPatience bounds the wait for reports, which a new holder of the lease
// sends only once nothing of an earlier one can arrive.
const reportPatience = time.Minute

// usageClock is a wall clock that can be set forward, to seal windows early.
type usageClock struct{ ahead atomic.Int64 }

func (c *usageClock) now() time.Time {
	return time.Now().Add(time.Duration(c.ahead.Load()))
}

func withUsageClock(c *usageClock) Option {
	return func(e *Entry) { e.usageNow = c.now }
}

// TestEntriesReportWhatTheEngineRan lets two accounts use an engine; the entry
// instance that holds the lease must report just that, also when the platform's
// answer to a report is lost, an agent stops and another holder takes over.
func TestEntriesReportWhatTheEngineRan(t *testing.T) {
	for _, c := range []struct {
		name string
		lost int
		// agentStops has the agent leave before the first window is over.
		agentStops bool
		// holderStops has the entry instance that holds the lease leave.
		holderStops bool
	}{
		{name: "all alive"},
		{name: "answer to a report lost", lost: 1},
		{name: "agent stops", agentStops: true},
		{name: "agent and holder stop", agentStops: true, holderStops: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			clock := &usageClock{}
			p := newPath(t, withUsageClock(clock))
			p.platform.Usage.LoseAnswers(c.lost)
			accounts := p.useTwoAccounts()
			want := p.ranAtEngine(accounts)
			p.untilBy(reportPatience, func() bool {
				return total(p.agents[2].Usage()).Requests == want[account].Requests+want[secondAccount].Requests
			})
			if c.agentStops {
				p.stopAgents[2]()
			}
			p.untilBy(reportPatience, func() bool { return p.agents[2].Usage().Unhanded() == 0 })
			if c.holderStops {
				p.stopHolder()
			}
			clock.ahead.Store(int64(3 * peridotusage.WindowLength))
			p.untilBy(reportPatience, func() bool {
				got := p.reported()
				return got[account].Requests >= want[account].Requests && got[secondAccount].Requests >= want[secondAccount].Requests
			})
			p.untilBy(reportPatience, p.allConfirmed)
			got := p.reported()
			for _, name := range accounts {
				if got[name] != want[name] {
					t.Errorf("reports of %s: got %v, want %v", name, got[name], want[name])
				}
			}
			if c.lost > 0 {
				reports, windows := len(p.platform.Usage.Reports()), len(p.reportIDs())
				if reports <= windows {
					t.Errorf("got %d reports of %d windows, want a repeat", reports, windows)
				}
			}
		})
	}
}

// stopHolder stops the entry instance that holds the lease.
func (p *path) stopHolder() {
	p.t.Helper()
	row, err := peridotplatform.NewClient(p.address).Get(p.t.Context(), peridotlease.Key(domain))
	if err != nil {
		p.t.Fatal(err)
	}
	lease, err := peridotlease.Decode(row.Value)
	if err != nil {
		p.t.Fatal(err)
	}
	for i, e := range p.entries {
		if e.settings.Instance == lease.Holder {
			p.stopEntries[i]()
		}
	}
}

// allConfirmed reports whether no sealed window waits for the platform's answer.
func (p *path) allConfirmed() bool {
	due, err := peridotplatform.NewClient(p.address).Scan(p.t.Context(), peridottable.Range{Prefix: "usagedue/" + domain + "/", Limit: 1})
	return err == nil && len(due) == 0
}

// useTwoAccounts sends requests of two accounts through both entry instances.
func (p *path) useTwoAccounts() []string {
	p.t.Helper()
	key, id, hash := peridotkey.New()
	timeline := &peridotconfig.Log{Store: peridotplatform.NewClient(p.address)}
	_, err := timeline.Append(p.t.Context(), p.entries[0].Config(), "second", "test", peridotconfig.Changes{
		peridotconfig.PutAccount{Account: peridotconfig.Account{Name: secondAccount, Models: []string{model}, Weight: 1}},
		peridotconfig.GiveKey{Key: peridotconfig.Key{ID: id, Account: secondAccount, Hash: hash}},
	})
	if err != nil {
		p.t.Fatal(err)
	}
	for i := range 4 {
		p.complete(i%2, fmt.Sprint(account, "-dossier-", i))
	}
	p.key = key
	for i := range p.callers {
		p.until(func() bool { return p.complete(i, secondAccount+"-warm") == http.StatusOK })
	}
	p.complete(0, secondAccount+"-dossier of a longer lot of lotion")
	return []string{account, secondAccount}
}

// ranAtEngine returns what the engine ran for each account.
func (p *path) ranAtEngine(accounts []string) map[string]peridotusage.Figure {
	ran := make(map[string]peridotusage.Figure)
	for _, call := range p.engine.Calls() {
		prompted := strings.Split(call.Body, `"`)[7]
		for _, name := range accounts {
			if strings.HasPrefix(prompted, name) {
				ran[name] = ran[name].Add(peridotusage.Figure{Requests: 1, PromptTokens: int64(len(prompted)/4 + 1), OutputTokens: 4})
			}
		}
	}
	return ran
}

// reported returns what the platform took for each account, each line once, and
// fails the test if a report came with two contents.
func (p *path) reported() map[string]peridotusage.Figure {
	p.t.Helper()
	sums := make(map[string]peridotusage.Figure)
	seen := make(map[string]peridotplatform.UsageLine)
	for _, r := range p.platform.Usage.Reports() {
		for _, line := range r.Lines {
			first, repeat := seen[line.ID]
			if repeat && first != line {
				p.t.Errorf("line %s came as %v and %v", line.ID, first, line)
			}
			seen[line.ID] = line
			if !repeat {
				figure := peridotusage.Figure{Requests: line.Requests, PromptTokens: line.PromptTokens, OutputTokens: line.OutputTokens}
				sums[line.Account] = sums[line.Account].Add(figure)
			}
		}
	}
	return sums
}

func (p *path) reportIDs() map[string]bool {
	ids := make(map[string]bool)
	for _, r := range p.platform.Usage.Reports() {
		ids[r.ReportID] = true
	}
	return ids
}

// untilBy is until with a bound of its own.
func (p *path) untilBy(bound time.Duration, happened func() bool) {
	p.t.Helper()
	for end := time.Now().Add(bound); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if happened() {
			return
		}
	}
	p.t.Fatal("waited in vain")
}
