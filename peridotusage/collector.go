package peridotusage

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"peridotstack/peridottable"
	"peridotstack/peridotverdict"
)

const (
	sealedPrefix = "usage/"
	cellsPrefix  = "usagecells/"
	// duePrefix starts the rows that mark windows whose report is not confirmed.
	duePrefix  = "usagedue/"
	openPrefix = "usageopen/"
	// checkpointInterval parts two commits of the figures not yet sealed.
	checkpointInterval = 10 * time.Second
	// reloadInterval bounds how long a row stays unseen that a stale read missed.
	reloadInterval = 5 * time.Minute
	scanRows       = 100
)

// Hold is a process's authority over a shard.
type Hold struct {
	// Token is the fencing token of the lease.
	Token int64
	// Quiet is set once nothing that an earlier holder sent can still be taken by
	// a receiver: the lease has been held for longer than the receiver's timeout.
	Quiet bool
}

// Authority tells who holds a shard. It must be safe for concurrent use.
type Authority interface {
	// Hold returns this process's authority over a shard at this moment, and false
	// when it has none. It does not ask the table service, so that figures
	// survive its outage.
	Hold(shard string) (Hold, bool)
	// Fence returns the check that makes a commit fail unless the lease row still
	// has the given token. It may come from a stale read.
	Fence(ctx context.Context, shard string, token int64) (peridottable.Check, error)
}

// Reporter is the platform's interface for usage reports.
type Reporter interface {
	// Report sends the lines of a sealed window. It calls confirm when the
	// receiver is ready and the report is about to go out, and sends nothing when
	// confirm fails. An error with the verdict MayHaveRun means that the report
	// may have been taken.
	Report(ctx context.Context, s Sealed, confirm func() error) error
}

// Receipt confirms parts.
type Receipt struct {
	// Token is that of the collector; another collector needs all parts again.
	Token int64
	// Floor is the first window whose figures must still be kept.
	Floor Window
}

// Collector seals and reports the windows of one shard while its process holds
// the shard. Set its exported fields before use; it is safe for concurrent use.
type Collector struct {
	Shard     string
	Store     peridottable.Store
	Authority Authority
	Reporter  Reporter

	// stepping lets one Step run at a time.
	stepping sync.Mutex
	// unreported are the sealed rows to report.
	unreported map[Window]sealedRow
	// ready is when all counters must have handed their figures over.
	ready        time.Time
	loaded       bool
	reloadAt     time.Time
	checkpointAt time.Time
	// fence is the check of the lease row that all commits of a Step carry.
	fence   peridottable.Check
	commits int

	// mu guards ledger and token.
	mu     sync.Mutex
	ledger *Ledger
	token  int64
}

// sealedRow is a sealed window and the version of its row.
type sealedRow struct {
	sealed  Sealed
	version int64
}

// openRow is the value of the row of figures not yet sealed.
type openRow struct {
	Floor Window
	Parts []Part
}

// Take merges parts. It fails with the code LeaseLost and the verdict NotRun in
// a process that does not hold the shard.
func (c *Collector) Take(parts []Part) (Receipt, error) {
	hold, ok := c.Authority.Hold(c.Shard)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !ok || c.ledger == nil || hold.Token != c.token {
		return Receipt{}, leaseLost()
	}
	c.ledger.Take(parts)
	return Receipt{Token: c.token, Floor: c.ledger.Floor()}, nil
}

