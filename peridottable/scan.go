package peridottable

import "context"

// Pager is a Store that tells whether the rows of a range are all that there are.
type Pager interface {
	// ScanPage is like Scan. It also reports whether the range has further rows.
	ScanPage(ctx context.Context, r Range) (rows []Row, hasMore bool, err error)
}

// ScanAll reads all rows with a key prefix. A row that is there all the time from before the
// call is among them; others may be missing, since several calls of the store don't show one
// moment.
func ScanAll(ctx context.Context, s Store, prefix string) ([]Row, error) {
	var all []Row
	r := Range{Prefix: prefix}
	for {
		rows, hasMore, err := scanPage(ctx, s, r)
		if err != nil {
			return nil, err
		}
		all = append(all, rows...)
		if !hasMore {
			return all, nil
		}
		r.After = rows[len(rows)-1].Key
	}
}

// scanPage reads the first rows of a range. There are no further ones only if the store says
// so, or has returned none.
func scanPage(ctx context.Context, s Store, r Range) (rows []Row, hasMore bool, err error) {
	if p, ok := s.(Pager); ok {
		rows, hasMore, err = p.ScanPage(ctx, r)
		return rows, hasMore && len(rows) > 0, err
	}
	rows, err = s.Scan(ctx, r)
	return rows, len(rows) > 0, err
}
