package peridotagent

import "net/http"

// Pages returns the handler of the health, readiness and metrics pages. The agent
// is not ready once it is leaving.
func (a *Agent) Pages() http.Handler {
	return a.metrics.Pages(func() bool { return !a.leaving.Load() })
}
