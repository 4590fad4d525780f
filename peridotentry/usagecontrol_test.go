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

// reportTimeout bounds the wait for reports. A new lease holder sends reports
// only once no report of an earlier holder can still arrive.
const reportTimeout = time.Minute

// usageClock is a wall clock that tests set forward to seal windows early.
type usageClock struct{ offset atomic.Int64 }

func (c *usageClock) now() time.Time {
	return time.Now().Add(time.Duration(c.offset.Load()))
}

func withUsageClock(c *usageClock) Option {
	return func(e *Entry) { e.usageNow = c.now }
}

// TestReportsMatchEngineAcrossFailures sends requests of two accounts to an
// engine. The entry instance that holds the lease must report exactly the usage
// of these requests, even if the platform's answer to a report is lost, an agent
// stops or another instance takes over the lease.
func TestReportsMatchEngineAcrossFailures(t *testing.T) {
	for _, test := range []struct {
		name        string
		lostAnswers int
		// agentStops makes the agent leave before the first window ends.
		agentStops bool
		// holderStops makes the entry instance that holds the lease leave.
		holderStops bool
	}{
		{name: "all alive"},
		{name: "answer to a report lost", lostAnswers: 1},
		{name: "agent stops", agentStops: true},
		{name: "agent and holder stop", agentStops: true, holderStops: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			clock := &usageClock{}
			p := newTestSystem(t, withUsageClock(clock))
			p.platform.Usage.LoseAnswers(test.lostAnswers)
			accounts := p.useTwoAccounts()
			want := p.engineFigures(accounts)
			p.awaitConditionWithin(reportTimeout, func() bool {
				return totalFigure(p.agents[2].Usage()).Requests == want[account].Requests+want[secondAccount].Requests
			})
			if test.agentStops {
				p.stopAgents[2]()
			}
			p.awaitConditionWithin(reportTimeout, func() bool { return p.agents[2].Usage().Unacknowledged() == 0 })
			if test.holderStops {
				p.stopHolder()
			}
			clock.offset.Store(int64(3 * peridotusage.WindowLength))
			p.awaitConditionWithin(reportTimeout, func() bool {
				got := p.reportedFigures()
				return got[account].Requests >= want[account].Requests && got[secondAccount].Requests >= want[secondAccount].Requests
			})
			p.awaitConditionWithin(reportTimeout, p.allReportsConfirmed)
			got := p.reportedFigures()
			for _, name := range accounts {
				if got[name] != want[name] {
					t.Errorf("reports of %s: got %v, want %v", name, got[name], want[name])
				}
			}
			if test.lostAnswers > 0 {
				reports, windows := len(p.platform.Usage.Reports()), len(p.reportIDs())
				if reports <= windows {
					t.Errorf("got %d reports of %d windows, want a repeat", reports, windows)
				}
			}
		})
	}
}

// stopHolder stops the entry instance that holds the lease.
func (p *testSystem) stopHolder() {
	p.t.Helper()
	row, err := peridotplatform.NewClient(p.platformAddress).Get(p.t.Context(), peridotlease.RowKey(domain))
	if err != nil {
		p.t.Fatal(err)
	}
	lease, err := peridotlease.DecodeRow(row.Value)
	if err != nil {
		p.t.Fatal(err)
	}
	for i, e := range p.entries {
		if e.settings.Instance == lease.Holder {
			p.stopEntries[i]()
		}
	}
}

// allReportsConfirmed reports whether the platform has answered the reports of
// all sealed windows.
func (p *testSystem) allReportsConfirmed() bool {
	due, err := peridotplatform.NewClient(p.platformAddress).Scan(p.t.Context(), peridottable.Range{Prefix: "usagedue/" + domain + "/", Limit: 1})
	return err == nil && len(due) == 0
}

// useTwoAccounts sends requests of two accounts through both entry instances and
// returns the accounts.
func (p *testSystem) useTwoAccounts() []string {
	p.t.Helper()
	key, id, hash := peridotkey.New()
	configLog := &peridotconfig.Log{Store: peridotplatform.NewClient(p.platformAddress)}
	_, err := configLog.Append(p.t.Context(), p.entries[0].Config(), "second", "test", peridotconfig.Changes{
		peridotconfig.PutAccount{Account: peridotconfig.Account{Name: secondAccount, Models: []string{model}, Weight: 1}},
		peridotconfig.GiveKey{Key: peridotconfig.Key{ID: id, Account: secondAccount, Hash: hash}},
	})
	if err != nil {
		p.t.Fatal(err)
	}
	for i := range 4 {
		p.postCompletion(i%2, fmt.Sprint(account, "-dossier-", i))
	}
	p.key = key
	for i := range p.callerAddresses {
		p.awaitCondition(func() bool { return p.postCompletion(i, secondAccount+"-warm") == http.StatusOK })
	}
	p.postCompletion(0, secondAccount+"-dossier of a longer lot of lotion")
	return []string{account, secondAccount}
}

