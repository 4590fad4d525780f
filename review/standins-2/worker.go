package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// workerSpec describes a worker. Its process gets it as JSON in the variable WORKER.
type workerSpec struct {
	ID, Service, Stage, Version, Address, Control string
	Slots                                         int
	// WorkMillis is the time of a plain request, or until the first event of a stream.
	WorkMillis int
	// EventMillis is the time between two events.
	EventMillis int
	// Unframed is set if the streams have no length and end with their channels.
	Unframed bool
}

// report is what a worker process tells about a request.
type report struct {
	Worker, Request, What string
	UnixNano              int64
}

// runWorker is the main function of a worker process.
func runWorker() error {
	var s workerSpec
	if err := json.Unmarshal([]byte(os.Getenv("WORKER")), &s); err != nil {
		return err
	}
	w := &worker{spec: s, born: time.Now().UnixMilli(), slots: make(chan struct{}, s.Slots), reports: make(chan report, 10000)}
	listener, err := net.Listen("tcp", s.Address)
	if err != nil {
		return err
	}
	go w.beat()
	go w.sendReports()
	terminated := make(chan os.Signal, 1)
	signal.Notify(terminated, syscall.SIGTERM)
	go func() { _ = http.Serve(listener, w) }() // Ends with the listener.
	<-terminated
	return w.leave(listener)
}

type worker struct {
	spec    workerSpec
	born    int64
	slots   chan struct{}
	reports chan report
	// draining is set once the worker leaves, and active counts its requests.
	draining atomic.Bool
	seq      atomic.Int64
	active   sync.WaitGroup
}

// leave reports that the worker drains, serves on for longer than drain-ms, listens no more,
// finishes its requests and ends.
func (w *worker) leave(listener net.Listener) error {
	w.draining.Store(true)
	w.writeEntry()
	w.tell("", "reports draining")
	time.Sleep(drainBound + 500*time.Millisecond)
	listener.Close()
	w.tell("", "listens no more")
	w.active.Wait()
	w.tell("", "has finished all requests and ends")
	time.Sleep(200 * time.Millisecond) // For the reports.
	response, err := http.Post("http://"+w.spec.Control+"/gone?id="+w.spec.ID, "", http.NoBody)
	if err == nil {
		response.Body.Close()
	}
	return errors.New("left")
}

// beat writes the worker's entry every heartbeat.
func (w *worker) beat() {
	for {
		w.writeEntry()
		time.Sleep(heartbeat)
	}
}

func (w *worker) writeEntry() {
	state := "ready"
	if w.draining.Load() {
		state = "draining"
	}
	entry := map[string]any{
		"service": w.spec.Service, "addr": w.spec.Address, "zone": "recife-a", "version": w.spec.Version, "slots": w.spec.Slots,
		"state": state, "cold-left-ms": 0, "seq": w.seq.Add(1), "born": w.born,
	}
	if w.spec.Stage != "" {
		entry["stage"] = w.spec.Stage
	}
	data, _ := json.Marshal(entry)
	response, err := http.Post("http://"+w.spec.Control+"/beat?id="+w.spec.ID, "application/json", bytes.NewReader(data))
	if err == nil {
		response.Body.Close()
	}
}

// sendReports sends the reports in the order in which they were made.
func (w *worker) sendReports() {
	for r := range w.reports {
		list := []report{r}
		for len(w.reports) > 0 {
			list = append(list, <-w.reports)
		}
		data, _ := json.Marshal(list)
		response, err := http.Post("http://"+w.spec.Control+"/report", "application/json", bytes.NewReader(data))
		if err == nil {
			response.Body.Close()
		}
	}
}

func (w *worker) tell(request, what string) {
	w.reports <- report{Worker: w.spec.ID, Request: request, What: what, UnixNano: time.Now().UnixNano()}
}

func (w *worker) refuse(out http.ResponseWriter, id string, status int) {
	w.tell(id, "refused "+strconv.Itoa(status))
	out.Header().Set("X-Peridotstack-Not-Run", "1")
	out.WriteHeader(status)
}

func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Peridotstack-Request-Id")
	out.Header().Set("X-Peridotstack-Request-Id", id)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	switch {
	case id == "":
		w.refuse(out, id, http.StatusBadRequest)
		return
	case r.Header.Get("X-Peridotstack-Expect-Instance") != w.spec.ID, r.Header.Get("X-Peridotstack-Stage") != "":
		w.refuse(out, id, http.StatusMisdirectedRequest)
		return
	}
	select {
	case w.slots <- struct{}{}:
		defer func() { <-w.slots }()
	default:
		w.refuse(out, id, http.StatusServiceUnavailable)
		return
	}
	w.tell(id, "runs")
	w.active.Add(1)
	defer w.active.Done()
	if w.spec.Unframed {
		w.streamUnframed(out, r, id)
		return
	}
	out.Header().Set("X-Peridotstack-Response-Seal", "s."+w.spec.ID)
	if w.spec.EventMillis > 0 {
		w.stream(out, r, id)
		return
	}
	time.Sleep(time.Duration(w.spec.WorkMillis) * time.Millisecond)
	w.tell(id, "has run")
	_, _ = io.WriteString(out, "answer to "+id+strings.Repeat(".", 700)) // Fails if the channel is closed.
}

