package peridotusage

import (
	"context"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"peridotstack/peridottable"
	"peridotstack/peridotverdict"

	"peridotstack/peridotseed"
)

const (
	testShard = "kin-a"
	leaseRow  = "lease/" + testShard
	// receiveTimeout is the time after which the platform no longer accepts a report
	// that was sent to it.
	receiveTimeout = 5 * time.Second
)

// fault is a kind of failure that a simulation injects.
type fault int

const (
	agentKilled fault = iota
	entryKilled
	holderReplaced
	reportResponsesLost
	sendersFrozen
	storeDown
	storeResponsesLost
	storeCommitsLate
	partsLate
	readsStale
	faultCount
)

// event is a function to run at a simulated time.
type event struct {
	dueAt time.Time
	run   func()
}

// sentReport is a report that the platform accepted, with the fencing token of
// its sender.
type sentReport struct {
	sealed SealedWindow
	token  int64
}

// simulation is one shard with its counters, its collectors, the table service
// and the platform, on a simulated clock.
type simulation struct {
	t            *testing.T
	random       *rand.Rand
	now          time.Time
	events       []event
	activeFaults map[fault]bool
	// alwaysFault makes each active fault occur at every opportunity.
	alwaysFault bool
	table       peridottable.Memory
	tableDown   bool
	// partitioned is whether the counters can't reach the collector.
	partitioned bool
	// trafficEnd is when the requests and the failures of processes end.
	trafficEnd time.Time

	leaseToken      int64
	leaseVersion    int64
	leaseAcquiredAt time.Time
	collector       *Collector

	agents        []*Counter
	entries       []*Counter
	processStarts int
	// executed is the usage of the requests that the engines ran, by account and
	// window.
	executed map[string]map[Window]Figure
	// reports holds the reports that the platform accepted, in order.
	reports []sentReport
}

func newSimulation(t *testing.T, seed uint64, active ...fault) *simulation {
	sim := &simulation{
		t:            t,
		random:       rand.New(rand.NewPCG(seed, 2)),
		now:          time.Unix(1_800_000_000, 0),
		activeFaults: make(map[fault]bool),
		executed:     make(map[string]map[Window]Figure),
	}
	for _, f := range active {
		sim.activeFaults[f] = true
	}
	for range 3 {
		sim.agents = append(sim.agents, sim.newCounter("agent"))
	}
	for range 2 {
		sim.entries = append(sim.entries, sim.newCounter("entry"))
	}
	sim.replaceHolder()
	return sim
}

// newCounter returns the counter of a newly started process.
func (s *simulation) newCounter(role string) *Counter {
	s.processStarts++
	return NewCounter(Process{Instance: fmt.Sprint(role, "-", s.processStarts), Incarnation: fmt.Sprint(s.processStarts)}, 0)
}

// leaseView implements Leases for one process, given the lease row that it read
// last.
type leaseView struct {
	sim   *simulation
	token int64
	check peridottable.Check
}

func (v *leaseView) Grant(string) (Grant, bool) {
	canReport := v.sim.now.Sub(v.sim.leaseAcquiredAt) >= receiveTimeout
	return Grant{Token: v.token, CanReport: canReport}, v.token == v.sim.leaseToken
}

func (v *leaseView) Fence(context.Context, string, int64) (peridottable.Check, error) {
	if v.sim.tableDown {
		return peridottable.Check{}, peridotverdict.New(peridotverdict.StoreUnavailable, peridotverdict.NotRun, "down")
	}
	return v.check, nil
}

// replaceHolder makes a new process acquire the lease.
func (s *simulation) replaceHolder() {
	s.leaseToken++
	version, err := s.table.Commit(s.t.Context(), peridottable.Txn{Puts: []peridottable.Put{{Key: leaseRow}}})
	if err != nil {
		s.t.Fatal(err)
	}
	s.leaseAcquiredAt = s.now
	s.collector = &Collector{
		Shard:    testShard,
		Store:    &faultyStore{sim: s},
		Leases:   &leaseView{sim: s, token: s.leaseToken, check: peridottable.Check{Key: leaseRow, Version: version}},
		Reporter: &faultyReporter{sim: s, token: s.leaseToken},
	}
}

