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
	engineTries = 900
	enginePause = 100 * time.Millisecond
	// wakePause is how long a continued process is watched.
	wakePause = 5 * time.Second
)

// engineState asks the fast engine what it runs.
func (p *processes) engineState() peridotbackend.State {
	response, err := http.Post("http://"+p.engine+"/state", "application/json", bytes.NewReader([]byte("{}")))
	p.check(err)
	defer response.Body.Close()
	var state peridotbackend.State
	p.check(json.NewDecoder(response.Body).Decode(&state))
	return state
}

// awaitVersion waits until the engine runs a version.
func (p *processes) awaitVersion(version string) peridotbackend.State {
	p.Helper()
	for range engineTries {
		if state := p.engineState(); state.Version == version && !state.Changing {
			return state
		}
		time.Sleep(enginePause)
	}
	p.Fatalf("engine: got version %s, want %s", p.engineState().Version, version)
	return peridotbackend.State{}
}

// TestStoppedHolder stops each entry instance in turn, also the one that holds
// the lease, past the end of the lease, and continues it. Meanwhile the other
// one takes over and loads another version; the engine must keep it. The
// processes prove themselves to each other by certificates.
func TestStoppedHolder(t *testing.T) {
	p := startProcesses(t, 2, true)
	versions := []string{"v2", "v3"}
	for i, version := range versions {
		stopped, other := p.entries[i], 1-i
		p.check(stopped.Process.Signal(syscall.SIGSTOP))
		p.deploy(other, version)
		want := p.awaitVersion(version)
		p.check(stopped.Process.Signal(syscall.SIGCONT))
		time.Sleep(wakePause) // It is awake and must do no harm.
		got := p.engineState()
		if got.Version != want.Version || got.LastOrder != want.LastOrder {
			t.Errorf("after %s woke: got version %s by order %s, want %s by %s", stopped.instance, got.Version, got.LastOrder, want.Version, want.LastOrder)
		}
		p.await("http://"+stopped.caller+"/v1/completions", completionBody("m", 1, false), p.key)
	}
}
