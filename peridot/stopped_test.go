package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"syscall"
	"testing"
	"time"

	"peridotstack/peridotbackend"
)

const (
	maxEnginePolls     = 900
	enginePollInterval = 100 * time.Millisecond
	// observationTime is the time for which a continued process is observed.
	observationTime = 5 * time.Second
)

// engineState returns the state of the fast engine.
func (c *testCluster) engineState() peridotbackend.State {
	response, err := http.Post("http://"+c.engineAddress+"/state", "application/json", bytes.NewReader([]byte("{}")))
	c.check(err)
	defer response.Body.Close()
	var state peridotbackend.State
	c.check(json.NewDecoder(response.Body).Decode(&state))
	return state
}

// awaitVersion waits until the fast engine runs a version, and returns its state.
func (c *testCluster) awaitVersion(version string) peridotbackend.State {
	c.Helper()
	for range maxEnginePolls {
		if state := c.engineState(); state.Version == version && !state.Changing {
			return state
		}
		time.Sleep(enginePollInterval)
	}
	c.Fatalf("engine: got version %s, want %s", c.engineState().Version, version)
	return peridotbackend.State{}
}

// TestStoppedHolder checks that a lease holder that was stopped beyond the end of
// its lease doesn't undo what its successor did. It stops each entry instance in
// turn, so that one of them is the lease holder. While one is stopped, the other
// takes over and loads another version of the model. The engine must keep this
// version after the stopped instance continues. The processes authenticate each
// other by certificates.
func TestStoppedHolder(t *testing.T) {
	c := startCluster(t, 2, true)
	versions := []string{"v2", "v3"}
	for i, version := range versions {
		stopped, other := c.entries[i], 1-i
		c.check(stopped.Process.Signal(syscall.SIGSTOP))
		c.deploy(other, version)
		want := c.awaitVersion(version)
		c.check(stopped.Process.Signal(syscall.SIGCONT))
		time.Sleep(observationTime) // The continued process must not change the engine.
		got := c.engineState()
		if got.Version != want.Version || got.LastOrder != want.LastOrder {
			t.Errorf("after %s continued: got version %s by order %s, want %s by %s", stopped.instance, got.Version, got.LastOrder, want.Version, want.LastOrder)
		}
		c.awaitOK("http://"+stopped.callerAddress+"/v1/completions", completionBody("m", 1, false), c.accountKey)
	}
}
