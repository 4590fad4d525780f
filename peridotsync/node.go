package peridotsync

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"peridotstack/peridotconfig"
	"peridotstack/peridotmetric"
	"peridotstack/peridottable"
	"peridotstack/peridotverdict"
	"peridotstack/peridotwire"
)

const (
	tickInterval = 100 * time.Millisecond
	// callTimeout bounds a check and a fetch; a lost answer delays the next try by
	// as much.
	callTimeout = time.Second
	// firstReadTimeout bounds the read of a whole configuration.
	firstReadTimeout = 5 * time.Second
	incarnationBytes = 8
	// acceptPoll is the time between two looks at the acknowledgements of a commit.
	acceptPoll = 100 * time.Millisecond
	// never is the ConfirmedMillis of a configuration without any proof.
	never = -1
)

// Peers reaches other processes of the system.
type Peers interface {
	// Fetch asks a peer for what it has behind a number.
	Fetch(ctx context.Context, peer string, after int64) (peridotconfig.Update, error)
	// Ask exchanges versions with the witnesses and must not wait for them.
	Ask(ctx context.Context, witnesses []peridotconfig.Witness)
}

// Node keeps the configuration of one process up to date. Make one with New; its
// methods may be called concurrently.
type Node struct {
	// Incarnation is unique to this life of the process.
	Incarnation string

	peers   Peers
	metrics *peridotmetric.Metrics
	log     *peridotconfig.Log
	head    *peridotconfig.HeadCheck
	started time.Time
	config  atomic.Pointer[peridotconfig.Config]
	kicked  chan struct{}

	mu       sync.Mutex
	follower *peridotconfig.Follower
	recent   peridotconfig.Recent
}

// Option sets an optional part of a Node.
type Option func(*Node)

// WithMetrics makes the node count into m.
func WithMetrics(m *peridotmetric.Metrics) Option {
	return func(n *Node) { n.metrics = m }
}

// New returns a node of the given instance. Without a store it learns from peers
// alone.
func New(instance string, store peridottable.Store, peers Peers, options ...Option) *Node {
	id := make([]byte, incarnationBytes)
	rand.Read(id) // crypto/rand.Read never fails.
	n := &Node{
		Incarnation: hex.EncodeToString(id),
		peers:       peers,
		metrics:     &peridotmetric.Metrics{},
		started:     time.Now(),
		kicked:      make(chan struct{}, 1),
	}
	seed := xxhash.Sum64String(instance)
	if store == nil {
		n.follower = peridotconfig.NewFollower(seed, peridotconfig.WithoutStore())
	} else {
		n.follower = peridotconfig.NewFollower(seed)
		n.log = &peridotconfig.Log{Store: store}
		n.head = &peridotconfig.HeadCheck{Store: store}
	}
	n.config.Store(n.follower.Config())
	for _, option := range options {
		option(n)
	}
	return n
}

// Serve follows the configuration until ctx is done.
func (n *Node) Serve(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		n.mu.Lock()
		actions := n.follower.Tick(time.Now())
		n.mu.Unlock()
		for _, action := range actions {
			n.do(ctx, action)
		}
		select {
		case <-ticker.C:
		case <-n.kicked:
		case <-ctx.Done():
			return nil
		}
	}
}

// kick makes Serve look at once for what is due.
func (n *Node) kick() {
	select {
	case n.kicked <- struct{}{}:
	default:
	}
}

func (n *Node) do(ctx context.Context, action peridotconfig.Action) {
	switch action := action.(type) {
	case peridotconfig.CheckHead:
		go n.check(ctx)
	case peridotconfig.AskWitnesses:
		n.metrics.Count("config_witness_asks")
		n.peers.Ask(ctx, n.Witnesses())
	case peridotconfig.Fetch:
		go n.fetch(ctx, action)
	}
}

// check proves the newest number at the table service. Its time counts from
// before the request.
func (n *Node) check(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := time.Now()
	seq, err := n.head.Newest(ctx)
	if err != nil {
		n.metrics.Count("config_check_failures")
	}
	n.mu.Lock()
	n.follower.Checked(sent, seq, err)
	n.mu.Unlock()
	n.kick()
}

func (n *Node) fetch(ctx context.Context, f peridotconfig.Fetch) {
	timeout := callTimeout
	if f.After == 0 {
		timeout = firstReadTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	update, err := n.read(ctx, f)
	if err == nil {
		err = n.adopt(update)
	}
	if err != nil {
		n.metrics.Count("config_fetch_failures")
	}
	n.mu.Lock()
	n.follower.Fetched(time.Now(), err)
	n.mu.Unlock()
	n.kick()
}

func (n *Node) read(ctx context.Context, f peridotconfig.Fetch) (peridotconfig.Update, error) {
	if f.Peer == "" {
		return n.log.Update(ctx, n.Config())
	}
	return n.peers.Fetch(ctx, f.Peer, f.After)
}

// adopt puts an update in force unless it is older than what is.
func (n *Node) adopt(u peridotconfig.Update) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	next, err := u.Apply(n.follower.Config())
	if err != nil {
		return err
	}
	if n.follower.Adopt(next) {
		n.recent.Add(u.Commits...)
		n.config.Store(next)
	}
	return nil
}

