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
	// sealedPrefix is the key prefix of the rows of sealed windows.
	sealedPrefix = "usage/"
	// cellsPrefix is the key prefix of the rows that hold the sealed figures of the
	// cells of a window.
	cellsPrefix = "usagecells/"
	// unreportedPrefix is the key prefix of the empty rows that mark sealed windows
	// whose report the platform has not confirmed.
	unreportedPrefix = "usagedue/"
	// openPrefix is the key prefix of the rows that hold the figures not yet sealed,
	// one row per shard.
	openPrefix = "usageopen/"
	// checkpointInterval is the time between two commits of the figures not yet
	// sealed.
	checkpointInterval = 10 * time.Second
	// reloadInterval is the time between two reads of all rows. It bounds how long a
	// row that a stale read missed stays unknown.
	reloadInterval = 5 * time.Minute
	// rowsPerPage is the maximum number of rows that one Scan returns.
	rowsPerPage = 100
)

// Grant describes the lease by which a process holds a shard.
type Grant struct {
	// Token is the fencing token of the lease.
	Token int64
	// CanReport is set once the platform can no longer accept a report that an
	// earlier holder sent, because the lease has been held for longer than the
	// platform's receive timeout.
	CanReport bool
}

// Leases provides the leases of this process on shards. Implementations must be
// safe for concurrent use.
type Leases interface {
	// Grant returns this process's current grant for a shard, or false if it has
	// none. It must not call the table service, so that an outage of the table
	// service loses no figures.
	Grant(shard string) (Grant, bool)
	// Fence returns a check that makes a commit fail unless the lease row still has
	// the given fencing token. The check may come from a stale read of the row,
	// because the commit compares versions.
	Fence(ctx context.Context, shard string, token int64) (peridottable.Check, error)
}

// Reporter sends usage reports to the platform.
type Reporter interface {
	// Report sends the lines of a sealed window. It calls confirm immediately before
	// it sends the report, once the platform is ready to receive it. If confirm
	// fails, Report returns an error and sends nothing. An error with the verdict
	// MayHaveRun means that the platform may have accepted the report.
	Report(ctx context.Context, s SealedWindow, confirm func() error) error
}

// Receipt confirms that a collector received parts.
type Receipt struct {
	// Token is the fencing token of the collector. A collector with another token
	// needs all parts again.
	Token int64
	// Floor is the first window whose figures the sender must keep.
	Floor Window
}

// Collector seals and reports the windows of one shard while its process holds
// the shard. All exported fields must be set before the first use and not changed
// afterwards. A Collector is safe for concurrent use.
type Collector struct {
	Shard    string
	Store    peridottable.Store
	Leases   Leases
	Reporter Reporter

	// stepMu is held by Step and Save, and guards the fields up to commitCount.
	stepMu sync.Mutex
	// unreported holds the sealed rows whose report is not confirmed.
	unreported map[Window]sealedRow
	// sealFrom is when sealing may start under the current lease. By then all
	// counters must have handed over their figures.
	sealFrom time.Time
	// loaded is set while the rows of the shard are known. It is cleared when the
	// commit of a sealed row fails, so that the next Step reads back its outcome.
	loaded           bool
	nextReloadAt     time.Time
	nextCheckpointAt time.Time
	// fence is the check of the lease row that all commits of the current Step or
	// Save contain.
	fence       peridottable.Check
	commitCount int

	// mu guards ledger and token, the fencing token under which ledger was created.
	mu     sync.Mutex
	ledger *Ledger
	token  int64
}

// sealedRow is the row of a sealed window.
type sealedRow struct {
	sealed  SealedWindow
	version int64
}

// openRow is the value of the row that holds the figures not yet sealed.
type openRow struct {
	Floor Window
	Parts []Part
}

// Merge merges parts into the figures of the shard. It returns an error with the
// code LeaseLost and the verdict NotRun if the process does not hold the shard,
// or if no Step has run since it acquired the lease.
func (c *Collector) Merge(parts []Part) (Receipt, error) {
	grant, ok := c.Leases.Grant(c.Shard)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !ok || c.ledger == nil || grant.Token != c.token {
		return Receipt{}, leaseLostError()
	}
	c.ledger.Merge(parts)
	return Receipt{Token: c.token, Floor: c.ledger.Floor()}, nil
}

