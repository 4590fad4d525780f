package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// ramMB is ram-mb of the settings, and bodyBytes max-body-bytes of the manifest.
	ramMB     = 284
	bodyBytes = 4194304
	// usualUploads is the number of clients that send a body at once at each front, and
	// burstFactor the dose of the burst.
	usualUploads = 12
	burstFactor  = 2
	uploadTime   = time.Second
	uploadRounds = 16
)

// residentMB returns the memory of a process, or 0 if it has ended.
func residentMB(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if text, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")))
			return float64(kb) / 1024
		}
	}
	return 0
}

// upload sends a short request and then, on the same channel, one whose body has the largest
// size that the manifest allows, over about the given time. It returns the status of the
// latter, 0 if the channel ended without an answer, or -1 if the short request failed.
func upload(f *front, id string, over time.Duration) int {
	conn, err := net.Dial("tcp", f.address())
	if err != nil {
		return -1
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(over + 5*time.Second))
	in := bufio.NewReader(conn)
	fmt.Fprintf(conn, "GET /read/7 HTTP/1.1\r\nHost: quadro.example\r\nX-Peridotstack-Request-Id: %s\r\nX-Peridotstack-Deadline-Ms: 5000\r\nAuthorization: Bearer key-of-sacristans\r\n\r\n", newID())
	first, err := http.ReadResponse(in, nil)
	if err != nil {
		return -1
	}
	if _, err := io.Copy(io.Discard, first.Body); err != nil {
		return -1
	}
	fmt.Fprintf(conn, "POST /set/7 HTTP/1.1\r\nHost: quadro.example\r\nX-Peridotstack-Request-Id: %s\r\nX-Peridotstack-Deadline-Ms: 5000\r\nAuthorization: Bearer key-of-sacristans\r\nContent-Length: %d\r\n\r\n", id, bodyBytes)
	const pieces = 32
	piece := bytes.Repeat([]byte("p"), bodyBytes/pieces)
	for range pieces {
		if _, err := conn.Write(piece); err != nil {
			break // An early answer may still come.
		}
		time.Sleep(over / pieces)
	}
	answer, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0
	}
	answer.Body.Close()
	return answer.StatusCode
}

// watchMemory does what the platform does: it kills a process that exceeds ram-mb, and
// starts it again. It counts the ends.
func watchMemory(b *bench, f *front, ends *atomic.Int64, stop chan struct{}) {
	peak := 0.0
	for {
		select {
		case <-stop:
			b.record.add("%s: at most %.0f MB since its last start", f.name, peak)
			return
		case <-time.After(10 * time.Millisecond):
		}
		mb := residentMB(f.command.Process.Pid)
		peak = max(peak, mb)
		if mb <= ramMB {
			continue
		}
		b.record.add("%s exceeds ram-mb: %.0f MB of %d; the platform kills process %d", f.name, mb, ramMB, f.command.Process.Pid)
		f.kill()
		ends.Add(1)
		peak = 0
		time.Sleep(500 * time.Millisecond)
		if err := f.startProcess(b.root); err != nil {
			b.record.add("cannot start %s again: %v", f.name, err)
			return
		}
		if err := f.awaitReady(b.ready[f], 10*time.Second); err != nil {
			b.record.add("%v", err)
		}
		b.record.add("%s is ready again (process %d)", f.name, f.command.Process.Pid)
	}
}

// uploads lets clients send bodies of the allowed size, at both fronts, in rounds: the usual
// number of clients at once, or a burst.
func uploads(b *bench) (bool, error) {
	m := manifest(3, []any{tenant("sacristans", "key-of-sacristans")})
	for _, r := range m["routes"].([]any) {
		r.(map[string]any)["timeout-ms"] = 5000
	}
	b.store.put("op", "config", m)
	for i := range 4 {
		w, err := newWorker(fmt.Sprint("i-board", i), "quadro-api", b.record, b.runs)
		if err != nil {
			return false, err
		}
		w.slots = make(chan struct{}, 6)
		w.queue = make(chan struct{}, 24)
		b.store.put("servers", w.id, w.entry())
	}
	for i := range 2 {
		if _, err := b.addFront(fmt.Sprint("front-recife-a-", i+1), b.store.address(), 8); err != nil {
			return false, err
		}
	}
	b.settle()
	clients := usualUploads
	if b.trouble {
		clients *= burstFactor
	}
	ends := make([]atomic.Int64, len(b.fronts))
	stop := make(chan struct{})
	var watchers sync.WaitGroup
	for i, f := range b.fronts {
		watchers.Go(func() { watchMemory(b, f, &ends[i], stop) })
	}
	lost, ran := 0, 0
	for round := range uploadRounds {
		var wg sync.WaitGroup
		var mu sync.Mutex
		got := map[int]int{}
		for _, f := range b.fronts {
			for range clients {
				wg.Go(func() {
					id := newID()
					status := upload(f, id, uploadTime)
					mu.Lock()
					defer mu.Unlock()
					got[status]++
					if status == 0 && len(b.runs.of(id)) > 0 {
						ran++
					}
					if status == 0 {
						lost++
					}
				})
			}
		}
		wg.Wait()
		b.record.add("round %d: %d clients at once at each of 2 fronts; answers by status (0: none, -1: not sent): %v", round+1, clients, got)
		time.Sleep(time.Second)
	}
	close(stop)
	watchers.Wait()
	b.record.add("ends of processes over ram-mb: %d and %d; kept channels closed without an answer to a request: %d, of which %d had been passed on to a worker", ends[0].Load(), ends[1].Load(), lost, ran)
	return ends[0].Load() >= 3 && ends[1].Load() >= 3, nil
}