// Step does what is due at a wall-clock time: it loads what an earlier holder
// left, seals, checkpoints and reports. It is to be called every few seconds. An
// error is temporary; the next Step goes on.
func (c *Collector) Step(ctx context.Context, now time.Time) error {
	c.stepping.Lock()
	defer c.stepping.Unlock()
	hold, ok := c.Authority.Hold(c.Shard)
	if !ok {
		c.drop()
		return nil
	}
	c.begin(hold, now)
	fence, err := c.Authority.Fence(ctx, c.Shard, hold.Token)
	if err != nil {
		return err
	}
	c.fence = fence
	if !c.loaded || !now.Before(c.reloadAt) {
		if err := c.load(ctx); err != nil {
			return err
		}
		c.loaded = true
		c.reloadAt = now.Add(reloadInterval)
	}
	if err := c.seal(ctx, hold, now); err != nil {
		c.loaded = false // What took effect is read back.
		return err
	}
	if err := c.checkpoint(ctx, hold, now); err != nil {
		return err
	}
	return c.report(ctx, hold)
}

// Save commits the figures not yet sealed ahead of time, for a process that is
// about to give its lease back.
func (c *Collector) Save(ctx context.Context, now time.Time) error {
	c.stepping.Lock()
	defer c.stepping.Unlock()
	hold, ok := c.Authority.Hold(c.Shard)
	if !ok || !c.loaded || hold.Token != c.token {
		return leaseLost()
	}
	fence, err := c.Authority.Fence(ctx, c.Shard, hold.Token)
	if err != nil {
		return err
	}
	c.fence = fence
	c.checkpointAt = now
	return c.checkpoint(ctx, hold, now)
}

// drop forgets the figures of a shard that is held no more.
func (c *Collector) drop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger, c.token = nil, 0
}

// begin starts afresh under a new lease.
func (c *Collector) begin(hold Hold, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.token == hold.Token && c.ledger != nil {
		return
	}
	c.ledger, c.token = NewLedger(c.Shard), hold.Token
	c.loaded = false
	c.unreported = make(map[Window]sealedRow)
	c.ready = now.Add(settleTime)
	c.checkpointAt = now.Add(checkpointInterval)
}

// load reads the rows of the shard.
func (c *Collector) load(ctx context.Context) error {
	row, err := peridottable.GetCurrent(ctx, c.Store, openPrefix+c.Shard)
	if err != nil {
		return err
	}
	var open openRow
	if row.Version != 0 {
		if err := unpack(row.Value, &open); err != nil {
			return err
		}
	}
	cells, err := c.loadCells(ctx, open.Floor)
	if err != nil {
		return err
	}
	if err := c.loadUnreported(ctx); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range cells {
		c.ledger.Restore(w)
	}
	c.ledger.Reopen(open.Floor)
	c.ledger.Take(open.Parts)
	return nil
}

func (c *Collector) loadCells(ctx context.Context, floor Window) ([]WindowCells, error) {
	rows, err := c.scan(ctx, cellsPrefix+c.Shard+"/", (floor - 1).key())
	if err != nil {
		return nil, err
	}
	var cells []WindowCells
	for _, row := range rows {
		var w WindowCells
		if err := unpack(row.Value, &w); err != nil {
			return nil, err
		}
		w.Version = row.Version
		cells = append(cells, w)
	}
	return cells, nil
}

// loadUnreported reads the sealed windows whose reports are not confirmed: those
// that are marked and, since that read may be stale, those known before.
func (c *Collector) loadUnreported(ctx context.Context) error {
	due, err := c.scan(ctx, duePrefix+c.Shard+"/", "")
	if err != nil {
		return err
	}
	keys := make(map[string]bool)
	for _, row := range due {
		keys[sealedPrefix+strings.TrimPrefix(row.Key, duePrefix)] = true
	}
	for number := range c.unreported {
		keys[c.sealedKey(number)] = true
	}
	unreported := make(map[Window]sealedRow)
	for key := range keys {
		row, err := peridottable.GetCurrent(ctx, c.Store, key)
		if err != nil {
			return err
		}
		var s Sealed
		if err := unpack(row.Value, &s); err != nil {
			return err
		}
		if !s.Reported {
			unreported[s.Window] = sealedRow{sealed: s, version: row.Version}
		}
	}
	c.unreported = unreported
	return nil
}

