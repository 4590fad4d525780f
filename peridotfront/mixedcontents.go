package peridotfront

import (
	"context"
	"fmt"

	"peridotstack/peridotorigin"
	"peridotstack/peridotverdict"
)

// storeElsewhere begins to store that streams of the caller's content began at several
// versions, if the content is known at another one than the given: who names the earlier
// attempt later must not go on there, even if all that the fronts know is lost with the first
// event. It returns nil if that isn't needed.
func (x *exchange) storeElsewhere(software string) <-chan error {
	origin, ok := peridotorigin.Single(x.alike)
	if !ok || x.answerStarted || origin == encodeOrigin(x.service.Name, software) {
		return nil
	}
	stored := make(chan error, 1)
	key := x.contentKey()
	go func() {
		// The row helps also if the caller leaves meanwhile.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), originReadTimeout)
		defer cancel()
		stored <- x.front.storeMixed(ctx, key)
	}()
	return stored
}

// awaitMixed returns an error before the first event of a stream if the table service doesn't
// hold what storeElsewhere stores.
func (s *stream) awaitMixed() *peridotverdict.Error {
	x := s.exchange
	if s.mixed == nil || x.answerStarted {
		return nil
	}
	start := x.front.now()
	err := <-s.mixed
	s.mixed = nil
	x.front.metrics.RecordDuration("mixed_store_wait", x.front.now()-start)
	if err != nil {
		x.front.metrics.Count("streams_not_stored_as_mixed")
		return peridotverdict.New(peridotverdict.StoreUnavailable, peridotverdict.MayHaveRun, "another stream like it began at another software version, and that cannot be stored", peridotverdict.Cause(err))
	}
	return nil
}

// storeMixed stores that streams of a content began at several versions, and sends the copies of
// that. The fronts learn it only once it is stored: a stream whose content they know as mixed
// begins without a wait.
func (f *Front) storeMixed(ctx context.Context, content peridotorigin.Key) error {
	o := f.origins
	o.mu.Lock()
	o.stored.mixed.Add(f.now(), content, peridotorigin.Mixed)
	o.mu.Unlock()
	isStored := func() bool { return o.stored.mixed.IsStored(content) }
	if err := o.writeMixed(ctx, isStored); err != nil {
		return err
	}
	f.recordKeys(originGroup{Version: peridotorigin.Mixed, Keys: []uint64{uint64(content)}})
	return o.sendMixed(ctx, content)
}

// writeMixed writes what the table service lacks of the mixed contents, unless isDone reports,
// once other calls have ended, that nothing is left to do. isDone is called with o.mu held.
func (o *origins) writeMixed(ctx context.Context, isDone func() bool) error {
	select {
	case o.stored.mixedTurn <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-o.stored.mixedTurn }()
	o.mu.Lock()
	var changes peridotorigin.Changes
	if !isDone() {
		changes = o.stored.mixed.Changes(maxRowsPerCommit)
	}
	t := o.rowsTxn(o.mixedRowKey, changes)
	o.mu.Unlock()
	if changes.Empty() {
		return nil
	}
	if _, err := o.front.platform.Commit(ctx, t); err != nil {
		o.front.metrics.Count("origin_row_write_failures")
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stored.mixed.Stored(changes)
	return nil
}

// mixedRowKey returns the key of a row of mixed contents, which is no row of the journal.
func (o *origins) mixedRowKey(number int) string {
	return fmt.Sprintf("%s%s/mixed/%08d", originRowPrefix, o.front.self.Incarnation, number)
}

// sendMixed sends the copies of a mixed content and waits until they have left: this front may be
// killed before its next batch, and the others don't read the rows if they know a version.
func (o *origins) sendMixed(ctx context.Context, content peridotorigin.Key) error {
	to := o.fronts().choose(content, peridotorigin.Replicas)
	if len(to) == 0 {
		return nil
	}
	o.enqueue(&message{Origins: []originGroup{{Version: peridotorigin.Mixed, Keys: []uint64{uint64(content)}}}}, to...)
	reached := make(chan struct{})
	select {
	case o.outbox <- datagram{reached: reached}:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-reached:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