// Step performs the work that is due at the wall-clock time now: it loads the
// rows that an earlier holder wrote, seals windows, checkpoints the figures not
// yet sealed, and reports sealed windows. It should be called every few seconds.
// Errors are temporary: the next Step resumes the work.
func (c *Collector) Step(ctx context.Context, now time.Time) error {
	c.stepMu.Lock()
	defer c.stepMu.Unlock()
	grant, ok := c.Leases.Grant(c.Shard)
	if !ok {
		c.dropLedger()
		return nil
	}
	c.resetOnNewLease(grant, now)
	fence, err := c.Leases.Fence(ctx, c.Shard, grant.Token)
	if err != nil {
		return err
	}
	c.fence = fence
	if !c.loaded || !now.Before(c.nextReloadAt) {
		if err := c.load(ctx); err != nil {
			return err
		}
		c.loaded = true
		c.nextReloadAt = now.Add(reloadInterval)
	}
	if err := c.sealDue(ctx, grant, now); err != nil {
		c.loaded = false // The next Step reads back which commits took effect.
		return err
	}
	if err := c.checkpoint(ctx, grant, now); err != nil {
		return err
	}
	return c.reportPending(ctx, grant)
}

// Save commits the figures not yet sealed without waiting for the next
// checkpoint. It is for a process that is about to release its lease. It returns
// an error with the code LeaseLost if the process does not hold the shard or has
// not loaded its rows.
func (c *Collector) Save(ctx context.Context, now time.Time) error {
	c.stepMu.Lock()
	defer c.stepMu.Unlock()
	grant, ok := c.Leases.Grant(c.Shard)
	if !ok || !c.loaded || grant.Token != c.token {
		return leaseLostError()
	}
	fence, err := c.Leases.Fence(ctx, c.Shard, grant.Token)
	if err != nil {
		return err
	}
	c.fence = fence
	c.nextCheckpointAt = now
	return c.checkpoint(ctx, grant, now)
}

// dropLedger discards the figures after the process lost the shard.
func (c *Collector) dropLedger() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger, c.token = nil, 0
}

// resetOnNewLease discards all state of an earlier lease when grant has a new
// fencing token.
func (c *Collector) resetOnNewLease(grant Grant, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.token == grant.Token && c.ledger != nil {
		return
	}
	c.ledger, c.token = NewLedger(c.Shard), grant.Token
	c.loaded = false
	c.unreported = make(map[Window]sealedRow)
	c.sealFrom = now.Add(sealDelay)
	c.nextCheckpointAt = now.Add(checkpointInterval)
}

// load reads the rows of the shard into the ledger.
func (c *Collector) load(ctx context.Context) error {
	row, err := peridottable.GetCurrent(ctx, c.Store, openPrefix+c.Shard)
	if err != nil {
		return err
	}
	var unsealed openRow
	if row.Version != 0 {
		if err := unpack(row.Value, &unsealed); err != nil {
			return err
		}
	}
	cells, err := c.loadCells(ctx, unsealed.Floor)
	if err != nil {
		return err
	}
	if err := c.loadUnreported(ctx); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range cells {
		c.ledger.RestoreCells(w)
	}
	c.ledger.RaiseFloor(unsealed.Floor)
	c.ledger.Merge(unsealed.Parts)
	return nil
}

