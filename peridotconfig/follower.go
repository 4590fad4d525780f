package peridotconfig

import (
	"math/rand/v2"
	"time"
)

const (
	// CheckInterval is the time between two checks of the table service by a reader.
	CheckInterval = time.Second
	// fallbackProofAge is the age of the last proof above which a process that is not
	// a reader checks the table service itself.
	fallbackProofAge = 2 * time.Second
	// fallbackCheckInterval is the mean time between two checks by such a process.
	fallbackCheckInterval = 10 * time.Second
	// maxFetchDelay limits the random delay before a failed fetch is retried.
	maxFetchDelay = 500 * time.Millisecond
)

// Action is an operation that a Follower requests from its caller. The set of
// actions is closed.
type Action interface {
	action()
}

// CheckHead gets the number of the newest commit from the table service. The answer
// must not come from a stale copy, which HeadCheck ensures. The caller passes
// the result to HandleCheckResult.
type CheckHead struct{}

// AskWitnesses asks the witnesses of all listed panels for the number of the last
// commit they have applied. The caller passes each answer to HandleReport; there is
// no call for the end of the action.
type AskWitnesses struct{}

// Fetch reads the commits with numbers above After, from a peer or, if Peer is
// empty, from the table service. The caller passes the resulting configuration to
// Adopt, and then calls HandleFetchResult.
type Fetch struct {
	Peer  string
	After int64
}

func (CheckHead) action()    {}
func (AskWitnesses) action() {}
func (Fetch) action()        {}

// Follower decides how one process keeps its configuration up to date and proves
// that it is the newest. It has no clock and does no I/O: the caller reports
// events and their times, and performs the actions that Tick returns. Create one
// with NewFollower. A Follower is not safe for concurrent use.
type Follower struct {
	Freshness
	Reports Reports

	// usesStore is false in processes that fetch from peers only.
	usesStore bool
	isReader  bool
	config    *Config
	random    *rand.Rand

	// newestSeq is the highest commit number that a peer or the table service has
	// reported, and newestSource is a peer that has this commit. An empty
	// newestSource means the table service.
	newestSeq    int64
	newestSource string

	checking  bool
	nextCheck time.Time
	// checkFailed is set if the last completed check failed.
	checkFailed bool

	fetching  bool
	nextFetch time.Time
}

// FollowerOption sets an optional part of a Follower.
type FollowerOption func(*Follower)

// WithoutStore makes the follower fetch from peers only.
func WithoutStore() FollowerOption {
	return func(f *Follower) { f.usesStore = false }
}

// WithMaxProofAge sets how long a proof remains valid.
func WithMaxProofAge(d time.Duration) FollowerOption {
	return func(f *Follower) { f.MaxProofAge = d }
}

// NewFollower returns a follower with the empty configuration. The seed should
// differ between processes, so that they read at different times.
func NewFollower(seed uint64, options ...FollowerOption) *Follower {
	f := &Follower{usesStore: true, config: &Config{}, random: rand.New(rand.NewPCG(seed, 0))}
	for _, option := range options {
		option(f)
	}
	return f
}

// Config returns the current configuration.
func (f *Follower) Config() *Config {
	return f.config
}

// SetReader sets whether the process is one of the few readers, which check the
// table service every CheckInterval.
func (f *Follower) SetReader(reader bool) {
	f.isReader = reader
}

// IsReader reports whether the process is a reader, as set by SetReader.
func (f *Follower) IsReader() bool {
	return f.isReader
}

// Adopt makes c the current configuration if c is newer than the present one. It
// reports whether it did.
func (f *Follower) Adopt(c *Config) bool {
	if c.Seq <= f.config.Seq {
		return false
	}
	f.config = c
	f.Reports.DeleteUnlisted(c.Panels)
	f.SetApplied(c.Seq)
	return true
}

// HandleVersion processes the configuration version that a peer reported: its commit
// number and the time of its proof on the clock of this process. The caller
// computes the time by subtracting the reported age of the proof from a time before
// the peer computed that age. A zero time means that the peer has no proof.
func (f *Follower) HandleVersion(peer string, seq int64, at time.Time) {
	f.recordSeq(peer, seq)
	if !at.IsZero() {
		f.AddProof(Proof{Seq: seq, At: at})
	}
}

// recordSeq records that source has the commit seq. An empty source means the table
// service.
func (f *Follower) recordSeq(source string, seq int64) {
	if seq > f.newestSeq {
		f.newestSeq, f.newestSource = seq, source
		return
	}
	// A fetch from the present source may have failed, so prefer the peer that
	// reported the commit last.
	if seq == f.newestSeq && source != "" {
		f.newestSource = source
	}
}

// HandleCheckResult processes the result of a CheckHead action that was sent at the
// given time: seq is the number of the newest commit. It is ignored if err is not
// nil.
func (f *Follower) HandleCheckResult(sent time.Time, seq int64, err error) {
	f.checking = false
	f.checkFailed = err != nil
	if err != nil {
		return
	}
	f.recordSeq("", seq)
	f.AddProof(Proof{Seq: seq, At: sent})
}

// HandleReport processes the report of a process that may be a witness;
// configAtSend is the configuration that this process had when it sent the
// question.
func (f *Follower) HandleReport(configAtSend *Config, r Report) {
	f.Reports.MarkEnded(configAtSend, r.Witness)
	f.Reports.Add(r)
	f.recordSeq(r.Witness.Instance, r.Seq)
	if at := f.Reports.ProvenAt(f.config); !at.IsZero() {
		f.AddProof(Proof{Seq: f.config.Seq, At: at})
	}
}

// HandleFetchResult processes the end of a Fetch action, whose configuration the
// caller has already passed to Adopt. If the fetch failed or the configuration still
// lacks the newest reported commit, the next fetch starts after a random delay, and
// reads the table service if this process uses it.
func (f *Follower) HandleFetchResult(now time.Time, err error) {
	f.fetching = false
	if err == nil && f.config.Seq >= f.newestSeq {
		return
	}
	f.nextFetch = now.Add(time.Duration(f.random.Int64N(int64(maxFetchDelay))))
	if f.usesStore {
		f.newestSource = ""
	}
}

// Tick returns the actions that are due at the time now.
func (f *Follower) Tick(now time.Time) []Action {
	var actions []Action
	if f.usesStore && !now.Before(f.nextCheck) && (f.isReader || f.needsFallback(now)) {
		f.nextCheck = now.Add(f.checkDelay())
		if f.checkFailed || f.checking {
			actions = append(actions, AskWitnesses{})
		}
		if !f.checking {
			f.checking = true
			actions = append(actions, CheckHead{})
		}
	}
	if f.newestSeq > f.config.Seq && !f.fetching && !now.Before(f.nextFetch) {
		f.fetching = true
		actions = append(actions, Fetch{Peer: f.newestSource, After: f.config.Seq})
	}
	return actions
}

// needsFallback reports whether the latest proof is older than fallbackProofAge.
func (f *Follower) needsFallback(now time.Time) bool {
	return now.Sub(f.provenAt) > fallbackProofAge
}

// checkDelay returns the time until the next check. It is random if the process is
// not a reader.
func (f *Follower) checkDelay() time.Duration {
	if f.isReader {
		return CheckInterval
	}
	return fallbackCheckInterval/2 + time.Duration(f.random.Int64N(int64(fallbackCheckInterval)))
}
