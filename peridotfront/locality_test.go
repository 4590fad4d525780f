package peridotfront

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"peridotstack/peridotlocality"
	"peridotstack/peridotplace"
	"peridotstack/peridotsite"
)

// TestLocalityInReports guards against loads of domains that other fronts don't learn, and
// against reports that fronts of the previous version can't decode or that get too large.
func TestLocalityInReports(t *testing.T) {
	sent := peridotplace.Report{
		Loads: []peridotplace.Load{{Backend: "d", Running: 3}}, Domain: "a",
		Arrivals: []peridotplace.Arrival{{Service: "s", PerSecond: 12.5}, {Service: "left", PerSecond: 1}},
		Times:    []peridotplace.ServedTime{{Backend: "d", Millis: 30.25, Weight: 1.5}, {Backend: "left", Millis: 1, Weight: 1}},
	}
	m := &message{From: "front-1"}
	m.addReport(sent)
	data, err := m.encode()
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := decodeMessage(data)
	if err != nil {
		t.Fatal(err)
	}
	ids := map[uint32]string{serverHash("d"): "d"}
	services := serviceHashes(&peridotsite.Config{Services: []peridotsite.Service{{Name: "s"}}})
	got := decoded.report(ids)
	decoded.Locality.addTo(&got, ids, services)
	want := sent
	want.Arrivals, want.Times = sent.Arrivals[:1], sent.Times[:1]
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	var old struct {
		Loads []load `cbor:"3,keyasint,omitempty"`
	}
	if err := cbor.Unmarshal(data, &old); err != nil || len(old.Loads) != 1 {
		t.Errorf("previous version: got %+v, error %v, want one load", old.Loads, err)
	}
	m.Peers, m.Locality.Times = make([]string, 7000), make([]servedTime, 600)
	if data, err = m.encode(); err != nil {
		t.Fatal(err)
	}
	if decoded, err = decodeMessage(data); err != nil || decoded.Locality != nil || len(decoded.Loads) != 1 {
		t.Errorf("too large: got %+v, error %v, want the loads alone", decoded, err)
	}
}

// TestCrossingReason guards against requests whose times left don't reach the decision, and
// against ones that are counted as sent to another domain for a wrong reason.
func TestCrossingReason(t *testing.T) {
	x := newStallExchange(t)
	f := x.front
	home := f.settings.Domain
	x.route.Objective, x.route.Timeout, x.route.Targets = 120*time.Millisecond, 600*time.Millisecond, []peridotsite.Target{{Service: "s", Weight: 1}}
	f.SetConfig((&peridotsite.Config{Version: 2, Routes: []peridotsite.Route{*x.route}, Services: []peridotsite.Service{{Name: "s"}}}).BuildIndex())
	list := []peridotsite.Backend{{ID: "a", Service: "s", Domain: home, Slots: 6}, {ID: "b", Service: "s", Domain: "other", Slots: 6}}
	f.SetBackends(list)
	now := f.now()
	for range 5 {
		f.placer.Done(now, f.placer.Begin(now-30*time.Millisecond, "a"), peridotplace.Answered)
	}
	for _, reports := range []bool{false, true} {
		got := make(map[peridotlocality.Reason]bool)
		for range 200 {
			if reports {
				f.placer.Observe(f.now(), "front-2", peridotplace.Report{Domain: "other"})
			}
			c, _ := x.place("")
			x.recordCrossing(list[strings.Index("ab", c.Backend)])
			if (x.crossedFor == "") != (c.Backend == "a") {
				t.Fatalf("server %s: got counted for %q", c.Backend, x.crossedFor)
			}
			got[x.crossedFor] = true
			f.placer.Begin(f.now(), "a")
		}
		if got[peridotlocality.Wait] != reports || got[peridotlocality.Unknown] == reports {
			t.Errorf("reports %v: got reasons %v", reports, got)
		}
	}
}
