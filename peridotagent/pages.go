package peridotagent

import "net/http"

// Pages serves the agent's health, readiness and metrics.
func (a *Agent) Pages() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", a.metrics.Handler())
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /ready", a.serveReady)
	return mux
}

func (a *Agent) serveReady(w http.ResponseWriter, _ *http.Request) {
	if a.leaving.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