// scheduleEvent schedules run at d from now.
func (s *simulation) scheduleEvent(d time.Duration, run func()) {
	s.events = append(s.events, event{dueAt: s.now.Add(d), run: run})
}

// faultOccurs reports whether f is active and occurs now, which it does with a
// probability of percent, or always if alwaysFault is set.
func (s *simulation) faultOccurs(f fault, percent int) bool {
	return s.activeFaults[f] && (s.alwaysFault || s.random.IntN(100) < percent)
}

// randomDuration returns a random duration less than d.
func (s *simulation) randomDuration(d time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(d)))
}

// faultyStore is the table as one process sees it.
type faultyStore struct{ sim *simulation }

// responseLostError returns the error of a call whose response was lost.
func responseLostError() error {
	return peridotverdict.New(peridotverdict.StoreUnavailable, peridotverdict.MayHaveRun, "lost")
}

// outageError returns an error during an outage of the table service.
func (f *faultyStore) outageError() error {
	if f.sim.tableDown {
		return peridotverdict.New(peridotverdict.StoreUnavailable, peridotverdict.NotRun, "down")
	}
	return nil
}

func (f *faultyStore) Get(ctx context.Context, key string) (peridottable.Row, error) {
	if err := f.outageError(); err != nil {
		return peridottable.Row{}, err
	}
	return f.sim.table.Get(ctx, key)
}

func (f *faultyStore) Scan(ctx context.Context, r peridottable.Range) ([]peridottable.Row, error) {
	if err := f.outageError(); err != nil {
		return nil, err
	}
	rows, err := f.sim.table.Scan(ctx, r)
	if len(rows) > 0 && f.sim.faultOccurs(readsStale, 30) {
		rows = rows[:len(rows)-1] // The stale read misses the last row.
	}
	return rows, err
}

func (f *faultyStore) Commit(ctx context.Context, txn peridottable.Txn) (int64, error) {
	sim := f.sim
	if err := f.outageError(); err != nil {
		return 0, err
	}
	if len(txn.Puts) > 0 && sim.faultOccurs(storeCommitsLate, 20) {
		// The writer is frozen during the write; the commit arrives later.
		sim.scheduleEvent(sim.randomDuration(40*time.Second), func() { _, _ = sim.table.Commit(ctx, txn) })
		return 0, responseLostError()
	}
	version, err := sim.table.Commit(ctx, txn)
	if len(txn.Puts) > 0 && sim.hasTraffic() && sim.faultOccurs(holderReplaced, 5) {
		sim.replaceHolder() // Another process acquires the lease while this one is frozen.
	}
	if len(txn.Puts) > 0 && sim.faultOccurs(storeResponsesLost, 30) {
		return 0, responseLostError()
	}
	return version, err
}

// faultyReporter is the platform's usage interface as one process sees it.
type faultyReporter struct {
	sim   *simulation
	token int64
}

func (r *faultyReporter) Report(_ context.Context, s SealedWindow, confirm func() error) error {
	sim := r.sim
	if sim.hasTraffic() && sim.faultOccurs(holderReplaced, 10) {
		sim.replaceHolder() // Another process acquires the lease while this one is frozen.
	}
	if err := confirm(); err != nil {
		return err
	}
	if r.token != sim.leaseToken {
		sim.t.Errorf("report %s was sent by token %d after token %d took over", s.ReportID, r.token, sim.leaseToken)
	}
	if sim.faultOccurs(sendersFrozen, 30) {
		// The process is frozen between the confirmation and the send. The platform
		// rejects a report that arrives later than its receive timeout.
		if d := sim.randomDuration(2 * receiveTimeout); d < receiveTimeout {
			sim.scheduleEvent(d, func() { sim.reports = append(sim.reports, sentReport{sealed: s, token: r.token}) })
		}
		return responseLostError()
	}
	sim.reports = append(sim.reports, sentReport{sealed: s, token: r.token})
	if sim.faultOccurs(reportResponsesLost, 40) {
		return responseLostError()
	}
	return nil
}

