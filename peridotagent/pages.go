package peridotagent

import "net/http"

// Pages serves the agent's health, readiness and metrics.
func (a *Agent) Pages() http.Handler {
	return a.metrics.Pages(func() bool { return !a.leaving.Load() })
}
