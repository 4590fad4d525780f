package peridotconfig

import (
	"math/rand/v2"
	"time"
)

const (
	// CheckInterval is the time between two checks of a reader at the table service.
	CheckInterval = time.Second
	// lonelyAfter is how old the last proof is when a process that is no reader
	// turns to the table service itself.
	lonelyAfter = 2 * time.Second
	// lonelyInterval is the mean time between two checks of such a process.
	lonelyInterval = 10 * time.Second
	// fetchPause is the longest pause before a fetch that failed is tried anew.
	fetchPause = 500 * time.Millisecond
)

// Action is what a Follower wants done. The set of actions is closed.
type Action interface {
	action()
}

// CheckHead asks the table service which commit is the newest, in a way that
// cannot be answered from a stale copy. Its end is told to Checked.
type CheckHead struct{}

// AskWitnesses asks the witnesses of the panels for their Seq. Its answers are
// told to Reported; it needs no end.
type AskWitnesses struct{}

// Fetch reads the commits behind a number, from a peer or, when Peer is empty,
// from the table service. Its end is told to Fetched.
type Fetch struct {
	Peer  string
	After int64
}

func (CheckHead) action()    {}
func (AskWitnesses) action() {}
func (Fetch) action()        {}

// Follower decides how one process keeps its configuration up to date and proves
// it to be the newest. It has no clock and does no I/O: it is told what happened
// and when, and Tick returns what to do. Make one with NewFollower. It is not
// safe for concurrent use.
type Follower struct {
	Freshness
	Reports Reports

	// usesStore is unset in processes that only ever learn from peers.
	usesStore bool
	reader    bool
	config    *Config
	random    *rand.Rand

	// newest is the highest number heard of, and source the peer that has it;
	// an empty source means the table service.
	newest int64
	source string

	checking  bool
	nextCheck time.Time
	// down is set while the last check failed.
	down bool

	fetching  bool
	nextFetch time.Time
}

// FollowerOption sets an optional part of a Follower.
type FollowerOption func(*Follower)

// WithoutStore makes the follower learn from peers alone.
func WithoutStore() FollowerOption {
	return func(f *Follower) { f.usesStore = false }
}

// WithBound sets how long a proof lasts.
func WithBound(d time.Duration) FollowerOption {
	return func(f *Follower) { f.Bound = d }
}

// NewFollower returns a follower with the empty configuration. The seed spreads
// the processes' reads in time.
func NewFollower(seed uint64, options ...FollowerOption) *Follower {
	f := &Follower{usesStore: true, config: &Config{}, random: rand.New(rand.NewPCG(seed, 0))}
	for _, option := range options {
		option(f)
	}
	return f
}

// Config returns the configuration in force.
func (f *Follower) Config() *Config {
	return f.config
}

// SetReader makes the process one of the few that check the table service all
// the time, or ends that.
func (f *Follower) SetReader(reader bool) {
	f.reader = reader
}

// Reader reports whether the process is one of the few readers.
func (f *Follower) Reader() bool {
	return f.reader
}

// Adopt puts a configuration in force unless it is older than the present one.
// It reports whether the configuration moved.
func (f *Follower) Adopt(c *Config) bool {
	if c.Seq <= f.config.Seq {
		return false
	}
	f.config = c
	f.Reports.Keep(c.Panels)
	f.Applied(c.Seq)
	return true
}

// Heard takes what a peer said of its configuration. At is the time that the
// peer's proof has on this process's clock: the age that the peer gave, counted
// back from a time before the peer can have computed it. A zero At is no proof.
func (f *Follower) Heard(peer string, seq int64, at time.Time) {
	f.hear(peer, seq)
	if !at.IsZero() {
		f.Confirm(Proof{Seq: seq, At: at})
	}
}

func (f *Follower) hear(source string, seq int64) {
	if seq > f.newest {
		f.newest, f.source = seq, source
		return
	}
	// Any peer that has the newest commit is a better source than one that may
	// have failed before.
	if seq == f.newest && source != "" {
		f.source = source
	}
}

// Checked ends a CheckHead that was sent at the given time and found the newest
// commit to be seq, or failed.
func (f *Follower) Checked(sent time.Time, seq int64, err error) {
	f.checking = false
	f.down = err != nil
	if err != nil {
		return
	}
	f.hear("", seq)
	f.Confirm(Proof{Seq: seq, At: sent})
}

// Reported takes the report of a process that may be a witness; asked is the
// configuration that was in force here when the question was sent.
func (f *Follower) Reported(asked *Config, r Report) {
	f.Reports.Ended(asked, r.Witness)
	f.Reports.Add(r)
	f.hear(r.Witness.Instance, r.Seq)
	if at := f.Reports.Newest(f.config); !at.IsZero() {
		f.Confirm(Proof{Seq: f.config.Seq, At: at})
	}
}

// Fetched ends a Fetch; the configuration it brought goes to Adopt before. After
// a failure the next fetch waits a random while.
func (f *Follower) Fetched(now time.Time, err error) {
	f.fetching = false
	if err == nil && f.config.Seq >= f.newest {
		return
	}
	f.nextFetch = now.Add(time.Duration(f.random.Int64N(int64(fetchPause))))
	if f.usesStore {
		f.source = ""
	}
}

// Tick returns what is due at the time now.
func (f *Follower) Tick(now time.Time) []Action {
	var actions []Action
	if f.usesStore && !now.Before(f.nextCheck) && (f.reader || f.lonely(now)) {
		f.nextCheck = now.Add(f.checkPause())
		if f.down || f.checking {
			actions = append(actions, AskWitnesses{})
		}
		if !f.checking {
			f.checking = true
			actions = append(actions, CheckHead{})
		}
	}
	if f.newest > f.config.Seq && !f.fetching && !now.Before(f.nextFetch) {
		f.fetching = true
		actions = append(actions, Fetch{Peer: f.source, After: f.config.Seq})
	}
	return actions
}

// lonely reports whether nobody has handed on a proof for a while.
func (f *Follower) lonely(now time.Time) bool {
	return now.Sub(f.proven) > lonelyAfter
}

func (f *Follower) checkPause() time.Duration {
	if f.reader {
		return CheckInterval
	}
	return lonelyInterval/2 + time.Duration(f.random.Int64N(int64(lonelyInterval)))
}