// loadCells reads the sealed figures of the cells of the windows from floor on.
func (c *Collector) loadCells(ctx context.Context, floor Window) ([]WindowCells, error) {
	rows, err := c.scanPrefix(ctx, cellsPrefix+c.Shard+"/", (floor - 1).key())
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

// loadUnreported reads the sealed windows whose reports are not confirmed. These
// are the marked ones and, because the read of the markers may be stale, the ones
// that were already known.
func (c *Collector) loadUnreported(ctx context.Context) error {
	markers, err := c.scanPrefix(ctx, unreportedPrefix+c.Shard+"/", "")
	if err != nil {
		return err
	}
	keys := make(map[string]bool)
	for _, row := range markers {
		keys[sealedPrefix+strings.TrimPrefix(row.Key, unreportedPrefix)] = true
	}
	for w := range c.unreported {
		keys[c.sealedKey(w)] = true
	}
	unreported := make(map[Window]sealedRow)
	for key := range keys {
		row, err := peridottable.GetCurrent(ctx, c.Store, key)
		if err != nil {
			return err
		}
		var s SealedWindow
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

// scanPrefix reads all rows whose keys start with prefix and sort after
// prefix+after.
func (c *Collector) scanPrefix(ctx context.Context, prefix, after string) ([]peridottable.Row, error) {
	var rows []peridottable.Row
	scanRange := peridottable.Range{Prefix: prefix, After: prefix + after, Limit: rowsPerPage}
	for {
		page, err := c.Store.Scan(ctx, scanRange)
		if err != nil {
			return nil, err
		}
		rows = append(rows, page...)
		if len(page) < rowsPerPage {
			return rows, nil
		}
		scanRange.After = page[len(page)-1].Key
	}
}

// sealDue seals the windows that are due, with one commit per window.
func (c *Collector) sealDue(ctx context.Context, grant Grant, now time.Time) error {
	if now.Before(c.sealFrom) {
		return nil
	}
	c.mu.Lock()
	windows := c.ledger.DueWindows(now)
	c.mu.Unlock()
	for _, w := range windows {
		if err := c.sealWindow(ctx, grant, w); err != nil {
			return err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.Advance(WindowAt(now) - correctionWindows)
	return nil
}

// sealWindow commits a window on the condition that the lease is still held, that
// the window has not been sealed, and that no other commit has corrected the
// included windows in the meantime.
func (c *Collector) sealWindow(ctx context.Context, grant Grant, w Window) error {
	c.mu.Lock()
	s := c.ledger.PrepareSeal(w)
	c.mu.Unlock()
	txn := c.newTxn(grant)
	if err := putRow(&txn, c.sealedKey(w), 0, s.Sealed); err != nil {
		return err
	}
	txn.Puts = append(txn.Puts, peridottable.Put{Key: unreportedPrefix + c.Shard + "/" + w.key()})
	for _, cells := range s.Cells {
		if err := putRow(&txn, cellsPrefix+c.Shard+"/"+cells.Window.key(), cells.Version, cells); err != nil {
			return err
		}
	}
	txn.Deletes = append(txn.Deletes, cellsPrefix+c.Shard+"/"+(w-2*correctionWindows).key())
	version, err := c.Store.Commit(ctx, txn)
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.ledger.MarkSealed(s, version)
	c.mu.Unlock()
	c.unreported[w] = sealedRow{sealed: s.Sealed, version: version}
	return nil
}

// sealedKey returns the key of the row of a sealed window.
func (c *Collector) sealedKey(w Window) string {
	return sealedPrefix + c.Shard + "/" + w.key()
}

// newTxn returns a transaction that takes effect only while the lease is held.
func (c *Collector) newTxn(grant Grant) peridottable.Txn {
	c.commitCount++
	return peridottable.Txn{
		ID:     fmt.Sprintf("usage/%s/%d/%d", c.Shard, grant.Token, c.commitCount),
		Checks: []peridottable.Check{c.fence},
	}
}

// putRow adds to txn the write of value to a row, on the condition that the row
// has the given version. Version 0 means that the row must not exist.
func putRow(txn *peridottable.Txn, key string, version int64, value any) error {
	data, err := pack(value)
	if err != nil {
		return err
	}
	txn.Checks = append(txn.Checks, peridottable.Check{Key: key, Version: version})
	txn.Puts = append(txn.Puts, peridottable.Put{Key: key, Value: data})
	return nil
}

// checkpoint commits the figures not yet sealed to one row, if a checkpoint is
// due.
func (c *Collector) checkpoint(ctx context.Context, grant Grant, now time.Time) error {
	if now.Before(c.nextCheckpointAt) {
		return nil
	}
	c.mu.Lock()
	unsealed := openRow{Floor: c.ledger.Floor(), Parts: c.ledger.UnsealedParts()}
	c.mu.Unlock()
	slices.SortFunc(unsealed.Parts, func(a, b Part) int {
		return strings.Compare(a.Agent.Instance+a.Account, b.Agent.Instance+b.Account)
	})
	data, err := pack(unsealed)
	if err != nil {
		return err
	}
	txn := c.newTxn(grant)
	txn.Puts = append(txn.Puts, peridottable.Put{Key: openPrefix + c.Shard, Value: data})
	if _, err := c.Store.Commit(ctx, txn); err != nil {
		return err
	}
	c.nextCheckpointAt = now.Add(checkpointInterval)
	return nil
}

// leaseLostError returns an error with the code LeaseLost and the verdict NotRun.
func leaseLostError() error {
	return peridotverdict.New(peridotverdict.LeaseLost, peridotverdict.NotRun, "this process does not hold the shard")
}