// Config returns the configuration in force.
func (n *Node) Config() *peridotconfig.Config {
	return n.config.Load()
}

// Fresh reports whether keyed work may start by the configuration in force.
func (n *Node) Fresh() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.follower.Fresh(time.Now())
}

// CheckFresh returns the refusal of keyed work, or nil.
func (n *Node) CheckFresh() *peridotverdict.Error {
	if n.Fresh() {
		return nil
	}
	return peridotverdict.New(peridotverdict.ConfigStale, peridotverdict.NotRun, "the configuration cannot be proven to be the newest", peridotverdict.RetryAfter(time.Second))
}

// SetReader makes the process check the table service all the time, or ends that.
func (n *Node) SetReader(reader bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.follower.SetReader(reader)
}

// Version returns what to tell a peer now. The age is rounded up.
func (n *Node) Version() peridotwire.Version {
	n.mu.Lock()
	defer n.mu.Unlock()
	proof := n.follower.Proof()
	if proof.At.IsZero() {
		return peridotwire.Version{Seq: proof.Seq, ConfirmedMillis: never}
	}
	return peridotwire.Version{Seq: proof.Seq, ConfirmedMillis: time.Since(proof.At).Milliseconds() + 1}
}

// Stamp returns a number for the present time, for a peer to send back.
func (n *Node) Stamp() int64 {
	return int64(time.Since(n.started))
}

// Heard takes a version that a peer sent unasked: its number counts, but not its
// proof, for nobody knows how long the message took.
func (n *Node) Heard(peer string, v peridotwire.Version) {
	n.hear(peer, v.Seq, time.Time{})
}

// Confirmed takes a version that a peer sent after it had got the stamp.
func (n *Node) Confirmed(peer string, v peridotwire.Version, stamp int64) {
	if stamp <= 0 || stamp > n.Stamp() {
		return
	}
	n.hear(peer, v.Seq, counted(n.started.Add(time.Duration(stamp)), v))
}

// Answered takes the version in the answer of a peer to a question that was sent
// at the given time, when asked was the configuration in force here.
func (n *Node) Answered(asked *peridotconfig.Config, w peridotconfig.Witness, v peridotwire.Version, sent time.Time) {
	n.hear(w.Instance, v.Seq, counted(sent, v))
	if w.Incarnation == "" {
		return
	}
	n.mu.Lock()
	n.follower.Reported(asked, peridotconfig.Report{Witness: w, Seq: v.Seq, Sent: sent})
	n.mu.Unlock()
}

func (n *Node) hear(peer string, seq int64, at time.Time) {
	n.mu.Lock()
	n.follower.Heard(peer, seq, at)
	behind := seq > n.follower.Config().Seq
	n.mu.Unlock()
	if behind {
		n.kick()
	}
}

// counted returns when a proof was made, at the latest, given a time before its
// age was computed.
func counted(from time.Time, v peridotwire.Version) time.Time {
	if v.ConfirmedMillis < 0 {
		return time.Time{}
	}
	return from.Add(-time.Duration(v.ConfirmedMillis) * time.Millisecond)
}

// Since returns what a peer at the given number lacks.
func (n *Node) Since(seq int64) peridotconfig.Update {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.recent.Since(n.follower.Config(), seq)
}

// Refresh applies the commits that the table service has by now.
func (n *Node) Refresh(ctx context.Context) error {
	update, err := n.log.Update(ctx, n.Config())
	if err != nil {
		return err
	}
	return n.adopt(update)
}

// Witnesses returns the witnesses of all listed panels.
func (n *Node) Witnesses() []peridotconfig.Witness {
	var all []peridotconfig.Witness
	for _, p := range n.Config().Panels {
		all = append(all, p.Witnesses...)
	}
	return all
}

// AwaitAccepted waits until the commit seq is accepted, and asks the witnesses
// meanwhile. It reports false when ctx ended first.
func (n *Node) AwaitAccepted(ctx context.Context, seq int64) bool {
	for {
		if n.accepted(seq) {
			return true
		}
		n.peers.Ask(ctx, n.Witnesses())
		timer := time.NewTimer(acceptPoll)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return false
		}
	}
}

func (n *Node) accepted(seq int64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.follower.Reports.Accepted(n.follower.Config(), seq)
}

// Succeed commits the change of the panels of witnesses that is due, if any.
// Candidates are processes that answered a moment ago. Readers alone do so, for
// of many that try one wins.
func (n *Node) Succeed(ctx context.Context, instance string, candidates []peridotconfig.Witness) error {
	n.mu.Lock()
	base, reader := n.follower.Config(), n.follower.Reader()
	change := n.follower.Reports.Succession(base, candidates, time.Now())
	n.mu.Unlock()
	if change == nil || base.Seq == 0 || !reader {
		return nil
	}
	id := make([]byte, incarnationBytes)
	rand.Read(id) // crypto/rand.Read never fails.
	if _, err := n.log.Append(ctx, base, hex.EncodeToString(id), instance, peridotconfig.Changes{change}); err != nil {
		return err
	}
	return n.Refresh(ctx)
}