// engineFigures returns the usage of the requests that the engine ran, by
// account.
func (p *testSystem) engineFigures(accounts []string) map[string]peridotusage.Figure {
	figures := make(map[string]peridotusage.Figure)
	for _, call := range p.engine.Calls() {
		prompt := strings.Split(call.Body, `"`)[7]
		for _, name := range accounts {
			if strings.HasPrefix(prompt, name) {
				figures[name] = figures[name].Add(peridotusage.Figure{Requests: 1, PromptTokens: int64(len(prompt)/4 + 1), OutputTokens: 4})
			}
		}
	}
	return figures
}

// reportedFigures returns the usage that the platform received in reports, by
// account. It counts each line once and fails the test if a line was received
// with different contents.
func (p *testSystem) reportedFigures() map[string]peridotusage.Figure {
	p.t.Helper()
	sums := make(map[string]peridotusage.Figure)
	seen := make(map[string]peridotplatform.UsageLine)
	for _, r := range p.platform.Usage.Reports() {
		for _, line := range r.Lines {
			first, repeat := seen[line.ID]
			if repeat && first != line {
				p.t.Errorf("line %s received as %v and %v", line.ID, first, line)
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

func (p *testSystem) reportIDs() map[string]bool {
	ids := make(map[string]bool)
	for _, r := range p.platform.Usage.Reports() {
		ids[r.ReportID] = true
	}
	return ids
}

// awaitConditionWithin is like awaitCondition, with the given timeout.
func (p *testSystem) awaitConditionWithin(timeout time.Duration, condition func() bool) {
	p.t.Helper()
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	p.t.Fatal("got no such event in time")
}

// TestFenceRequiresTokenOfLeaseRow calls Fence with the token of a lease that
// another process has since acquired.
func TestFenceRequiresTokenOfLeaseRow(t *testing.T) {
	var table peridottable.Memory
	row, err := json.Marshal(peridotlease.Row{Holder: "entry-1", Token: 2})
	if err != nil {
		t.Fatal(err)
	}
	version, err := table.Commit(t.Context(), peridottable.Txn{ID: "1", Puts: []peridottable.Put{{Key: peridotlease.RowKey(domain), Value: row}}})
	if err != nil {
		t.Fatal(err)
	}
	leases := usageLeases{store: &table}
	if check, err := leases.Fence(t.Context(), domain, 1); !peridotverdict.Is(err, peridotverdict.LeaseLost) {
		t.Errorf("token 1: got %v and the error %v, want the code LeaseLost", check, err)
	}
	check, err := leases.Fence(t.Context(), domain, 2)
	if want := (peridottable.Check{Key: peridotlease.RowKey(domain), Version: version}); err != nil || check != want {
		t.Errorf("token 2: got %v and the error %v, want %v", check, err, want)
	}
}

// TestGrantCanReportAfterReceiveTimeout acquires a lease and checks that the
// grant permits reports only after the receive timeout.
func TestGrantCanReportAfterReceiveTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		manager := peridotlease.NewManager(&peridottable.Memory{}, "entry-1", "n")
		manager.SetInstances([]string{"entry-1"})
		manager.SetShards([]string{domain})
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go manager.Serve(ctx)
		leases := usageLeases{manager: manager}
		got, ok := leases.Grant(domain)
		for tries := 0; !ok; tries++ {
			if tries == 60 {
				t.Fatal("got no lease within a minute, want it")
			}
			time.Sleep(time.Second)
			got, ok = leases.Grant(domain)
		}
		grant, _ := manager.Grant(domain)
		if got.CanReport || got.Token != grant.Token {
			t.Errorf("at once: got %+v, want the token %d and CanReport false", got, grant.Token)
		}
		reportAt := grant.AcquiredAt.Add(manager.Terms().Lengthen(reportReceiveTimeout))
		time.Sleep(time.Until(reportAt))
		if got, ok = leases.Grant(domain); !ok || got.CanReport {
			t.Errorf("at the timeout: got %+v (held %v), want CanReport false", got, ok)
		}
		time.Sleep(1)
		if got, ok = leases.Grant(domain); !ok || !got.CanReport {
			t.Errorf("after the timeout: got %+v (held %v), want CanReport true", got, ok)
		}
	})
}

// TestHolderSweepsExpiredRecords adds an expired record of a request. The lease
// holder must remove it.
func TestHolderSweepsExpiredRecords(t *testing.T) {
	t.Parallel()
	p := newTestSystem(t)
	store := peridotplatform.NewClient(p.platformAddress)
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
	p.awaitConditionWithin(reportTimeout, func() bool {
		row, err := store.Get(t.Context(), request.RowKey())
		return err == nil && row.Version == 0
	})
}
