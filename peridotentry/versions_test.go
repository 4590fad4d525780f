package peridotentry

import (
	"context"
	"encoding/json"
	"net"
	"testing"
	"time"

	"peridotstack/peridotconfig"
	"peridotstack/peridotmember"
	"peridotstack/peridotsync"
	"peridotstack/peridottable"
	"peridotstack/peridotwire"
)

// fakeWitness answers pings and passes on each Confirm message that it receives.
type fakeWitness struct{ confirmed chan peridotwire.Confirm }

func (w *fakeWitness) HandleRequest(context.Context, *peridotwire.Peer, string, json.RawMessage) (any, error) {
	return peridotwire.Pong{From: "agent-1", Domain: "recife-a", Incarnation: "1", Version: peridotwire.Version{Seq: 1, ConfirmedMillis: -1}, Stamp: 7}, nil
}

func (w *fakeWitness) HandleNotification(_ *peridotwire.Peer, method string, params json.RawMessage) {
	var c peridotwire.Confirm
	if method == peridotwire.MethodConfirm && json.Unmarshal(params, &c) == nil {
		w.confirmed <- c
	}
}

// TestAskUnlinkedWitness exchanges versions with a witness that the entry
// instance has no link to.
func TestAskUnlinkedWitness(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	w := &fakeWitness{confirmed: make(chan peridotwire.Confirm, 1)}
	served := make(chan error, 1)
	go func() { served <- (&peridotwire.Server{Listener: listener, Handler: w}).Serve(ctx) }()
	t.Cleanup(func() {
		stop()
		<-served
	})
	p := newPool("entry-1", "recife-a", nil)
	p.node = peridotsync.New("entry-1", &peridottable.Memory{}, p)

	p.AskWitnesses(ctx, []peridotconfig.Witness{{Domain: "recife-a", Instance: "agent-1", Incarnation: "1", Address: listener.Addr().String()}})
	if got, want := (<-w.confirmed).Stamp, int64(7); got != want {
		t.Errorf("stamp in the confirmation: got %d, want %d", got, want)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if got, want := p.view.State("agent-1", time.Now()), peridotmember.Alive; got != want {
		t.Errorf("state of the witness: got %d, want %d", got, want)
	}
}