// startRequest starts one request, which ends within a minute.
func (s *simulation) startRequest() {
	agent, entry := s.agents[s.random.IntN(len(s.agents))], s.entries[s.random.IntN(len(s.entries))]
	account := fmt.Sprint("account-", s.random.IntN(4))
	cell := Cell{Agent: agent.self, Window: WindowAt(s.now), Account: account}
	f := Figure{Requests: 1, PromptTokens: s.random.Int64N(1000), OutputTokens: s.random.Int64N(100)}
	s.scheduleEvent(s.randomDuration(time.Minute), func() {
		if !slices.Contains(s.agents, agent) {
			return // The request did not complete, because the agent was killed.
		}
		if s.executed[account] == nil {
			s.executed[account] = make(map[Window]Figure)
		}
		s.executed[account][cell.Window] = s.executed[account][cell.Window].Add(f)
		agent.Add(testShard, cell, f)
		if slices.Contains(s.entries, entry) {
			entry.Add(testShard, cell, f)
		}
	})
}

// hasTraffic reports whether requests and failures of processes still occur.
func (s *simulation) hasTraffic() bool {
	return s.now.Before(s.trafficEnd)
}

// handOver makes each counter hand over its figures to the collector.
func (s *simulation) handOver() {
	if s.partitioned {
		return
	}
	for _, c := range slices.Concat(s.agents, s.entries) {
		_ = c.HandOver(s.t.Context(), testShard, s) // The next call retries after an error.
	}
}

// Deliver implements Receiver for the collector that holds the shard.
func (s *simulation) Deliver(_ context.Context, _ string, parts []byte) (Receipt, error) {
	return s.collector.MergeEncoded(parts)
}

// tick simulates one second and schedules the next tick until end.
func (s *simulation) tick(end time.Time) {
	if s.hasTraffic() {
		s.startRequest()
		s.injectFaults()
	}
	if s.now.Unix()%10 == 0 {
		s.handOver()
	}
	if s.now.Unix()%5 == 0 {
		_ = s.collector.Step(s.t.Context(), s.now) // The next Step retries after an error.
	}
	if s.now.Before(end) {
		s.scheduleEvent(time.Second, func() { s.tick(end) })
	}
}

// injectFaults injects the failures of processes and connections.
func (s *simulation) injectFaults() {
	if s.faultOccurs(agentKilled, 1) {
		s.agents[s.random.IntN(len(s.agents))] = s.newCounter("agent")
	}
	if s.faultOccurs(entryKilled, 1) {
		s.entries[s.random.IntN(len(s.entries))] = s.newCounter("entry")
	}
	if s.faultOccurs(holderReplaced, 2) {
		s.replaceHolder()
	}
	if s.faultOccurs(storeDown, 1) && !s.tableDown {
		s.tableDown = true
		s.scheduleEvent(s.randomDuration(4*time.Minute), func() { s.tableDown = false })
	}
	if s.faultOccurs(partsLate, 1) && !s.partitioned {
		s.partitioned = true
		s.scheduleEvent(s.randomDuration(4*time.Minute), func() { s.partitioned = false })
	}
}

// runSchedule simulates five minutes of traffic and then twelve minutes without
// new requests or failures of processes, in which all reports are sent.
func runSchedule(t *testing.T, seed uint64, active ...fault) *simulation {
	sim := newSimulation(t, seed, active...)
	sim.trafficEnd = sim.now.Add(5 * time.Minute)
	sim.tick(sim.trafficEnd.Add(12 * time.Minute))
	sim.runEvents()
	return sim
}

