package peridotusage

import (
	"fmt"
	"time"
)

// WindowLength is the duration of one window of the platform's usage interface.
const WindowLength = time.Minute

// Window identifies a time window by its number, counted from the Unix epoch.
type Window int64

// WindowAt returns the window that contains the wall-clock time t.
func WindowAt(t time.Time) Window {
	return Window(t.Unix() / int64(WindowLength/time.Second))
}

// End returns the wall-clock time at which w ends.
func (w Window) End() time.Time {
	return time.Unix(int64(w+1)*int64(WindowLength/time.Second), 0)
}

// String returns the number of w with leading zeros, so that the strings of
// windows sort by time.
func (w Window) String() string {
	return w.key()
}

// key returns w in the form used in row keys, which sorts by time.
func (w Window) key() string {
	return fmt.Sprintf("%012d", int64(w))
}

// Figure is an amount of usage: numbers of requests and tokens.
type Figure struct {
	Requests     int64
	PromptTokens int64
	OutputTokens int64
}

// Add returns the sum of f and g.
func (f Figure) Add(g Figure) Figure {
	return Figure{
		Requests:     f.Requests + g.Requests,
		PromptTokens: f.PromptTokens + g.PromptTokens,
		OutputTokens: f.OutputTokens + g.OutputTokens,
	}
}

// Max returns the larger of f and g for each count.
func (f Figure) Max(g Figure) Figure {
	return Figure{
		Requests:     max(f.Requests, g.Requests),
		PromptTokens: max(f.PromptTokens, g.PromptTokens),
		OutputTokens: max(f.OutputTokens, g.OutputTokens),
	}
}

// IncreaseSince returns how much each count of f exceeds that of g, or zero where
// it does not.
func (f Figure) IncreaseSince(g Figure) Figure {
	return Figure{
		Requests:     max(0, f.Requests-g.Requests),
		PromptTokens: max(0, f.PromptTokens-g.PromptTokens),
		OutputTokens: max(0, f.OutputTokens-g.OutputTokens),
	}
}

// Process identifies one run of a process: an instance from one start to the
// next.
type Process struct {
	Instance string
	// Incarnation is different after each restart of the instance.
	Incarnation string
}

// Cell identifies what a figure counts: the requests of one client account in one
// window that ran on the backend server of one agent.
type Cell struct {
	Agent   Process
	Window  Window
	Account string
}

// Part is the cumulative figure of a cell, as counted by one process.
type Part struct {
	Cell
	// Counter is the process that counted the figure: the agent of the cell or an
	// entry instance.
	Counter Process
	Figure
}
