package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"
)

const (
	// maxFDs is max-fds of the settings.
	maxFDs = 4100
	// routeTimeout is timeout-ms of the routes.
	routeTimeout = time.Second
	// usualChannels is the number of new channels a second, and channelsTime how long they
	// come.
	usualChannels = 42
	channelsTime  = 75 * time.Second
)

// limitDescriptors sets the descriptors that a process may have, as the platform does.
func limitDescriptors(pid int, n uint64) error {
	limit := syscall.Rlimit{Cur: n, Max: n}
	const resourceNoFile = 7
	if _, _, errno := syscall.RawSyscall6(sysPrlimit64, uintptr(pid), resourceNoFile, uintptr(unsafe.Pointer(&limit)), 0, 0, 0); errno != 0 {
		return errno
	}
	return nil
}

// channels lets clients open a new channel for each request. A client doesn't use a channel
// again after four fifths of idle-timeout-ms and leaves it to the front to close it.
func channels(b *bench) (bool, error) {
	b.store.put("op", "config", manifest(3, []any{tenant("sacristans", "key-of-sacristans")}))
	for i := range 4 {
		w, err := newWorker(fmt.Sprint("i-board", i), "quadro-api", b.record, b.runs)
		if err != nil {
			return false, err
		}
		w.quiet = true
		b.store.put("servers", w.id, w.entry())
	}
	f, err := b.addFront("front-recife-a-1", b.store.address(), 8)
	if err != nil {
		return false, err
	}
	b.settle()
	if err := limitDescriptors(f.command.Process.Pid, maxFDs); err != nil {
		return false, err
	}
	rate := usualChannels
	if b.trouble {
		rate *= burstFactor
	}
	// late are the requests without an answer at timeout-ms, and unanswered those of them
	// that have none half a second later.
	var sent, notOpened, answered, late, unanswered atomic.Int64
	var mu sync.Mutex
	byStatus := map[int]int{}
	var kept []net.Conn
	start := time.Now()
	tick := time.NewTicker(time.Second / time.Duration(rate))
	defer tick.Stop()
	report := time.NewTicker(5 * time.Second)
	defer report.Stop()
	for time.Since(start) < channelsTime {
		select {
		case <-report.C:
			files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", f.command.Process.Pid))
			ready := "ready"
			client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
			if a, err := client.Get("http://" + b.ready[f] + "/v1/ready"); err != nil || a.StatusCode != 200 {
				ready = fmt.Sprint("not ready: ", err)
			} else {
				a.Body.Close()
			}
			mu.Lock()
			b.record.add("%d channels opened, %d requests answered %v, %d without an answer at timeout-ms, %d of them without one half a second later, %d channels not opened; the front has %d descriptors, %s", sent.Load(), answered.Load(), byStatus, late.Load(), unanswered.Load(), notOpened.Load(), len(files), ready)
			mu.Unlock()
		case <-tick.C:
			sent.Add(1)
			go func() {
				conn, err := net.DialTimeout("tcp", f.address(), time.Second)
				if err != nil {
					notOpened.Add(1)
					return
				}
				mu.Lock()
				kept = append(kept, conn)
				mu.Unlock()
				sentAt := time.Now()
				_ = conn.SetDeadline(sentAt.Add(routeTimeout + 500*time.Millisecond))
				fmt.Fprintf(conn, "GET /read/7 HTTP/1.1\r\nHost: quadro.example\r\nX-Peridotstack-Request-Id: %s\r\nX-Peridotstack-Deadline-Ms: 1000\r\nAuthorization: Bearer key-of-sacristans\r\n\r\n", newID())
				a, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if time.Since(sentAt) >= routeTimeout {
					late.Add(1)
				}
				if err != nil {
					unanswered.Add(1)
					return
				}
				answered.Add(1)
				mu.Lock()
				byStatus[a.StatusCode]++
				mu.Unlock()
			}()
		}
	}
	for _, c := range kept {
		c.Close()
	}
	return late.Load() >= 8 && 2*unanswered.Load() > late.Load(), nil
}
