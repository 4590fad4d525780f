package peridotagent

import "net/http"

// Handler returns a handler that serves the agent's metrics, health and readiness. The
// agent is not ready once it is leaving.
func (a *Agent) Handler() http.Handler {
	return a.metrics.NewServeMux(func() bool { return !a.leaving.Load() })
}
