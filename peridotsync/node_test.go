package peridotsync

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"peridotstack/peridotconfig"
	"peridotstack/peridottable"
	"peridotstack/peridotwire"
)

// singlePeer is a Peers that fetches every update from node.
type singlePeer struct{ node *Node }

func (f singlePeer) Fetch(_ context.Context, _ string, after int64) (peridotconfig.Update, error) {
	return f.node.UpdateSince(after), nil
}

func (singlePeer) AskWitnesses(context.Context, []peridotconfig.Witness) {}

// serve runs a node until the test ends.
func serve(t *testing.T, n *Node) {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(func() {
		stop()
		synctest.Wait()
	})
	go func() { _ = n.Serve(ctx) }()
}

// TestProofsAge checks that the age of a proof includes the time that the proof
// takes from one process to another, and that the proof expires.
func TestProofsAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &peridottable.Faulty{Store: &peridottable.Memory{}}
		account := peridotconfig.PutAccount{Account: peridotconfig.Account{Name: "a"}}
		if _, err := (&peridotconfig.Log{Store: store}).Append(t.Context(), &peridotconfig.Config{}, "one", "ana", peridotconfig.Changes{account}); err != nil {
			t.Fatal(err)
		}
		entry := New("entry-1", store, singlePeer{})
		entry.SetReader(true)
		serve(t, entry)
		agent := New("agent-1", nil, singlePeer{entry})
		serve(t, agent)
		time.Sleep(tickInterval)
		synctest.Wait()
		if !entry.Fresh() {
			t.Error("entry instance after its check: got a stale configuration, want a fresh one")
		}

		agent.HandlePing("entry-1", entry.Version())
		time.Sleep(tickInterval)
		synctest.Wait()
		if got := agent.Config().Seq; got != 1 || agent.Fresh() {
			t.Errorf("agent after a version without a stamp: got commit number %d and fresh %t, want 1 and false", got, agent.Fresh())
		}
		stamp := agent.Stamp()
		version := entry.Version()
		agent.HandleConfirm("entry-1", version, stamp+int64(time.Hour))
		if agent.Fresh() {
			t.Error("agent after a stamp from the future: got a fresh configuration, want a stale one")
		}

		const delay = 2 * time.Second
		time.Sleep(delay)
		agent.HandleConfirm("entry-1", version, stamp)
		if !agent.Fresh() {
			t.Error("agent after a delayed proof: got a stale configuration, want a fresh one")
		}
		if got, want := agent.Version().ConfirmedMillis, version.ConfirmedMillis+delay.Milliseconds(); got < want {
			t.Errorf("age of the proof at the agent: got %d ms, want at least %d", got, want)
		}
		time.Sleep(peridotconfig.DefaultMaxProofAge - delay)
		if agent.Fresh() {
			t.Error("agent after the proof has expired: got a fresh configuration, want a stale one")
		}
		if at := proofTime(time.Now(), peridotwire.Version{Seq: 1, ConfirmedMillis: neverConfirmed}); !at.IsZero() {
			t.Errorf("a version without a proof: got time %v, want the zero time", at)
		}

		store.SetDown(true)
		time.Sleep(peridotconfig.DefaultMaxProofAge + time.Second)
		if entry.Fresh() {
			t.Error("entry instance without peers during an outage: got a fresh configuration, want a stale one")
		}
		store.SetDown(false)
		time.Sleep(peridotconfig.CheckInterval + tickInterval)
		synctest.Wait()
		if !entry.Fresh() {
			t.Error("entry instance after the outage: got a stale configuration, want a fresh one")
		}
	})
}
