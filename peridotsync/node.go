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
	// tickInterval is the time between two ticks of the follower.
	tickInterval = 100 * time.Millisecond
	// callTimeout limits the duration of a check or a fetch. A lost answer delays
	// the next attempt by the whole timeout.
	callTimeout = time.Second
	// firstReadTimeout limits the duration of a fetch of the whole configuration.
	firstReadTimeout = 5 * time.Second
	// incarnationBytes is the number of random bytes in an incarnation.
	incarnationBytes = 8
	// acceptPollInterval is the time between two checks whether a commit is accepted.
	acceptPollInterval = 100 * time.Millisecond
	// neverConfirmed is the ConfirmedMillis of a configuration without a proof.
	neverConfirmed = -1
)

// Peers communicates with other processes. Its methods may be called concurrently.
type Peers interface {
	// Fetch asks a peer for the update of a configuration whose last commit has the
	// number after.
	Fetch(ctx context.Context, peer string, after int64) (peridotconfig.Update, error)
	// AskWitnesses starts an exchange of versions with each witness and returns
	// without waiting for the answers. The answers must be passed to
	// Node.HandlePong.
	AskWitnesses(ctx context.Context, witnesses []peridotconfig.Witness)
}

// Node keeps the configuration of one process up to date. Create one with New. Its
// methods may be called concurrently.
type Node struct {
	// Incarnation identifies the process between two restarts. New chooses it at
	// random.
	Incarnation string

	peers     Peers
	metrics   *peridotmetric.Metrics
	log       *peridotconfig.Log
	head      *peridotconfig.HeadCheck
	createdAt time.Time
	config    atomic.Pointer[peridotconfig.Config]
	wakeups   chan struct{}

	mu       sync.Mutex
	follower *peridotconfig.Follower
	recent   peridotconfig.RecentCommits
}

// Option sets an optional part of a Node.
type Option func(*Node)

// WithMetrics makes the node count its actions and failures in m.
func WithMetrics(m *peridotmetric.Metrics) Option {
	return func(n *Node) { n.metrics = m }
}

