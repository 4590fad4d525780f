package peridotentry

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"peridotstack/peridotagent"
	"peridotstack/peridotconfig"
	"peridotstack/peridotplatform"
	"peridotstack/peridotsettings"
	"peridotstack/peridotstandin"
)

// TestControlLoadsConfiguredVersion runs the controls of two entry instances
// with one engine over loopback. The engine must receive one order to load the
// configured version and one to change its role.
func TestControlLoadsConfiguredVersion(t *testing.T) {
	t.Parallel()
	engine := peridotstandin.NewEngine(peridotstandin.EngineOptions{Model: "m", Version: "v1", Role: "Mixed"})
	engineServer := httptest.NewServer(engine.Handler())
	defer engineServer.Close()
	platform := peridotstandin.NewPlatform()
	platformServer := httptest.NewServer(platform.Handler())
	defer platformServer.Close()
	client := peridotplatform.NewClient(platformServer.Listener.Addr().String())

	peerAddress, err := peridotstandin.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	agent := peridotagent.New(peridotsettings.Agent{
		Process:       peridotsettings.Process{Instance: "e1", Domain: "a", ShutdownGraceMillis: 1000},
		PeerAddress:   peerAddress,
		EngineAddress: engineServer.Listener.Addr().String(),
	}, client)
	go agent.Serve(ctx)
	platform.SetInstances(peridotplatform.Instance{ID: "e1", Role: peridotplatform.RoleAgent, Domain: "a", Address: peerAddress, Model: "m"})

	configLog := &peridotconfig.Log{Store: client}
	_, err = configLog.Append(ctx, &peridotconfig.Config{}, "first", "test", peridotconfig.Changes{
		peridotconfig.PutDomain{Domain: peridotconfig.Domain{Name: "a"}},
		peridotconfig.PutModel{Model: peridotconfig.Model{Name: "m"}},
		peridotconfig.SetDeployments{Deployments: []peridotconfig.Deployment{{Domain: "a", Model: "m", Version: "v2", Role: peridotconfig.Decode, Replicas: 1}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"entry-1", "entry-2"} {
		s := peridotsettings.Entry{Process: peridotsettings.Process{Instance: name, PlatformAddress: platformServer.Listener.Addr().String()}}
		e := New(s, client)
		if err := e.node.Refresh(ctx); err != nil {
			t.Fatal(err)
		}
		defer newControl(e).startServing()()
	}
	for range 600 {
		if len(engine.Orders()) >= 2 {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	orders := engine.Orders()
	if len(orders) != 2 || orders[0].Version != "v2" || orders[1].Role != "Decode" {
		t.Errorf("orders at the engine: got %+v, want v2 loaded, then the role Decode", orders)
	}
}