// scan reads all rows of a prefix behind a suffix.
func (c *Collector) scan(ctx context.Context, prefix, after string) ([]peridottable.Row, error) {
	var all []peridottable.Row
	r := peridottable.Range{Prefix: prefix, After: prefix + after, Limit: scanRows}
	for {
		rows, err := c.Store.Scan(ctx, r)
		if err != nil {
			return nil, err
		}
		all = append(all, rows...)
		if len(rows) < scanRows {
			return all, nil
		}
		r.After = rows[len(rows)-1].Key
	}
}

// seal seals the windows that are due, one commit each.
func (c *Collector) seal(ctx context.Context, hold Hold, now time.Time) error {
	if now.Before(c.ready) {
		return nil
	}
	c.mu.Lock()
	due := c.ledger.Due(now)
	c.mu.Unlock()
	for _, number := range due {
		if err := c.sealOne(ctx, hold, number); err != nil {
			return err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.Advance(WindowAt(now) - horizon)
	return nil
}

// sealOne commits a window on the condition that the lease is still held, that
// the window was not sealed, and that no other correction came in between.
func (c *Collector) sealOne(ctx context.Context, hold Hold, number Window) error {
	c.mu.Lock()
	s := c.ledger.Prepare(number)
	c.mu.Unlock()
	txn := c.transaction(hold)
	if err := put(&txn, c.sealedKey(number), 0, s.Sealed); err != nil {
		return err
	}
	txn.Puts = append(txn.Puts, peridottable.Put{Key: duePrefix + c.Shard + "/" + number.key()})
	for _, cells := range s.Cells {
		if err := put(&txn, cellsPrefix+c.Shard+"/"+cells.Window.key(), cells.Version, cells); err != nil {
			return err
		}
	}
	txn.Deletes = append(txn.Deletes, cellsPrefix+c.Shard+"/"+(number-2*horizon).key())
	version, err := c.Store.Commit(ctx, txn)
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.ledger.MarkSealed(s, version)
	c.mu.Unlock()
	c.unreported[number] = sealedRow{sealed: s.Sealed, version: version}
	return nil
}

func (c *Collector) sealedKey(number Window) string {
	return sealedPrefix + c.Shard + "/" + number.key()
}

// transaction returns one that takes effect only under the hold.
func (c *Collector) transaction(hold Hold) peridottable.Txn {
	c.commits++
	return peridottable.Txn{
		ID:     fmt.Sprintf("usage/%s/%d/%d", c.Shard, hold.Token, c.commits),
		Checks: []peridottable.Check{c.fence},
	}
}

// put adds the write of a row that must have a version.
func put(txn *peridottable.Txn, key string, version int64, value any) error {
	data, err := pack(value)
	if err != nil {
		return err
	}
	txn.Checks = append(txn.Checks, peridottable.Check{Key: key, Version: version})
	txn.Puts = append(txn.Puts, peridottable.Put{Key: key, Value: data})
	return nil
}

// checkpoint saves the figures that are not sealed, in one row.
func (c *Collector) checkpoint(ctx context.Context, hold Hold, now time.Time) error {
	if now.Before(c.checkpointAt) {
		return nil
	}
	c.mu.Lock()
	open := openRow{Floor: c.ledger.Floor(), Parts: c.ledger.Open()}
	c.mu.Unlock()
	slices.SortFunc(open.Parts, func(a, b Part) int {
		return strings.Compare(a.Agent.Instance+a.Account, b.Agent.Instance+b.Account)
	})
	data, err := pack(open)
	if err != nil {
		return err
	}
	txn := c.transaction(hold)
	txn.Puts = append(txn.Puts, peridottable.Put{Key: openPrefix + c.Shard, Value: data})
	if _, err := c.Store.Commit(ctx, txn); err != nil {
		return err
	}
	c.checkpointAt = now.Add(checkpointInterval)
	return nil
}

func leaseLost() error {
	return peridotverdict.New(peridotverdict.LeaseLost, peridotverdict.NotRun, "this process does not hold the shard")
}
