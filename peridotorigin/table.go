package peridotorigin

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// TTL is how long an origin is kept. It exceeds the longest time from the first
	// event of a stream to the request that resumes it: a stream lasts at most the
	// timeout of its route, by default 1 minute, and its caller gives up after the same
	// time.
	TTL = 2 * time.Minute
	// MaxOrigins is the number of origins that a process keeps. With 1,200 instances and
	// 29,000 streams a second, each of which has two keys, each one gets 290 origins a
	// second, its own included, and keeps 34,800.
	MaxOrigins = 1 << 17
	// MaxVersionBytes limits the length of a software version. The front records the name
	// of the service with it, which has 200 bytes at most.
	MaxVersionBytes = 280
	// maxVersionsBytes limits the memory of all software versions in a table, which has each
	// of them once: a fleet has some dozens.
	maxVersionsBytes = 4 << 20
	// versionOverheadBytes is about the memory of a version in a table without its text.
	versionOverheadBytes = 100
)

// Key identifies a stream.
type Key uint64

// KeyOf returns the key of the stream that the request with the given ID began.
func KeyOf(request string) Key {
	return Key(xxhash.Sum64String(request))
}

// Table maps streams to the software versions that began them. Create one with
// NewTable.
type Table struct {
	ttl   time.Duration
	limit int
	// origins contains the origin of each stream.
	origins map[Key]origin
	// queue contains the streams in the order in which they were recorded, from index
	// first on. A stream that was renewed has more than one entry; only the last counts.
	queue []tableEntry
	first int
	// interned contains each version in use once, with the number of its streams, so
	// that streams don't hold the datagrams that brought their versions.
	interned map[string]*internedVersion
	// internedBytes is about the memory of interned.
	internedBytes int
}

type origin struct {
	version   string
	expiresAt time.Duration
}

type tableEntry struct {
	key Key
	// expiresAt is the time at which the entry expires.
	expiresAt time.Duration
}

type internedVersion struct {
	text    string
	streams int
}

// NewTable returns a table that keeps up to limit origins, each for ttl.
func NewTable(ttl time.Duration, limit int) *Table {
	return &Table{ttl: ttl, limit: limit, origins: make(map[Key]origin), interned: make(map[string]*internedVersion)}
}

// Record adds the origin of a stream, or merges it with the one that is known. If it is
// recorded again in the second half of its time, because the stream was resumed, its time
// begins anew; that of a content does so earlier, since other streams share it. A full
// table drops its oldest origins. Record reports whether it added, changed or renewed the
// origin; it refuses a version of more than MaxVersionBytes. The times of consecutive calls
// must not decrease.
func (t *Table) Record(now time.Duration, key Key, version string) bool {
	t.Expire(now)
	if len(version) > MaxVersionBytes {
		return false
	}
	o, known := t.origins[key]
	merged := version
	if known {
		merged = Merge(o.version, version)
	}
	switch {
	case known && merged != o.version:
		t.release(o.version)
		o.version = t.intern(merged)
	case known && (version != merged && !isContentVersion(merged) || o.expiresAt-now > t.ttl-renewalAge(t.ttl, merged)):
		return false
	case !known:
		for t.Len() >= t.limit || !t.hasRoomFor(version) {
			t.removeOldest()
		}
		o.version = t.intern(version)
	}
	o.expiresAt = now + t.ttl
	t.origins[key] = o
	t.queue = append(t.queue, tableEntry{key: key, expiresAt: o.expiresAt})
	return true
}

// renewalAge returns the age from which on an origin that is kept for ttl is renewed if it
// is recorded again.
func renewalAge(ttl time.Duration, version string) time.Duration {
	if isContentVersion(version) {
		return ttl / 8
	}
	return ttl / 2
}

// Version returns the software version that began a stream, and false if the table
// doesn't contain the stream.
func (t *Table) Version(now time.Duration, key Key) (string, bool) {
	t.Expire(now)
	o, ok := t.origins[key]
	return o.version, ok
}

// Age returns the time since the origin of a stream was recorded or renewed, or 0 if the
// table doesn't contain the stream.
func (t *Table) Age(now time.Duration, key Key) time.Duration {
	o, ok := t.origins[key]
	if !ok {
		return 0
	}
	return now - (o.expiresAt - t.ttl)
}

// Expire removes the origins that have expired.
func (t *Table) Expire(now time.Duration) {
	for t.first < len(t.queue) && now >= t.queue[t.first].expiresAt {
		t.removeOldest()
	}
}

// Len returns the number of origins in the table.
func (t *Table) Len() int {
	return len(t.origins)
}

// removeOldest removes the first entry of the queue, and its origin unless that was
// renewed. The queue must not be empty.
func (t *Table) removeOldest() {
	e := t.queue[t.first]
	if o := t.origins[e.key]; o.expiresAt == e.expiresAt {
		t.release(o.version)
		delete(t.origins, e.key)
	}
	t.first++
	if t.first > len(t.queue)/2 {
		// Copying at most as many entries as were removed keeps the cost constant.
		t.queue = append(t.queue[:0], t.queue[t.first:]...)
		t.first = 0
	}
}

// hasRoomFor reports whether the table can hold a version.
func (t *Table) hasRoomFor(version string) bool {
	return t.interned[version] != nil || t.internedBytes+versionOverheadBytes+len(version) <= maxVersionsBytes
}

// intern returns the shared copy of a version.
func (t *Table) intern(version string) string {
	v := t.interned[version]
	if v == nil {
		v = &internedVersion{text: version}
		t.interned[version] = v
		t.internedBytes += versionOverheadBytes + len(version)
	}
	v.streams++
	return v.text
}

// release undoes one call of intern.
func (t *Table) release(version string) {
	v := t.interned[version]
	v.streams--
	if v.streams == 0 {
		delete(t.interned, version)
		t.internedBytes -= versionOverheadBytes + len(version)
	}
}
