package peridotturn

import "time"

const (
	// maxPrefillShare is the longest prefill of an interactive request as a fraction of
	// the route's objective. Ten such prefills in a row still meet the objective.
	maxPrefillShare = 0.1
	// minOutputTokens is the maximum length of the answer from which on it counts as
	// long. Shorter answers end within a few steps of an engine and are rarely paused.
	minOutputTokens = 16
)

// Request describes a request for an engine.
type Request struct {
	// PromptTokens is the length of the prompt; 0 or less means unknown.
	PromptTokens int
	// MaxTokens is the maximum length of the answer; 0 or less means unknown.
	MaxTokens int
	// Objective is the time to the first event; 0 or less means none.
	Objective time.Duration
	// Gap is the maximum time between two events; 0 or less means no limit.
	Gap time.Duration
}

// IsInteractive reports whether a request has a short prompt, a long answer and a limit of
// the pauses in it. tokensPerMilli is the number of prompt tokens that an engine reads in a
// millisecond. A request of which any of the values is unknown is not interactive.
func (r Request) IsInteractive(tokensPerMilli float64) bool {
	if r.PromptTokens <= 0 || r.Objective <= 0 || r.Gap <= 0 || r.MaxTokens < minOutputTokens || !(tokensPerMilli > 0) {
		return false
	}
	return float64(r.PromptTokens) <= maxPrefillShare*tokensPerMilli*toMillis(r.Objective)
}

func toMillis(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
