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
	// grace is how long after a takeover nothing of the old holder can arrive.
	grace = 5 * time.Second
)

// fault is one kind of failure that a schedule brings about.
type fault int

const (
	agentKilled fault = iota
	entryKilled
	holderReplaced
	reportAnswersLost
	sendersFrozen
	storeDown
	storeAnswersLost
	storeCommitsLate
	partsLate
	readsStale
	faults
)

// happening is something due at a time.
type happening struct {
	at  time.Time
	run func()
}

// sent is one report as the platform took it.
type sent struct {
	sealed Sealed
	token  int64
}

// world is one shard with its counters, its collectors and the platform.
type world struct {
	t      *testing.T
	random *rand.Rand
	now    time.Time
	due    []happening
	active map[fault]bool
	// always makes active faults strike each time.
	always bool
	table  peridottable.Memory
	down   bool
	// cut is set while no counter reaches a collector.
	cut bool
	// busyEnd is when traffic and the failures of processes end.
	busyEnd time.Time

	token     int64
	version   int64
	takenAt   time.Time
	collector *Collector

	agents  []*Counter
	entries []*Counter
	starts  int
	// ran is what the engines ran, by account and window.
	ran map[string]map[Window]Figure
	// log is what the platform took.
	log []sent
}

func newWorld(t *testing.T, seed uint64, active ...fault) *world {
	w := &world{
		t:      t,
		random: rand.New(rand.NewPCG(seed, 2)),
		now:    time.Unix(1_800_000_000, 0),
		active: make(map[fault]bool),
		ran:    make(map[string]map[Window]Figure),
	}
	for _, f := range active {
		w.active[f] = true
	}
	for range 3 {
		w.agents = append(w.agents, w.counter("agent"))
	}
	for range 2 {
		w.entries = append(w.entries, w.counter("entry"))
	}
	w.replaceHolder()
	return w
}

func (w *world) counter(role string) *Counter {
	w.starts++
	return NewCounter(Process{Instance: fmt.Sprint(role, "-", w.starts), Incarnation: fmt.Sprint(w.starts)}, 0)
}

// view is what one process knows of its lease.
type view struct {
	w     *world
	token int64
	check peridottable.Check
}

func (v *view) Hold(string) (Hold, bool) {
	quiet := v.w.now.Sub(v.w.takenAt) >= grace
	return Hold{Token: v.token, Quiet: quiet}, v.token == v.w.token
}

func (v *view) Fence(context.Context, string, int64) (peridottable.Check, error) {
	if v.w.down {
		return peridottable.Check{}, peridotverdict.New(peridotverdict.StoreUnavailable, peridotverdict.NotRun, "down")
	}
	return v.check, nil
}

// replaceHolder lets another process take the lease over.
func (w *world) replaceHolder() {
	w.token++
	version, err := w.table.Commit(w.t.Context(), peridottable.Txn{Puts: []peridottable.Put{{Key: leaseRow}}})
	if err != nil {
		w.t.Fatal(err)
	}
	w.takenAt = w.now
	w.collector = &Collector{
		Shard:     testShard,
		Store:     &faultyStore{w: w},
		Authority: &view{w: w, token: w.token, check: peridottable.Check{Key: leaseRow, Version: version}},
		Reporter:  &faultyReporter{w: w, token: w.token},
	}
}

func (w *world) after(d time.Duration, run func()) {
	w.due = append(w.due, happening{at: w.now.Add(d), run: run})
}

// chance reports whether a fault strikes now.
func (w *world) chance(f fault, percent int) bool {
	return w.active[f] && (w.always || w.random.IntN(100) < percent)
}

func (w *world) some(d time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(d)))
}

// faultyStore is the table as one process sees it.
type faultyStore struct{ w *world }

func lost() error {
	return peridotverdict.New(peridotverdict.StoreUnavailable, peridotverdict.MayHaveRun, "lost")
}

func (s *faultyStore) failed() error {
	if s.w.down {
		return peridotverdict.New(peridotverdict.StoreUnavailable, peridotverdict.NotRun, "down")
	}
	return nil
}

func (s *faultyStore) Get(ctx context.Context, key string) (peridottable.Row, error) {
	if err := s.failed(); err != nil {
		return peridottable.Row{}, err
	}
	return s.w.table.Get(ctx, key)
}

func (s *faultyStore) Scan(ctx context.Context, r peridottable.Range) ([]peridottable.Row, error) {
	if err := s.failed(); err != nil {
		return nil, err
	}
	rows, err := s.w.table.Scan(ctx, r)
	if len(rows) > 0 && s.w.chance(readsStale, 30) {
		rows = rows[:len(rows)-1] // The newest row is not seen yet.
	}
	return rows, err
}

