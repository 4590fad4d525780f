package peridotfront

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"peridotstack/peridotanswer"
	"peridotstack/peridotquarantine"
	"peridotstack/peridotsite"
	"peridotstack/peridottree"
	"peridotstack/peridotwait"
)

const (
	// snapshotPath is the URL path at which fronts serve their state to each other.
	snapshotPath = "/beliefs"
	// snapshotFetchInterval is the pause between two rounds in which a front without
	// a configuration requests the state of the other fronts.
	snapshotFetchInterval = 200 * time.Millisecond
	// snapshotTimeout limits one request for a snapshot; the answer has at most about
	// 100 KB.
	snapshotTimeout = 700 * time.Millisecond
	// maxSnapshotBytes limits the size of a snapshot: a configuration is a row of at
	// most 64 KB, and each backend server takes about 200 bytes.
	maxSnapshotBytes = 4 << 20
	// snapshotMemory limits the memory of all snapshots that are being sent. Anybody may ask
	// for one and read it slowly; 48 ordinary ones of 100 backend servers take 9 MiB.
	snapshotMemory = 12 << 20
	// snapshotBaseCost, snapshotBackendCost and snapshotAccusationCost estimate the memory of a
	// snapshot and its encoded form: a base with the configuration, and for each backend server
	// and each accusation.
	snapshotBaseCost       = 128 << 10
	snapshotBackendCost    = 512
	snapshotAccusationCost = 1 << 10
	// smallSnapshotCost is the cost up to which a snapshot may use the memory kept for small
	// ones.
	smallSnapshotCost = 256 << 10
	// maxSnapshotAccusations limits the accusations in a snapshot, so that those of datagrams
	// from anybody don't make it too large.
	maxSnapshotAccusations = 4 << 10
)

// stateSnapshot is a front's copy of the data in the table service. A front that
// starts while the table service is unavailable uses the snapshot of another front.
type stateSnapshot struct {
	Config   *peridotsite.Config
	Backends []peridotsite.Backend
	// Software contains the software versions that the front has seen registered.
	Software []softwareAge
	// Accusations tells under which parts of prompts servers ended.
	Accusations []peridotquarantine.Accusation
	// Answers tells at which software versions such parts were answered.
	Answers []peridotquarantine.Answer
}

// serveSnapshots serves the state of this front to the other fronts until ctx is
// done. It listens on the TCP port with the same number as the UDP port for
// datagrams.
func (f *Front) serveSnapshots(ctx context.Context) error {
	listener, err := net.Listen("tcp", f.settings.PeerAddress)
	if err != nil {
		return errors.Wrap(err, "listen for snapshot requests")
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+snapshotPath, f.writeSnapshot)
	server := &http.Server{Handler: mux}
	defer context.AfterFunc(ctx, func() { server.Close() })()
	if err := ServeBounded(listener, server); ctx.Err() == nil {
		return errors.Wrap(err, "serve snapshots")
	}
	return nil
}

// writeSnapshot answers with the state of this front, or with status 503 if it has
// no configuration yet or too many snapshots are being sent.
func (f *Front) writeSnapshot(w http.ResponseWriter, _ *http.Request) {
	claim := f.snapshots.NewClaim()
	defer claim.Release()
	if !claim.Grow(f.snapshotCost()) {
		f.metrics.Count("snapshots_refused")
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	f.mu.Lock()
	snapshot := stateSnapshot{Config: f.config.Load(), Software: f.backends.software.ages(f.now())}
	for _, s := range f.backends.byID {
		snapshot.Backends = append(snapshot.Backends, s)
	}
	f.mu.Unlock()
	snapshot.Accusations, snapshot.Answers = f.quarantine.some(maxSnapshotAccusations)
	if snapshot.Config == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if err := json.NewEncoder(w).Encode(snapshot); err != nil {
		log.WithError(err).Debug(logPrefix + "cannot send the snapshot to another front")
	}
}

// snapshotCost returns the estimated memory of a snapshot and its encoded form, in bytes.
func (f *Front) snapshotCost() int64 {
	f.mu.Lock()
	backends := len(f.backends.byID)
	f.mu.Unlock()
	return snapshotBaseCost + snapshotBackendCost*int64(backends) + snapshotAccusationCost*int64(min(f.quarantine.count(), maxSnapshotAccusations))
}

// newSnapshotClient returns a client for snapshots of other fronts.
func newSnapshotClient() *http.Client {
	return &http.Client{Timeout: snapshotTimeout, Transport: peridotanswer.NewTransport(&http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeaderBytes})}
}

// copyPeerState copies the state of another front if the table service is unavailable
// before this front has a configuration. It returns peridottree.ErrFinished once this
// front has a configuration or ctx is done.
func (f *Front) copyPeerState(ctx context.Context) error {
	client := newSnapshotClient()
	for ctx.Err() == nil && f.config.Load() == nil {
		if f.configFeedLost() {
			for address, state := range f.peers.alivePeers() {
				if f.copyStateFrom(ctx, client, address.String(), state.instance) {
					return peridottree.ErrFinished
				}
			}
		}
		peridotwait.Sleep(ctx, snapshotFetchInterval)
	}
	return peridottree.ErrFinished
}

// configFeedLost reports whether the last call of the configuration feed failed.
func (f *Front) configFeedLost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lostFeeds[FeedConfig]
}

// copyStateFrom requests the state of the front at address and applies it. It
// reports whether it succeeded.
func (f *Front) copyStateFrom(ctx context.Context, client *http.Client, address, instance string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+snapshotPath, http.NoBody)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		f.metrics.Count("handover_failures")
		return false
	}
	defer response.Body.Close()
	var snapshot stateSnapshot
	data, err := io.ReadAll(io.LimitReader(response.Body, maxSnapshotBytes+1))
	if err == nil && len(data) > maxSnapshotBytes {
		err = errors.New("the snapshot is too long")
	}
	if err == nil {
		err = json.Unmarshal(data, &snapshot)
	}
	if response.StatusCode != http.StatusOK || err != nil || snapshot.Config == nil {
		f.metrics.Count("handover_failures")
		return false
	}
	f.applySnapshot(&snapshot)
	log.WithFields(log.Fields{"from": instance, "version": snapshot.Config.Version, "backends": len(snapshot.Backends)}).Info(logPrefix + "copied the configuration of another front")
	return true
}

// applySnapshot records the software versions in the snapshot. It uses the backend
// servers in it unless the table service has
// already answered with the registered ones, and the configuration in the snapshot if
// it is newer than the current one.
func (f *Front) applySnapshot(snapshot *stateSnapshot) {
	f.mu.Lock()
	f.backends.observeSoftware(f.now(), snapshot.Software)
	_, answered := f.feedAnsweredAt[FeedBackends]
	f.mu.Unlock()
	if !answered {
		f.SetBackends(snapshot.Backends)
	}
	f.quarantine.load(snapshot.Accusations, snapshot.Answers)
	f.SetConfig(snapshot.Config.BuildIndex())
}
