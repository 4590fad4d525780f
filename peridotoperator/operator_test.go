package peridotoperator

import (
	"context"
	"net/http/httptest"
	"testing"

	"peridotstack/peridotconfig"
	"peridotstack/peridotintent"
	"peridotstack/peridotkey"
	"peridotstack/peridottable"
	"peridotstack/peridotverdict"
)

// desk is an operator's interface on a table that fails.
type desk struct {
	store  *peridottable.Faulty
	log    *peridotconfig.Log
	config *peridotconfig.Config
	client *Client
}

func newDesk(t *testing.T) *desk {
	t.Helper()
	store := &peridottable.Faulty{Store: &peridottable.Memory{}}
	d := &desk{store: store, log: &peridotconfig.Log{Store: store}, config: &peridotconfig.Config{}}
	key, id, hash := peridotkey.New()
	changes := peridotconfig.Changes{
		peridotconfig.PutAccount{Account: peridotconfig.Account{Name: "a", Weight: 1}},
		peridotconfig.PutOperator{Operator: peridotconfig.Operator{Name: "o", ID: id, Hash: hash}},
	}
	if _, err := d.log.Append(t.Context(), d.config, "first", "o", changes); err != nil {
		t.Fatal(err)
	}
	o := &Operator{
		Log:     d.log,
		Config:  func() *peridotconfig.Config { return d.config },
		Refresh: d.refresh,
		Await:   func(context.Context, int64) bool { return true },
		Version: func() []InstanceVersion { return nil },
	}
	if err := d.refresh(t.Context()); err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(o.Handler())
	t.Cleanup(server.Close)
	d.client = &Client{Address: server.Listener.Addr().String(), Key: key}
	return d
}

func (d *desk) refresh(ctx context.Context) error {
	next, err := d.log.Load(ctx, d.config)
	if err == nil {
		d.config = next
	}
	return err
}

// TestGiveKeyCountsOnce gives a key while the table service fails.
func TestGiveKeyCountsOnce(t *testing.T) {
	tests := []struct {
		name  string
		fault func(d *desk)
		code  peridotverdict.Code
		keys  int
	}{
		{"nothing fails", func(*desk) {}, "", 1},
		{"the answer is lost", func(d *desk) { d.store.LoseAnswers(1) }, "", 1},
		{"the commit is lost", func(d *desk) { d.store.DropCommits(1) }, "", 1},
		{"the store is down", func(d *desk) { d.store.SetDown(true) }, peridotverdict.StoreUnavailable, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := newDesk(t)
			test.fault(d)
			_, err := d.client.GiveKey(t.Context(), "a")
			if test.code == "" && err != nil || test.code != "" && !peridotverdict.Is(err, test.code) {
				t.Errorf("got %v, want code %q", err, test.code)
			}
			d.store.SetDown(false)
			if err := d.refresh(t.Context()); err != nil {
				t.Fatal(err)
			}
			if got := len(d.config.Keys); got != test.keys {
				t.Errorf("keys: got %d, want %d", got, test.keys)
			}
		})
	}
}

// TestOnlyOperators refuses others, also callers.
func TestOnlyOperators(t *testing.T) {
	d := newDesk(t)
	given, err := d.client.GiveKey(t.Context(), "a")
	if err != nil {
		t.Fatal(err)
	}
	for _, key := range []string{"", "x", given.Key} {
		d.client.Key = key
		if _, err := d.client.State(t.Context(), peridotintent.Intent{}); !peridotverdict.Is(err, peridotverdict.BadKey) {
			t.Errorf("key %q: got %v, want code %q", key, err, peridotverdict.BadKey)
		}
	}
}