// runEvents runs all scheduled events in the order of their times.
func (s *simulation) runEvents() {
	for len(s.events) > 0 {
		next := 0
		for i := range s.events {
			if s.events[i].dueAt.Before(s.events[next].dueAt) {
				next = i
			}
		}
		e := s.events[next]
		s.events = slices.Delete(s.events, next, next+1)
		s.now = e.dueAt
		e.run()
	}
}

// checkReportLog checks the invariants of the accepted reports: the fencing
// tokens of the senders never decrease, a repeated report has the same lines, and
// each line is in only one report.
func (s *simulation) checkReportLog() {
	s.t.Helper()
	linesByReport := make(map[string][]Line)
	reportByLine := make(map[string]string)
	newestToken := int64(0)
	for _, r := range s.reports {
		if r.token < newestToken {
			s.t.Errorf("report %s of token %d was accepted after one of token %d", r.sealed.ReportID, r.token, newestToken)
		}
		newestToken = max(newestToken, r.token)
		first, isRepeat := linesByReport[r.sealed.ReportID]
		if isRepeat && !reflect.DeepEqual(first, r.sealed.Lines) {
			s.t.Errorf("report %s was accepted with different lines:\n%v\n%v", r.sealed.ReportID, first, r.sealed.Lines)
		}
		linesByReport[r.sealed.ReportID] = r.sealed.Lines
		for _, line := range r.sealed.Lines {
			if reportID, ok := reportByLine[line.ID]; ok && reportID != r.sealed.ReportID {
				s.t.Errorf("line %s is in the reports %s and %s", line.ID, reportID, r.sealed.ReportID)
			}
			reportByLine[line.ID] = r.sealed.ReportID
		}
	}
}

// reportedSums returns the sums of the reported lines by account and window. Each
// line counts once.
func (s *simulation) reportedSums() map[string]map[Window]Figure {
	seen := make(map[string]bool)
	sums := make(map[string]map[Window]Figure)
	for _, r := range s.reports {
		for _, line := range r.sealed.Lines {
			if seen[line.ID] {
				continue
			}
			seen[line.ID] = true
			if sums[line.Account] == nil {
				sums[line.Account] = make(map[Window]Figure)
			}
			sums[line.Account][line.For] = sums[line.Account][line.For].Add(line.Figure)
		}
	}
	return sums
}

// checkSums compares the reported usage with that of the requests that the
// engines ran. If exact is not set, the reported usage may be less, but never
// more.
func (s *simulation) checkSums(exact bool) {
	s.t.Helper()
	got := s.reportedSums()
	if exact && !reflect.DeepEqual(got, s.executed) {
		s.t.Errorf("got reported usage %v, want %v", got, s.executed)
	}
	for account, windows := range got {
		for number, f := range windows {
			if more := f.IncreaseSince(s.executed[account][number]); more != (Figure{}) {
				s.t.Errorf("%s window %d: got reported usage %v, want at most %v", account, number, f, s.executed[account][number])
			}
		}
	}
}

// newQuietSimulation returns a simulation without random faults, in which the
// first agent and the first entry instance have counted the same request of the
// current window. It also returns the cell and the figure of the request.
func newQuietSimulation(t *testing.T) (sim *simulation, cell Cell, f Figure) {
	t.Helper()
	sim = newSimulation(t, 0)
	cell = Cell{Agent: sim.agents[0].self, Window: WindowAt(sim.now), Account: "port-royal"}
	f = Figure{Requests: 1, PromptTokens: 70, OutputTokens: 16}
	sim.addRequest(cell, f)
	return sim, cell, f
}

// addRequest counts a request at the first agent and the first entry instance.
func (s *simulation) addRequest(cell Cell, f Figure) {
	s.executed[cell.Account] = map[Window]Figure{cell.Window: s.executed[cell.Account][cell.Window].Add(f)}
	s.agents[0].Add(testShard, cell, f)
	s.entries[0].Add(testShard, cell, f)
}

