package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// attempt is one request of a client.
type attempt struct {
	id       string
	front    string
	sent     time.Time
	ended    time.Time
	status   int
	complete bool
	seal     bool
	err      string
}

// attempts collects the requests of all clients.
type attempts struct {
	mu   sync.Mutex
	list []*attempt
}

func (a *attempts) all() []*attempt {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]*attempt(nil), a.list...)
}

// request describes what a client sends.
type request struct {
	method, path, body string
	header             map[string]string
	timeout            time.Duration
	// events is the number of events of a whole stream; 0 means that the answer is no stream.
	events int
	// host is the Host header; empty means testHost.
	host string
}

// send sends one request to a front and records its end.
func (a *attempts) send(client *http.Client, f *front, r request) *attempt {
	t := &attempt{id: strings.ToLower(rand.Text())[:16], front: f.name, sent: time.Now()}
	a.mu.Lock()
	a.list = append(a.list, t)
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), r.timeout)
	defer cancel()
	err := t.do(ctx, client, f, r)
	a.mu.Lock()
	defer a.mu.Unlock()
	t.ended = time.Now()
	if err != nil {
		t.err = firstLine(err.Error())
	}
	return t
}

func (t *attempt) do(ctx context.Context, client *http.Client, f *front, r request) error {
	q, err := http.NewRequestWithContext(ctx, r.method, "http://"+f.address()+r.path, strings.NewReader(r.body))
	if err != nil {
		return err
	}
	if q.Host = testHost; r.host != "" {
		q.Host = r.host
	}
	q.GetBody = nil // Never sent again by the client itself.
	q.Header.Set("X-Peridotstack-Request-Id", t.id)
	q.Header.Set("X-Peridotstack-Deadline-Ms", fmt.Sprint(r.timeout.Milliseconds()))
	q.Header.Set("Authorization", "Bearer "+testKey)
	for name, value := range r.header {
		q.Header.Set(name, value)
	}
	answer, err := client.Do(q)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	t.status, t.seal = answer.StatusCode, answer.Header.Get("X-Peridotstack-Response-Seal") != ""
	if err != nil {
		return err
	}
	t.complete = r.events == 0 || strings.Count(string(body), "\n\n") == r.events
	return nil
}

// served reports whether the client got a whole success.
func (t *attempt) served() bool {
	return t.status == http.StatusOK && t.seal && t.complete && t.err == ""
}

// newClient returns a client that keeps its channels.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}}
}

// recordAll records what was sent, answered and run.
func (l *lab) recordAll(c *control, list *attempts) {
	c.mu.Lock()
	told := map[string][]string{}
	for _, r := range c.reports {
		at := time.Unix(0, r.UnixNano).Sub(l.start).Seconds()
		told[r.Request] = append(told[r.Request], fmt.Sprintf("%.3f %s %s", at, r.Worker, r.What))
	}
	c.mu.Unlock()
	for _, t := range list.all() {
		whole := "not whole"
		if t.served() {
			whole = "whole"
		}
		l.record("sent %.3f %s to %s; ended %.3f: %d, %s %s; workers: %s", t.sent.Sub(l.start).Seconds(), t.id, t.front, t.ended.Sub(l.start).Seconds(), t.status, whole, t.err, strings.Join(told[t.id], ", "))
	}
}