// New returns a node for the given instance. If store is nil, the node fetches from
// peers only, and Refresh must not be called.
func New(instance string, store peridottable.Store, peers Peers, options ...Option) *Node {
	id := make([]byte, incarnationBytes)
	rand.Read(id) // crypto/rand.Read never fails.
	n := &Node{
		Incarnation: hex.EncodeToString(id),
		peers:       peers,
		metrics:     &peridotmetric.Metrics{},
		createdAt:   time.Now(),
		wakeups:     make(chan struct{}, 1),
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

// Serve keeps the configuration up to date until ctx is done. It returns nil.
func (n *Node) Serve(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		n.mu.Lock()
		actions := n.follower.Tick(time.Now())
		n.mu.Unlock()
		for _, action := range actions {
			n.perform(ctx, action)
		}
		select {
		case <-ticker.C:
		case <-n.wakeups:
		case <-ctx.Done():
			return nil
		}
	}
}

// wake makes Serve run the next tick without waiting for tickInterval.
func (n *Node) wake() {
	select {
	case n.wakeups <- struct{}{}:
	default:
	}
}

// perform performs an action of the follower without waiting for its result.
func (n *Node) perform(ctx context.Context, action peridotconfig.Action) {
	switch action := action.(type) {
	case peridotconfig.CheckHead:
		go n.checkHead(ctx)
	case peridotconfig.AskWitnesses:
		n.metrics.Count("config_witness_asks")
		n.peers.AskWitnesses(ctx, n.Witnesses())
	case peridotconfig.Fetch:
		go n.fetch(ctx, action)
	}
}

// checkHead gets the newest commit number, and thereby a proof, from the table
// service. The time of the proof is the time before the request is sent.
func (n *Node) checkHead(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := time.Now()
	seq, err := n.head.NewestSeq(ctx)
	if err != nil {
		n.metrics.Count("config_check_failures")
	}
	n.mu.Lock()
	n.follower.HandleCheckResult(sent, seq, err)
	n.mu.Unlock()
	n.wake()
}

// fetch performs a Fetch action and applies the update.
func (n *Node) fetch(ctx context.Context, f peridotconfig.Fetch) {
	timeout := callTimeout
	if f.After == 0 {
		timeout = firstReadTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	update, err := n.readUpdate(ctx, f)
	if err == nil {
		err = n.applyUpdate(update)
	}
	if err != nil {
		n.metrics.Count("config_fetch_failures")
	}
	n.mu.Lock()
	n.follower.HandleFetchResult(time.Now(), err)
	n.mu.Unlock()
	n.wake()
}

// readUpdate reads the update of a Fetch action.
func (n *Node) readUpdate(ctx context.Context, f peridotconfig.Fetch) (peridotconfig.Update, error) {
	if f.Peer == "" {
		return n.log.ReadUpdate(ctx, n.Config())
	}
	return n.peers.Fetch(ctx, f.Peer, f.After)
}

// applyUpdate applies an update to the current configuration. It ignores an update
// that is not newer.
func (n *Node) applyUpdate(u peridotconfig.Update) error {
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

// Config returns the current configuration.
func (n *Node) Config() *peridotconfig.Config {
	return n.config.Load()
}

// Fresh reports whether the current configuration may be used to start requests that
// require a key.
func (n *Node) Fresh() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.follower.Fresh(time.Now())
}

// CheckFresh returns nil if the configuration is fresh, and otherwise an error with
// the code ConfigStale with which to refuse a request that requires a key.
func (n *Node) CheckFresh() *peridotverdict.Error {
	if n.Fresh() {
		return nil
	}
	return peridotverdict.New(peridotverdict.ConfigStale, peridotverdict.NotRun, "the configuration cannot be proven to be the newest", peridotverdict.RetryAfter(time.Second))
}

// SetReader sets whether the process is one of the readers, which check the table
// service regularly.
func (n *Node) SetReader(reader bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.follower.SetReader(reader)
}

// Version returns the version of the configuration, to be sent to a peer at once.
// The age of the proof is rounded up to a whole millisecond.
func (n *Node) Version() peridotwire.Version {
	n.mu.Lock()
	defer n.mu.Unlock()
	proof := n.follower.Proof()
	if proof.At.IsZero() {
		return peridotwire.Version{Seq: proof.Seq, ConfirmedMillis: neverConfirmed}
	}
	return peridotwire.Version{Seq: proof.Seq, ConfirmedMillis: time.Since(proof.At).Milliseconds() + 1}
}

// Stamp returns a timestamp for a peer to send back with its confirmation: the time
// since the creation of the node, in nanoseconds.
func (n *Node) Stamp() int64 {
	return int64(time.Since(n.createdAt))
}

// HandlePing processes a version that a peer sent without being asked. It ignores the
// proof, because the time that the message took is unknown.
func (n *Node) HandlePing(peer string, v peridotwire.Version) {
	n.handleVersion(peer, v.Seq, time.Time{})
}

// HandleConfirm processes a version that a peer sent after it received the stamp. It
// ignores the version if the stamp cannot be one that this node returned.
func (n *Node) HandleConfirm(peer string, v peridotwire.Version, stamp int64) {
	if stamp <= 0 || stamp > n.Stamp() {
		return
	}
	n.handleVersion(peer, v.Seq, proofTime(n.createdAt.Add(time.Duration(stamp)), v))
}

// HandlePong processes the version v in the answer of a peer to a ping that this
// process sent at the time sent, when its configuration was configAtSend. The
// identity w of the peer has no Incarnation if the peer cannot be a witness.
func (n *Node) HandlePong(configAtSend *peridotconfig.Config, w peridotconfig.Witness, v peridotwire.Version, sent time.Time) {
	n.handleVersion(w.Instance, v.Seq, proofTime(sent, v))
	if w.Incarnation == "" {
		return
	}
	n.mu.Lock()
	n.follower.HandleReport(configAtSend, peridotconfig.Report{Witness: w, Seq: v.Seq, Sent: sent})
	n.mu.Unlock()
}

// handleVersion passes the version of a peer to the follower. A zero time means that
// there is no proof.
func (n *Node) handleVersion(peer string, seq int64, at time.Time) {
	n.mu.Lock()
	n.follower.HandleVersion(peer, seq, at)
	outdated := seq > n.follower.Config().Seq
	n.mu.Unlock()
	if outdated {
		n.wake()
	}
}

// proofTime returns a time on the clock of this process that is not later than the
// proof in v. The sender must have computed the age of the proof after from. proofTime
// returns the zero time if there is no proof.
func proofTime(from time.Time, v peridotwire.Version) time.Time {
	if v.ConfirmedMillis < 0 {
		return time.Time{}
	}
	return from.Add(-time.Duration(v.ConfirmedMillis) * time.Millisecond)
}

// UpdateSince returns the update for a peer that has applied the commits up to seq.
func (n *Node) UpdateSince(seq int64) peridotconfig.Update {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.recent.UpdateSince(n.follower.Config(), seq)
}

// Refresh reads the later commits from the table service and applies them. The read
// may be stale.
func (n *Node) Refresh(ctx context.Context) error {
	update, err := n.log.ReadUpdate(ctx, n.Config())
	if err != nil {
		return err
	}
	return n.applyUpdate(update)
}

// Witnesses returns the witnesses of all listed panels.
func (n *Node) Witnesses() []peridotconfig.Witness {
	var all []peridotconfig.Witness
	for _, p := range n.Config().Panels {
		all = append(all, p.Witnesses...)
	}
	return all
}

// AwaitAccepted waits until the commit seq is accepted, and asks the witnesses every
// acceptPollInterval for their versions. It returns false if ctx is done first.
func (n *Node) AwaitAccepted(ctx context.Context, seq int64) bool {
	for {
		if n.isAccepted(seq) {
			return true
		}
		n.peers.AskWitnesses(ctx, n.Witnesses())
		timer := time.NewTimer(acceptPollInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return false
		}
	}
}

func (n *Node) isAccepted(seq int64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.follower.Reports.Accepted(n.follower.Config(), seq)
}

// UpdatePanels commits the change of the panels that is due, if any, in the name of
// the given instance. Candidates are processes that have answered recently.
// UpdatePanels does nothing in a process that is not a reader, because only one of
// several concurrent commits succeeds.
func (n *Node) UpdatePanels(ctx context.Context, instance string, candidates []peridotconfig.Witness) error {
	n.mu.Lock()
	base, reader := n.follower.Config(), n.follower.IsReader()
	change := n.follower.Reports.NextPanelChange(base, candidates, time.Now())
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