// advancePastReport advances the simulation until a window that ends now has been
// reported.
func (s *simulation) advancePastReport() {
	s.tick(s.now.Add(2*WindowLength + sealDelay))
	s.runEvents()
}

// checkReports checks that all usage was reported exactly, in the wanted number
// of accepted reports.
func (s *simulation) checkReports(want int) {
	s.t.Helper()
	s.checkReportLog()
	s.checkSums(true)
	if got := len(s.reports); got != want {
		s.t.Errorf("the platform accepted %d reports, want %d", got, want)
	}
}

func TestAgentKilledWithUnsavedFigures(t *testing.T) {
	sim, _, _ := newQuietSimulation(t)
	sim.agents[0] = sim.newCounter("agent")
	sim.advancePastReport()
	sim.checkReports(1)
}

func TestEntryKilledWithUnsavedFigures(t *testing.T) {
	sim, _, _ := newQuietSimulation(t)
	sim.entries[0] = sim.newCounter("entry")
	sim.advancePastReport()
	sim.checkReports(1)
}

// TestBothKilledAfterCheckpoint kills the agent and the entry instance and
// replaces the holder, so that only the checkpoint still contains the figures.
func TestBothKilledAfterCheckpoint(t *testing.T) {
	sim, _, _ := newQuietSimulation(t)
	sim.tick(sim.now.Add(25 * time.Second))
	sim.runEvents()
	sim.agents[0], sim.entries[0] = sim.newCounter("agent"), sim.newCounter("entry")
	sim.replaceHolder()
	sim.advancePastReport()
	sim.checkReports(1)
}

func TestLatePartsAreReportedAsCorrection(t *testing.T) {
	sim, cell, f := newQuietSimulation(t)
	sim.advancePastReport()
	sim.addRequest(cell, f)
	sim.replaceHolder()
	sim.advancePastReport()
	sim.checkReports(2)
	got := sim.reports[1].sealed
	if got.Window <= cell.Window || len(got.Lines) != 1 || got.Lines[0].For != cell.Window || got.Lines[0].Figure != f {
		t.Errorf("got second report %+v, want a correction of window %d by %v", got, cell.Window, f)
	}
}

func TestReportResponseLost(t *testing.T) {
	sim, _, _ := newQuietSimulation(t)
	sim.activeFaults[reportResponsesLost], sim.alwaysFault = true, true
	sim.advancePastReport()
	if got := len(sim.reports); got < 2 {
		t.Errorf("the platform accepted %d reports, want at least 2", got)
	}
	sim.activeFaults[reportResponsesLost] = false
	sim.advancePastReport()
	sim.checkReportLog()
	sim.checkSums(true)
}

// TestHolderReplacedBetweenSealAndSend replaces the holder between the seal of a
// window and its report. Figures that arrive in between must not enter the report
// of the sealed window.
func TestHolderReplacedBetweenSealAndSend(t *testing.T) {
	sim, cell, f := newQuietSimulation(t)
	sim.handOver()
	stepAt := func(at time.Time) {
		sim.now = at
		_ = sim.collector.Step(t.Context(), at)
	}
	stepAt(sim.now)
	sim.handOver()
	oldCollector := sim.collector
	oldCollector.Reporter = hookedReporter{Reporter: oldCollector.Reporter, beforeReport: sim.replaceHolder}
	stepAt(cell.Window.End().Add(sealDelay))
	sim.addRequest(cell, f)
	sim.advancePastReport()
	_ = oldCollector.Step(t.Context(), sim.now)
	sim.advancePastReport()
	sim.checkReports(2)
}

// hookedReporter calls beforeReport before each report, as if the process were
// frozen at that point.
type hookedReporter struct {
	Reporter
	beforeReport func()
}

