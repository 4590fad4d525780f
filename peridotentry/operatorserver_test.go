package peridotentry_test

import (
	"net/http"
	"sync"
	"testing"

	"peridotstack/peridotawait"
	"peridotstack/peridotentry"
	"peridotstack/peridotplatform"
	"peridotstack/peridotsettings"
	"peridotstack/peridotstandin"
)

// TestNewOperatorConnections requests pages from the operators' server, each on
// a new connection. The race detector checks what nbio passes from the goroutine
// that accepts a connection to the one that reads from it.
func TestNewOperatorConnections(t *testing.T) {
	platform := peridotstandin.NewPlatform()
	s := peridotsettings.Entry{CallerAddress: freeAddress(t)}
	s.Process = peridotsettings.Process{Instance: "entry-0", Domain: "domain-0", OperatorAddress: freeAddress(t), ShutdownGraceMillis: 1000}
	startProcess(t, peridotentry.New(s, peridotplatform.NewClient(serveStandIn(t, platform.Handler()))).Serve)
	get := func() error {
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		response, err := client.Get("http://" + s.OperatorAddress + "/metrics")
		if err != nil {
			return err
		}
		return response.Body.Close()
	}
	peridotawait.Until(t, "page of the operators' server", func() bool { return get() == nil })
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 50 {
				if err := get(); err != nil {
					t.Errorf("got %v, want a page", err)
					return
				}
			}
		})
	}
	wg.Wait()
}
