package peridotentry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"peridotstack/peridotconfig"
	"peridotstack/peridotkey"
	"peridotstack/peridotlease"
	"peridotstack/peridotonce"
	"peridotstack/peridotplatform"
	"peridotstack/peridottable"
	"peridotstack/peridotusage"
	"peridotstack/peridotverdict"
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
			p.untilBy(reportPatience, func() bool { return p.agents[2].Usage().Unacknowledged() == 0 })
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

// TestFenceNeedsTheTokenInTheRow asks for the check of a lease that another
// process has taken over.
func TestFenceNeedsTheTokenInTheRow(t *testing.T) {
	var table peridottable.Memory
	row, err := json.Marshal(peridotlease.Row{Holder: "entry-1", Token: 2})
	if err != nil {
		t.Fatal(err)
	}
	version, err := table.Commit(t.Context(), peridottable.Txn{ID: "1", Puts: []peridottable.Put{{Key: peridotlease.Key(domain), Value: row}}})
	if err != nil {
		t.Fatal(err)
	}
	a := usageAuthority{store: &table}
	if check, err := a.Fence(t.Context(), domain, 1); !peridotverdict.Is(err, peridotverdict.LeaseLost) {
		t.Errorf("token 1: got %v and the error %v, want the code LeaseLost", check, err)
	}
	check, err := a.Fence(t.Context(), domain, 2)
	if want := (peridottable.Check{Key: peridotlease.Key(domain), Version: version}); err != nil || check != want {
		t.Errorf("token 2: got %v and the error %v, want %v", check, err, want)
	}
}

// TestHoldIsQuietAfterTheReceiveTimeout takes a lease and lets time pass.
func TestHoldIsQuietAfterTheReceiveTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		manager := peridotlease.NewManager(&peridottable.Memory{}, "entry-1", "n")
		manager.SetInstances([]string{"entry-1"})
		manager.SetShards([]string{domain})
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go manager.Serve(ctx)
		a := usageAuthority{manager: manager}
		hold, ok := a.Grant(domain)
		for tries := 0; !ok; tries++ {
			if tries == 60 {
				t.Fatal("got no lease within a minute, want it")
			}
			time.Sleep(time.Second)
			hold, ok = a.Grant(domain)
		}
		grant, _ := manager.Grant(domain)
		if hold.CanReport || hold.Token != grant.Token {
			t.Errorf("at once: got %+v, want the token %d and not quiet", hold, grant.Token)
		}
		quietAt := grant.AcquiredAt.Add(manager.Terms().Lengthen(reportReceiveTimeout))
		time.Sleep(time.Until(quietAt))
		if hold, ok = a.Grant(domain); !ok || hold.CanReport {
			t.Errorf("at the timeout: got %+v (held %v), want not quiet", hold, ok)
		}
		time.Sleep(1)
		if hold, ok = a.Grant(domain); !ok || !hold.CanReport {
			t.Errorf("after the timeout: got %+v (held %v), want quiet", hold, ok)
		}
	})
}

// TestHolderSweepsOldRecords leaves the record of a request that is long over.
func TestHolderSweepsOldRecords(t *testing.T) {
	t.Parallel()
	p := newPath(t)
	store := peridotplatform.NewClient(p.address)
	ledger := peridotonce.NewLedger(peridotonce.Process{Instance: "agent-0"}, peridotonce.Options{})
	request := peridotonce.Request{RequestID: "r", Account: account, Service: service, Key: "k", Timeout: time.Second}
	claimed := 0
	for _, action := range ledger.Step(time.Now().Add(-48*time.Hour), peridotonce.RequestReceived{Request: request}) {
		if c, ok := action.(peridotonce.Commit); ok {
			claimed++
			if _, err := store.Commit(t.Context(), c.Txn); err != nil {
				t.Fatal(err)
			}
		}
	}
	if claimed != 1 {
		t.Fatalf("got %d commits of the claim, want 1", claimed)
	}
	p.untilBy(reportPatience, func() bool {
		row, err := store.Get(t.Context(), request.RowKey())
		return err == nil && row.Version == 0
	})
}