func (r hookedReporter) Report(ctx context.Context, s SealedWindow, confirm func() error) error {
	r.beforeReport()
	return r.Reporter.Report(ctx, s, confirm)
}

// TestFrozenSendEndsBeforeTheNextHolderSends freezes a holder after it has
// confirmed its lease and before its report arrives. The next holder must not
// send while the earlier report can still arrive.
func TestFrozenSendEndsBeforeTheNextHolderSends(t *testing.T) {
	sim, cell, _ := newQuietSimulation(t)
	_ = sim.collector.Step(t.Context(), sim.now)
	sim.handOver()
	sim.now = cell.Window.End().Add(sealDelay)
	sim.activeFaults[sendersFrozen], sim.alwaysFault = true, true
	for len(sim.events) == 0 {
		_ = sim.collector.Step(t.Context(), sim.now)
	}
	sim.activeFaults[sendersFrozen] = false
	sim.replaceHolder()
	_ = sim.collector.Step(t.Context(), sim.now)
	if got := len(sim.reports); got != 0 {
		t.Errorf("the platform accepted %d reports while an earlier one was in flight, want 0", got)
	}
	sim.advancePastReport()
	sim.checkReportLog()
	sim.checkSums(true)
}

// TestTwoHoldersSealOnce checks that a window is sealed once when the seal of a
// frozen holder reaches the table service after a takeover.
func TestTwoHoldersSealOnce(t *testing.T) {
	sim, cell, f := newQuietSimulation(t)
	_ = sim.collector.Step(t.Context(), sim.now)
	sim.handOver()
	oldCollector := sim.collector
	sim.now = cell.Window.End().Add(sealDelay)
	sim.activeFaults[storeCommitsLate], sim.alwaysFault = true, true
	_ = oldCollector.Step(t.Context(), sim.now)
	sim.activeFaults[storeCommitsLate] = false
	if len(sim.events) != 1 {
		t.Fatalf("got %d commits in flight, want 1, the seal", len(sim.events))
	}
	sim.addRequest(cell, f)
	sim.replaceHolder()
	sim.advancePastReport()
	sim.checkReports(1)
}

// mayLoseFigures reports whether a schedule with the faults a and b may kill both
// processes that counted a figure before either has handed it over.
func mayLoseFigures(a, b fault) bool {
	return a == agentKilled && b == entryKilled
}

// TestNewCollectorGetsAllFigures checks that figures confirmed by one collector
// are handed over again to the next.
func TestNewCollectorGetsAllFigures(t *testing.T) {
	sim, cell, f := newQuietSimulation(t)
	_ = sim.collector.Step(t.Context(), sim.now)
	sim.handOver()
	sim.replaceHolder()
	_ = sim.collector.Step(t.Context(), sim.now)
	other := cell
	other.Account = "ocho-rios"
	sim.agents[0].Add(testShard, other, f)
	sim.handOver()
	if got := len(sim.collector.ledger.UnsealedParts()); got != 2 {
		t.Errorf("the new collector has %d figures, want 2", got)
	}
	if got := len(sim.agents[0].Parts(testShard, sim.leaseToken, 10)); got != 0 {
		t.Errorf("the agent has %d figures left to hand over, want 0", got)
	}
}

func TestReportsUnderFaults(t *testing.T) {
	// Each seed runs its share of the single faults and pairs of faults.
	const shares = 28
	for seed := range peridotseed.Count(t, peridotseed.DefaultCount) {
		number := uint64(0)
		for a := range faultCount {
			for b := a; b < faultCount; b++ {
				number++
				if number%shares != seed%shares {
					continue
				}
				sim := runSchedule(t, uint64(seed), a, b)
				sim.checkReportLog()
				sim.checkSums(!mayLoseFigures(a, b))
				if t.Failed() {
					t.Fatalf("seed %d faults %d and %d", seed, a, b)
				}
			}
		}
	}
}