func (s *faultyStore) Commit(ctx context.Context, t peridottable.Txn) (int64, error) {
	w := s.w
	if err := s.failed(); err != nil {
		return 0, err
	}
	if len(t.Puts) > 0 && w.chance(storeCommitsLate, 20) {
		// The writer is frozen in mid-write; the commit lands when it can.
		w.after(w.some(40*time.Second), func() { _, _ = w.table.Commit(ctx, t) })
		return 0, lost()
	}
	version, err := w.table.Commit(ctx, t)
	if len(t.Puts) > 0 && w.busy() && w.chance(holderReplaced, 5) {
		w.replaceHolder() // This process is frozen meanwhile and wakes here.
	}
	if len(t.Puts) > 0 && w.chance(storeAnswersLost, 30) {
		return 0, lost()
	}
	return version, err
}

// faultyReporter is the platform's usage interface as one process sees it.
type faultyReporter struct {
	w     *world
	token int64
}

func (r *faultyReporter) Report(_ context.Context, s Sealed, confirm func() error) error {
	w := r.w
	if w.busy() && w.chance(holderReplaced, 10) {
		w.replaceHolder() // This process is frozen meanwhile and wakes here.
	}
	if err := confirm(); err != nil {
		return err
	}
	if r.token != w.token {
		w.t.Errorf("report %s was sent by token %d after token %d took over", s.ReportID, r.token, w.token)
	}
	if w.chance(sendersFrozen, 30) {
		// Frozen between the confirmation and the send. The platform takes nothing
		// that comes later than its receive timeout.
		if d := w.some(2 * grace); d < grace {
			w.after(d, func() { w.log = append(w.log, sent{sealed: s, token: r.token}) })
		}
		return lost()
	}
	w.log = append(w.log, sent{sealed: s, token: r.token})
	if w.chance(reportAnswersLost, 40) {
		return lost()
	}
	return nil
}

// request runs one request; it ends within a minute of its start.
func (w *world) request() {
	agent, entry := w.agents[w.random.IntN(len(w.agents))], w.entries[w.random.IntN(len(w.entries))]
	account := fmt.Sprint("account-", w.random.IntN(4))
	cell := Cell{Agent: agent.self, Window: WindowAt(w.now), Account: account}
	f := Figure{Requests: 1, PromptTokens: w.random.Int64N(1000), OutputTokens: w.random.Int64N(100)}
	w.after(w.some(time.Minute), func() {
		if !slices.Contains(w.agents, agent) {
			return // It never ended: the agent was killed before.
		}
		if w.ran[account] == nil {
			w.ran[account] = make(map[Window]Figure)
		}
		w.ran[account][cell.Window] = w.ran[account][cell.Window].Add(f)
		agent.Add(testShard, cell, f)
		if slices.Contains(w.entries, entry) {
			entry.Add(testShard, cell, f)
		}
	})
}

func (w *world) busy() bool {
	return w.now.Before(w.busyEnd)
}

// handOver lets each counter hand its figures to the collector.
func (w *world) handOver() {
	if w.cut {
		return
	}
	for _, c := range slices.Concat(w.agents, w.entries) {
		_ = c.HandOver(w.t.Context(), testShard, w) // The next one goes on.
	}
}

// Take brings parts to the collector that holds the shard.
func (w *world) Take(_ context.Context, _ string, parts []byte) (Receipt, error) {
	return w.collector.TakeEncoded(parts)
}

// tick is one second of the world.
func (w *world) tick(end time.Time) {
	if w.busy() {
		w.request()
		w.strike()
	}
	if w.now.Unix()%10 == 0 {
		w.handOver()
	}
	if w.now.Unix()%5 == 0 {
		_ = w.collector.Step(w.t.Context(), w.now) // The next Step goes on.
	}
	if w.now.Before(end) {
		w.after(time.Second, func() { w.tick(end) })
	}
}

// strike brings about the failures of processes and connections.
func (w *world) strike() {
	if w.chance(agentKilled, 1) {
		w.agents[w.random.IntN(len(w.agents))] = w.counter("agent")
	}
	if w.chance(entryKilled, 1) {
		w.entries[w.random.IntN(len(w.entries))] = w.counter("entry")
	}
	if w.chance(holderReplaced, 2) {
		w.replaceHolder()
	}
	if w.chance(storeDown, 1) && !w.down {
		w.down = true
		w.after(w.some(4*time.Minute), func() { w.down = false })
	}
	if w.chance(partsLate, 1) && !w.cut {
		w.cut = true
		w.after(w.some(4*time.Minute), func() { w.cut = false })
	}
}

// schedule runs traffic for five minutes and lets all reports go out after it.
func schedule(t *testing.T, seed uint64, active ...fault) *world {
	w := newWorld(t, seed, active...)
	w.busyEnd = w.now.Add(5 * time.Minute)
	w.tick(w.busyEnd.Add(12 * time.Minute))
	w.play()
	return w
}

