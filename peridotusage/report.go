package peridotusage

import (
	"context"
	"slices"
)

// report sends the sealed windows that are not confirmed, oldest first.
func (c *Collector) report(ctx context.Context, hold Hold) error {
	numbers := make([]Window, 0, len(c.unreported))
	for number := range c.unreported {
		numbers = append(numbers, number)
	}
	slices.Sort(numbers)
	for _, number := range numbers {
		if err := c.reportOne(ctx, hold, number); err != nil {
			return err
		}
	}
	return nil
}

// reportOne takes the right to send into the sealed row, sends what the row
// says, and notes that the platform confirmed it.
func (c *Collector) reportOne(ctx context.Context, hold Hold, number Window) error {
	row := c.unreported[number]
	if row.sealed.Reporter != hold.Token {
		row.sealed.Reporter = hold.Token
		if err := c.replace(ctx, hold, &row); err != nil {
			return err
		}
	}
	if !hold.Quiet {
		return nil
	}
	err := c.Reporter.Report(ctx, row.sealed, func() error { return c.confirm(hold) })
	if err != nil {
		return err
	}
	row.sealed.Reported = true
	if err := c.replace(ctx, hold, &row); err != nil {
		return err
	}
	delete(c.unreported, number)
	return nil
}

// replace commits a sealed row under the hold; its lines stay as they are.
func (c *Collector) replace(ctx context.Context, hold Hold, row *sealedRow) error {
	txn := c.transaction(hold)
	if err := put(&txn, c.sealedKey(row.sealed.Window), row.version, row.sealed); err != nil {
		return err
	}
	if row.sealed.Reported {
		txn.Deletes = append(txn.Deletes, duePrefix+c.Shard+"/"+row.sealed.Window.key())
	}
	version, err := c.Store.Commit(ctx, txn)
	if err != nil {
		c.loaded = false // What took effect is read back.
		return err
	}
	row.version = version
	c.unreported[row.sealed.Window] = *row
	return nil
}

// confirm fails once the shard is no more held under the same token.
func (c *Collector) confirm(hold Hold) error {
	now, ok := c.Authority.Hold(c.Shard)
	if !ok || now.Token != hold.Token {
		return leaseLost()
	}
	return nil
}
