package peridotusage

import (
	"fmt"
	"time"
)

// WindowLength is the length of one window of the platform's usage interface.
const WindowLength = time.Minute

// Window is the number of a window since the Unix epoch.
type Window int64

// WindowAt returns the window of a wall-clock time.
func WindowAt(t time.Time) Window {
	return Window(t.Unix() / int64(WindowLength/time.Second))
}

// End returns the wall-clock time at which w is over.
func (w Window) End() time.Time {
	return time.Unix(int64(w+1)*int64(WindowLength/time.Second), 0)
}

// String returns the number of w with leading zeros, so that it sorts by time.
func (w Window) String() string {
	return w.key()
}

// key returns w as it stands in row keys, where it sorts by time.
func (w Window) key() string {
	return fmt.Sprintf("%012d", int64(w))
}

// Figure counts use.
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

// Max returns the larger of f and g, count by count.
func (f Figure) Max(g Figure) Figure {
	return Figure{
		Requests:     max(f.Requests, g.Requests),
		PromptTokens: max(f.PromptTokens, g.PromptTokens),
		OutputTokens: max(f.OutputTokens, g.OutputTokens),
	}
}

// Since returns by how much f has grown beyond g, count by count.
func (f Figure) Since(g Figure) Figure {
	return Figure{
		Requests:     max(0, f.Requests-g.Requests),
		PromptTokens: max(0, f.PromptTokens-g.PromptTokens),
		OutputTokens: max(0, f.OutputTokens-g.OutputTokens),
	}
}

// Process names one process between its start and its end.
type Process struct {
	Instance string
	// Incarnation differs after each restart.
	Incarnation string
}

// Cell is what one figure counts: an account's requests of one window that ran
// at one agent.
type Cell struct {
	Agent   Process
	Window  Window
	Account string
}

// Part is the cumulative figure of a cell as one process counted it.
type Part struct {
	Cell
	// Counter is the process that counted: the agent itself or an entry instance.
	Counter Process
	Figure
}