// play lets all happenings come in the order of their times.
func (w *world) play() {
	for len(w.due) > 0 {
		first := 0
		for i := range w.due {
			if w.due[i].at.Before(w.due[first].at) {
				first = i
			}
		}
		h := w.due[first]
		w.due = slices.Delete(w.due, first, first+1)
		w.now = h.at
		h.run()
	}
}

// checkLog checks what must hold whatever happens.
func (w *world) checkLog() {
	w.t.Helper()
	figures := make(map[string][]Line)
	lines := make(map[string]string)
	newest := int64(0)
	for _, s := range w.log {
		if s.token < newest {
			w.t.Errorf("report %s of token %d came after one of token %d", s.sealed.ReportID, s.token, newest)
		}
		newest = max(newest, s.token)
		first, repeated := figures[s.sealed.ReportID]
		if repeated && !reflect.DeepEqual(first, s.sealed.Lines) {
			w.t.Errorf("report %s came with different figures:\n%v\n%v", s.sealed.ReportID, first, s.sealed.Lines)
		}
		figures[s.sealed.ReportID] = s.sealed.Lines
		for _, line := range s.sealed.Lines {
			if in, ok := lines[line.ID]; ok && in != s.sealed.ReportID {
				w.t.Errorf("line %s is in the reports %s and %s", line.ID, in, s.sealed.ReportID)
			}
			lines[line.ID] = s.sealed.ReportID
		}
	}
}

