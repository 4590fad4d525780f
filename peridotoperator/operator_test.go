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

// fixture is an operator interface whose table service can be made to fail.
type fixture struct {
	store  *peridottable.Faulty
	log    *peridotconfig.Log
	config *peridotconfig.Config
	client *Client
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	store := &peridottable.Faulty{Store: &peridottable.Memory{}}
	f := &fixture{store: store, log: &peridotconfig.Log{Store: store}, config: &peridotconfig.Config{}}
	key, id, hash := peridotkey.New()
	changes := peridotconfig.Changes{
		peridotconfig.PutAccount{Account: peridotconfig.Account{Name: "a", Weight: 1}},
		peridotconfig.PutOperator{Operator: peridotconfig.Operator{Name: "o", ID: id, Hash: hash}},
	}
	if _, err := f.log.Append(t.Context(), f.config, "first", "o", changes); err != nil {
		t.Fatal(err)
	}
	o := &Operator{
		Log:           f.log,
		Config:        func() *peridotconfig.Config { return f.config },
		Refresh:       f.refresh,
		AwaitAccepted: func(context.Context, int64) bool { return true },
		Versions:      func() []InstanceVersion { return nil },
	}
	if err := f.refresh(t.Context()); err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(o.Handler())
	t.Cleanup(server.Close)
	f.client = &Client{Address: server.Listener.Addr().String(), Key: key}
	return f
}

func (f *fixture) refresh(ctx context.Context) error {
	next, err := f.log.Load(ctx, f.config)
	if err == nil {
		f.config = next
	}
	return err
}

// TestGiveKeyAddsOneKey tests that a key is added only once if the table service
// loses the commit or its answer, and not at all if it is down.
func TestGiveKeyAddsOneKey(t *testing.T) {
	tests := []struct {
		name        string
		injectFault func(f *fixture)
		wantCode    peridotverdict.Code
		wantKeys    int
	}{
		{"no failure", func(*fixture) {}, "", 1},
		{"answer lost", func(f *fixture) { f.store.LoseAnswers(1) }, "", 1},
		{"commit lost", func(f *fixture) { f.store.DropCommits(1) }, "", 1},
		{"table service down", func(f *fixture) { f.store.SetDown(true) }, peridotverdict.StoreUnavailable, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			test.injectFault(f)
			_, err := f.client.GiveKey(t.Context(), "a")
			if test.wantCode == "" && err != nil || test.wantCode != "" && !peridotverdict.Is(err, test.wantCode) {
				t.Errorf("got %v, want code %q", err, test.wantCode)
			}
			f.store.SetDown(false)
			if err := f.refresh(t.Context()); err != nil {
				t.Fatal(err)
			}
			if got := len(f.config.Keys); got != test.wantKeys {
				t.Errorf("keys: got %d, want %d", got, test.wantKeys)
			}
		})
	}
}

// TestRejectsOtherKeys tests that only an operator's key gives access, and not the
// key of a client account.
func TestRejectsOtherKeys(t *testing.T) {
	f := newFixture(t)
	given, err := f.client.GiveKey(t.Context(), "a")
	if err != nil {
		t.Fatal(err)
	}
	for _, key := range []string{"", "x", given.Key} {
		f.client.Key = key
		if _, err := f.client.CreatePlan(t.Context(), peridotintent.Intent{}); !peridotverdict.Is(err, peridotverdict.BadKey) {
			t.Errorf("key %q: got %v, want code %q", key, err, peridotverdict.BadKey)
		}
	}
}
