package peridotusage

import (
	"context"
	"slices"
)

// reportPending sends the reports that are not confirmed, oldest window first.
func (c *Collector) reportPending(ctx context.Context, grant Grant) error {
	windows := make([]Window, 0, len(c.unreported))
	for w := range c.unreported {
		windows = append(windows, w)
	}
	slices.Sort(windows)
	for _, w := range windows {
		if err := c.reportWindow(ctx, grant, w); err != nil {
			return err
		}
	}
	return nil
}

// reportWindow reports one sealed window. It first writes this process's fencing
// token to the sealed row, so that no other process may send the report. Once the
// platform can no longer accept a report of an earlier holder, it sends the lines
// of the row and then marks the row as reported.
func (c *Collector) reportWindow(ctx context.Context, grant Grant, w Window) error {
	row := c.unreported[w]
	if row.sealed.Reporter != grant.Token {
		row.sealed.Reporter = grant.Token
		if err := c.replaceSealedRow(ctx, grant, &row); err != nil {
			return err
		}
	}
	if !grant.CanReport {
		return nil
	}
	err := c.Reporter.Report(ctx, row.sealed, func() error { return c.checkLease(grant) })
	if err != nil {
		return err
	}
	row.sealed.Reported = true
	if err := c.replaceSealedRow(ctx, grant, &row); err != nil {
		return err
	}
	delete(c.unreported, w)
	return nil
}

// replaceSealedRow commits a sealed row, of which only Reporter and Reported may
// have changed, on the condition that the lease is still held.
func (c *Collector) replaceSealedRow(ctx context.Context, grant Grant, row *sealedRow) error {
	txn := c.newTxn(grant)
	if err := putRow(&txn, c.sealedKey(row.sealed.Window), row.version, row.sealed); err != nil {
		return err
	}
	if row.sealed.Reported {
		txn.Deletes = append(txn.Deletes, unreportedPrefix+c.Shard+"/"+row.sealed.Window.key())
	}
	version, err := c.Store.Commit(ctx, txn)
	if err != nil {
		c.loaded = false // The next Step reads back whether the commit took effect.
		return err
	}
	row.version = version
	c.unreported[row.sealed.Window] = *row
	return nil
}

// checkLease returns an error if the process no longer holds the shard under the
// same fencing token.
func (c *Collector) checkLease(grant Grant) error {
	current, ok := c.Leases.Grant(c.Shard)
	if !ok || current.Token != grant.Token {
		return leaseLostError()
	}
	return nil
}
