package main

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"time"
)

// reply is what a client got: status 0 means that the channel ended without an answer.
type reply struct {
	id     string
	status int
	seal   string
	body   string
	err    error
}

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// client sends requests on channels that it keeps.
type client struct {
	http   *http.Client
	record *record
}

func newClient(rec *record) *client {
	return &client{http: &http.Client{Transport: &http.Transport{DisableCompression: true}}, record: rec}
}

// send sends one request. An empty key sends no Authorization.
func (c *client) send(to, method, path, host, key string, body []byte, timeBudget time.Duration) reply {
	id := newID()
	request, err := http.NewRequest(method, "http://"+to+path, bytes.NewReader(body))
	if err != nil {
		return reply{id: id, err: err}
	}
	request.Host = host
	request.Header.Set("X-Peridotstack-Request-Id", id)
	request.Header.Set("X-Peridotstack-Deadline-Ms", fmt.Sprint(timeBudget.Milliseconds()))
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	c.record.add("client sends request %s (%s %s, key %q) to %s", id, method, path, key, to)
	answer, err := c.http.Do(request)
	if err != nil {
		c.record.add("client gets no answer to %s: %v", id, err)
		return reply{id: id, err: err}
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	got := reply{id: id, status: answer.StatusCode, seal: answer.Header.Get("X-Peridotstack-Response-Seal"), body: string(data), err: err}
	c.record.add("client gets %d for %s (seal %q, %d bytes, error %v)", got.status, id, got.seal, len(data), err)
	return got
}
