package peridotlog

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
)

// maxLine bounds one line of a log file.
const maxLine = 1 << 20

// Names of fields that Explain goes by.
const (
	fieldRequest = "request"
	fieldBackend = "backend"
	fieldReader  = "reader"
	fieldFeed    = "feed"
	fieldVersion = "version"
)

// Source is the log of one process.
type Source struct {
	Name string
	io.Reader
}

// line is one line of a log.
type line struct {
	source  string
	time    string
	message string
	fields  map[string]any
}

// Explain writes the story of one request: each line that names it in the order
// of time, and before it the last lines that changed what its process believed
// of the configuration, the table service and the backend servers concerned. It
// returns how many lines named the request, and how many could not be read.
func Explain(w io.Writer, id string, sources ...Source) (found, unreadable int, err error) {
	var lines []line
	for _, source := range sources {
		read, bad, err := readLines(source)
		if err != nil {
			return 0, 0, err
		}
		lines = append(lines, read...)
		unreadable += bad
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].time < lines[j].time })
	told := make(map[int]bool)
	for i, l := range lines {
		if l.fields[fieldRequest] != id {
			continue
		}
		found++
		for _, j := range beliefs(lines[:i], l) {
			if !told[j] {
				told[j] = true
				fmt.Fprintln(w, "  before:", lines[j])
			}
		}
		fmt.Fprintln(w, l)
	}
	return found, unreadable, nil
}

// readLines reads the lines of one log. Text before the first brace, such as a
// time that a collector put there, is skipped; its last word names the process.
func readLines(source Source) (lines []line, bad int, err error) {
	scanner := bufio.NewScanner(source)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		before, object, ok := strings.Cut(scanner.Text(), "{")
		l := line{source: source.Name}
		if !ok || json.Unmarshal([]byte("{"+object), &l.fields) != nil {
			bad++
			continue
		}
		if words := strings.Fields(before); len(words) > 0 {
			l.source = words[len(words)-1]
		}
		l.time, _ = l.fields["time"].(string)
		l.message, _ = l.fields["message"].(string)
		lines = append(lines, l)
	}
	return lines, bad, scanner.Err()
}

// beliefs returns the lines that last changed what the process of l believed.
func beliefs(before []line, l line) []int {
	var found []int
	want := []string{fieldVersion, fieldFeed}
	servers := []any{l.fields[fieldBackend], l.fields[fieldReader]}
	for i := len(before) - 1; i >= 0; i-- {
		b := before[i]
		if b.source != l.source || b.fields[fieldRequest] != nil {
			continue
		}
		for k, name := range want {
			if b.fields[name] != nil {
				found = append(found, i)
				want = slices.Delete(want, k, k+1)
				break
			}
		}
		if at := slices.Index(servers, b.fields[fieldBackend]); b.fields[fieldBackend] != nil && at >= 0 {
			found = append(found, i)
			servers[at] = ""
		}
	}
	slices.Sort(found)
	return found
}

// String returns the line as one reads it.
func (l line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s", l.time, l.source, l.message)
	names := make([]string, 0, len(l.fields))
	for name := range l.fields {
		if name != "time" && name != "message" && name != "level" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%v", name, l.fields[name])
	}
	return b.String()
}