// stream sends the events after Last-Event-Id as they are generated, the head with the first one.
func (w *worker) stream(out http.ResponseWriter, r *http.Request, id string) {
	_, tokens, _ := strings.Cut(r.Header.Get("X-Peridotstack-Token-Counts"), ",")
	events, _ := strconv.Atoi(tokens)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 without the header.
	out.Header().Set("Content-Type", "text/event-stream")
	out.Header().Set("X-Peridotstack-Weight-Versions", "1")
	pause := time.Duration(w.spec.WorkMillis) * time.Millisecond
	for i := last + 1; i <= events; i++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(pause):
		}
		pause = time.Duration(w.spec.EventMillis) * time.Millisecond
		fmt.Fprintf(out, "id: %d\ndata: event %d of %s\n\n", i, i, id)
		_ = http.NewResponseController(out).Flush()
	}
	w.tell(id, "has run")
}

// streamUnframed sends a stream that has neither a length nor chunks, and closes the channel.
func (w *worker) streamUnframed(out http.ResponseWriter, r *http.Request, id string) {
	_, tokens, _ := strings.Cut(r.Header.Get("X-Peridotstack-Token-Counts"), ",")
	events, _ := strconv.Atoi(tokens)
	conn, _, err := http.NewResponseController(out).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Peridotstack-Request-Id: %s\r\nX-Peridotstack-Response-Seal: s.%s\r\nX-Peridotstack-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", id, w.spec.ID)
	time.Sleep(time.Duration(w.spec.WorkMillis) * time.Millisecond)
	for i := 1; i <= events; i++ {
		if _, err := fmt.Fprintf(conn, "%sid: %d\ndata: event %d of %s\n\n", head, i, i, id); err != nil {
			w.tell(id, "is broken off by the front")
			return
		}
		head = ""
		time.Sleep(time.Duration(w.spec.EventMillis) * time.Millisecond)
	}
	w.tell(id, "has run")
}

// workerProcess is a worker as the lab sees it.
type workerProcess struct {
	spec    workerSpec
	command *exec.Cmd
}

// control receives what the workers tell.
type control struct {
	lab *lab

	mu sync.Mutex
	// left contains the workers whose heartbeats are ignored, as they have left.
	left    map[string]bool
	reports []report
	running map[string]int
}

func (l *lab) newControl() (*control, error) {
	listener, err := net.Listen("tcp", l.network+".0.4:8408")
	if err != nil {
		return nil, err
	}
	c := &control{lab: l, left: map[string]bool{}, running: map[string]int{}}
	go func() { _ = http.Serve(listener, c) }()
	return c, nil
}

func (c *control) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/beat" {
		id := r.URL.Query().Get("id")
		var entry json.RawMessage
		err := json.NewDecoder(r.Body).Decode(&entry)
		c.mu.Lock()
		defer c.mu.Unlock()
		if err == nil && !c.left[id] {
			c.lab.store.put("servers", id, entry)
			c.lab.store.mu.Lock()
			c.lab.store.beats[id] = time.Now()
			c.lab.store.mu.Unlock()
		}
		return
	}
	if r.URL.Path == "/gone" {
		c.leave(r.URL.Query().Get("id"))
		return
	}
	var list []report
	if json.NewDecoder(r.Body).Decode(&list) != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reports = append(c.reports, list...)
	for _, report := range list {
		switch report.What {
		case "runs":
			c.running[report.Worker]++
		case "has run":
			c.running[report.Worker]--
		}
	}
}

// leave removes the entry of a worker that does not report draining. It returns when the store
// has acknowledged that.
func (c *control) leave(id string) time.Time {
	c.mu.Lock()
	c.left[id] = true
	c.mu.Unlock()
	c.lab.store.mu.Lock()
	delete(c.lab.store.beats, id)
	c.lab.store.mu.Unlock()
	c.lab.store.remove("servers", id)
	return time.Now()
}

// newWorker starts a worker process.
func (l *lab) newWorker(n int, s workerSpec) (*workerProcess, error) {
	s.ID, s.Address, s.Control = fmt.Sprintf("i-%s-%d", s.Service, n), fmt.Sprintf("%s.2.%d:8567", l.network, n), l.network+".0.4:8408"
	data, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	c := exec.Command(self, "worker")
	c.Env = append(os.Environ(), "WORKER="+string(data))
	if err := l.spawn(c); err != nil {
		return nil, err
	}
	l.record("worker %s (%s %s) started, process %d", s.ID, s.Service, s.Version, c.Process.Pid)
	return &workerProcess{spec: s, command: c}, nil
}

// kill ends the worker with SIGKILL.
func (w *workerProcess) kill() {
	_ = w.command.Process.Kill()
	_, _ = w.command.Process.Wait()
}

// awaitRuns waits until all the workers have requests that run, for the given time at most.
func (c *control) awaitRuns(list []*workerProcess, within time.Duration) {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		all := true
		c.mu.Lock()
		for _, w := range list {
			all = all && c.running[w.spec.ID] > 1
		}
		c.mu.Unlock()
		if all {
			return
		}
	}
}