// reported sums the lines of the reports, each counted once.
func (w *world) reported() map[string]map[Window]Figure {
	seen := make(map[string]bool)
	sums := make(map[string]map[Window]Figure)
	for _, s := range w.log {
		for _, line := range s.sealed.Lines {
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

// checkSums compares the reports with what the engines ran. With exact unset
// they may fall short but must not exceed.
func (w *world) checkSums(exact bool) {
	w.t.Helper()
	got := w.reported()
	if exact && !reflect.DeepEqual(got, w.ran) {
		w.t.Errorf("got reports %v, want what ran %v", got, w.ran)
	}
	for account, windows := range got {
		for number, f := range windows {
			if more := f.Since(w.ran[account][number]); more != (Figure{}) {
				w.t.Errorf("%s window %d: reported %v, ran %v", account, number, f, w.ran[account][number])
			}
		}
	}
}

// quiet returns a world without random faults, a counter of an agent and one of
// an entry instance with the same request of the present window, and its cell.
func quiet(t *testing.T) (w *world, cell Cell, f Figure) {
	t.Helper()
	w = newWorld(t, 0)
	cell = Cell{Agent: w.agents[0].self, Window: WindowAt(w.now), Account: "port-royal"}
	f = Figure{Requests: 1, PromptTokens: 70, OutputTokens: 16}
	w.use(cell, f)
	return w, cell, f
}

// use counts a request at the first agent and the first entry instance.
func (w *world) use(cell Cell, f Figure) {
	w.ran[cell.Account] = map[Window]Figure{cell.Window: w.ran[cell.Account][cell.Window].Add(f)}
	w.agents[0].Add(testShard, cell, f)
	w.entries[0].Add(testShard, cell, f)
}

// pass lets time pass until a window that ends now would be reported.
func (w *world) pass() {
	w.tick(w.now.Add(2*WindowLength + settleTime))
	w.play()
}

func (w *world) checkReports(want int) {
	w.t.Helper()
	w.checkLog()
	w.checkSums(true)
	if got := len(w.log); got != want {
		w.t.Errorf("the platform took %d reports, want %d", got, want)
	}
}

func TestAgentKilledWithUnsavedFigures(t *testing.T) {
	w, _, _ := quiet(t)
	w.agents[0] = w.counter("agent")
	w.pass()
	w.checkReports(1)
}

func TestEntryKilledWithUnsavedFigures(t *testing.T) {
	w, _, _ := quiet(t)
	w.entries[0] = w.counter("entry")
	w.pass()
	w.checkReports(1)
}

// TestBothKilledAfterCheckpoint also replaces the holder, so that only the
// checkpoint has the figures.
func TestBothKilledAfterCheckpoint(t *testing.T) {
	w, _, _ := quiet(t)
	w.tick(w.now.Add(25 * time.Second))
	w.play()
	w.agents[0], w.entries[0] = w.counter("agent"), w.counter("entry")
	w.replaceHolder()
	w.pass()
	w.checkReports(1)
}

func TestLatePartsAreReportedAsCorrection(t *testing.T) {
	w, cell, f := quiet(t)
	w.pass()
	w.use(cell, f)
	w.replaceHolder()
	w.pass()
	w.checkReports(2)
	got := w.log[1].sealed
	if got.Window <= cell.Window || len(got.Lines) != 1 || got.Lines[0].For != cell.Window || got.Lines[0].Figure != f {
		t.Errorf("got second report %+v, want a correction of window %d by %v", got, cell.Window, f)
	}
}

func TestReportAnswerLost(t *testing.T) {
	w, _, _ := quiet(t)
	w.active[reportAnswersLost], w.always = true, true
	w.pass()
	if got := len(w.log); got < 2 {
		t.Errorf("the platform took %d reports, want repeats", got)
	}
	w.active[reportAnswersLost] = false
	w.pass()
	w.checkLog()
	w.checkSums(true)
}

// TestHolderReplacedBetweenSealAndSend lets more figures come in as well, which
// must not get into the report of the sealed window.
func TestHolderReplacedBetweenSealAndSend(t *testing.T) {
	w, cell, f := quiet(t)
	w.handOver()
	step := func(at time.Time) {
		w.now = at
		_ = w.collector.Step(t.Context(), at)
	}
	step(w.now)
	w.handOver()
	old := w.collector
	old.Reporter = reporterFunc{Reporter: old.Reporter, before: w.replaceHolder}
	step(cell.Window.End().Add(settleTime))
	w.use(cell, f)
	w.pass()
	_ = old.Step(t.Context(), w.now)
	w.pass()
	w.checkReports(2)
}

// reporterFunc runs before each report, as if the process were frozen there.
type reporterFunc struct {
	Reporter
	before func()
}

func (r reporterFunc) Report(ctx context.Context, s Sealed, confirm func() error) error {
	r.before()
	return r.Reporter.Report(ctx, s, confirm)
}

// TestFrozenSendEndsBeforeTheNextHolderSends freezes a holder after it confirmed
// its lease; its report arrives while another process holds the shard.
func TestFrozenSendEndsBeforeTheNextHolderSends(t *testing.T) {
	w, cell, _ := quiet(t)
	_ = w.collector.Step(t.Context(), w.now)
	w.handOver()
	w.now = cell.Window.End().Add(settleTime)
	w.active[sendersFrozen], w.always = true, true
	for len(w.due) == 0 {
		_ = w.collector.Step(t.Context(), w.now)
	}
	w.active[sendersFrozen] = false
	w.replaceHolder()
	_ = w.collector.Step(t.Context(), w.now)
	if got := len(w.log); got != 0 {
		t.Errorf("the platform took %d reports while an earlier one was under way, want 0", got)
	}
	w.pass()
	w.checkLog()
	w.checkSums(true)
}

// TestTwoHoldersSealOnce lets a frozen holder's seal land after a takeover.
func TestTwoHoldersSealOnce(t *testing.T) {
	w, cell, f := quiet(t)
	_ = w.collector.Step(t.Context(), w.now)
	w.handOver()
	old := w.collector
	w.now = cell.Window.End().Add(settleTime)
	w.active[storeCommitsLate], w.always = true, true
	_ = old.Step(t.Context(), w.now)
	w.active[storeCommitsLate] = false
	if len(w.due) != 1 {
		t.Fatalf("got %d commits under way, want the seal", len(w.due))
	}
	w.use(cell, f)
	w.replaceHolder()
	w.pass()
	w.checkReports(1)
}

// losesBoth reports whether a schedule may kill both counters of a figure
// before either has handed it over.
func losesBoth(a, b fault) bool {
	return a == agentKilled && b == entryKilled
}

// TestNewCollectorGetsEverything makes sure that a receipt of one collector does
// not keep figures from the next.
func TestNewCollectorGetsEverything(t *testing.T) {
	w, cell, f := quiet(t)
	_ = w.collector.Step(t.Context(), w.now)
	w.handOver()
	w.replaceHolder()
	_ = w.collector.Step(t.Context(), w.now)
	other := cell
	other.Account = "ocho-rios"
	w.agents[0].Add(testShard, other, f)
	w.handOver()
	if got := len(w.collector.ledger.Open()); got != 2 {
		t.Errorf("the new collector has %d figures, want 2", got)
	}
	if got := len(w.agents[0].Parts(testShard, w.token, 10)); got != 0 {
		t.Errorf("the agent has %d figures left to hand over, want 0", got)
	}
}

func TestReportsUnderFaults(t *testing.T) {
	// Each seed takes its share of the faults and pairs of faults.
	const shares = 28
	for seed := range peridotseed.Count(t, peridotseed.Usual) {
		number := uint64(0)
		for a := range faults {
			for b := a; b < faults; b++ {
				number++
				if number%shares != seed%shares {
					continue
				}
				w := schedule(t, uint64(seed), a, b)
				w.checkLog()
				w.checkSums(!losesBoth(a, b))
				if t.Failed() {
					t.Fatalf("seed %d faults %d and %d", seed, a, b)
				}
			}
		}
	}
}
