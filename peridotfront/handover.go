package peridotfront

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"peridotstack/peridotsite"
	"peridotstack/peridotwait"
)

const (
	beliefsPath = "/beliefs"
	// askInterval is the time between two rounds in which a front without a
	// configuration asks the others.
	askInterval = 200 * time.Millisecond
	// askTimeout bounds one question; an answer has some 100 KB at most.
	askTimeout = 700 * time.Millisecond
	// maxBeliefs bounds an answer in bytes: a configuration is a row of 64 KB, and
	// a backend server takes some 200 bytes.
	maxBeliefs = 4 << 20
)

// beliefs are what a front has from the table service.
type beliefs struct {
	Config   *peridotsite.Config
	Backends []peridotsite.Backend
}

// serveBeliefs tells other fronts what this one believes, on the TCP port with the
// number of the datagrams' port.
func (f *Front) serveBeliefs(ctx context.Context) error {
	listener, err := net.Listen("tcp", f.settings.PeerAddress)
	if err != nil {
		return errors.Wrap(err, "listen for questions of other fronts")
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+beliefsPath, f.tellBeliefs)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: askTimeout}
	defer context.AfterFunc(ctx, func() { server.Close() })()
	if err := server.Serve(listener); ctx.Err() == nil {
		return errors.Wrap(err, "answer other fronts")
	}
	return nil
}

func (f *Front) tellBeliefs(w http.ResponseWriter, _ *http.Request) {
	f.mu.Lock()
	b := beliefs{Config: f.config.Load()}
	for _, s := range f.backends.known {
		b.Backends = append(b.Backends, s)
	}
	f.mu.Unlock()
	if b.Config == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if err := json.NewEncoder(w).Encode(b); err != nil {
		log.WithError(err).Debug(logPrefix + "another front did not take the answer")
	}
}

// askOthers takes over what another front believes, if this one has started while
// the table service is away. It ends with the first configuration.
func (f *Front) askOthers(ctx context.Context) error {
	client := &http.Client{Timeout: askTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil && f.config.Load() == nil {
		if f.storeAway() {
			for address, state := range f.peers.alive() {
				if f.ask(ctx, client, address.String(), state.instance) {
					return nil
				}
			}
		}
		peridotwait.Sleep(ctx, askInterval)
	}
	return nil
}

// storeAway reports whether the feed of the configuration was lost.
func (f *Front) storeAway() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.feeds[FeedConfig]
}

// ask reports whether the front at an address has handed its beliefs over.
func (f *Front) ask(ctx context.Context, client *http.Client, address, instance string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+beliefsPath, http.NoBody)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		f.metrics.Count("handover_failures")
		return false
	}
	defer response.Body.Close()
	var b beliefs
	err = json.NewDecoder(io.LimitReader(response.Body, maxBeliefs)).Decode(&b)
	if response.StatusCode != http.StatusOK || err != nil || b.Config == nil {
		f.metrics.Count("handover_failures")
		return false
	}
	f.takeBeliefs(&b)
	log.WithFields(log.Fields{"from": instance, "version": b.Config.Version, "backends": len(b.Backends)}).Info(logPrefix + "took over the configuration of another front")
	return true
}

// takeBeliefs takes what another front believes, unless the table service has
// answered meanwhile.
func (f *Front) takeBeliefs(b *beliefs) {
	f.mu.Lock()
	_, answered := f.reached[FeedBackends]
	f.mu.Unlock()
	if !answered {
		f.Registered(b.Backends)
	}
	f.Configured(b.Config.Index())
}
