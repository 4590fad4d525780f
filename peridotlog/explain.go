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

// maxLineBytes is the maximum size of a line of a log file.
const maxLineBytes = 1 << 20

// Names of the log fields that Explain reads.
const (
	fieldRequest        = "request"
	fieldBackend        = "backend"
	fieldPrefillBackend = "reader"
	fieldFeed           = "feed"
	fieldVersion        = "version"
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

// Explain writes the log lines about the request with the given ID to w, sorted by
// time. Before each of them it writes context lines, each only once: the last
// earlier lines of the same process about the version of its configuration, its
// table service feeds and the backend servers that the line names. found is the
// number of lines about the request, and unreadable the number of lines without a
// valid JSON object. If Explain cannot read a source, it returns the error and
// writes nothing.
func Explain(w io.Writer, id string, sources ...Source) (found, unreadable int, err error) {
	var lines []line
	for _, source := range sources {
		sourceLines, count, err := readLines(source)
		if err != nil {
			return 0, 0, err
		}
		lines = append(lines, sourceLines...)
		unreadable += count
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].time < lines[j].time })
	printed := make(map[int]bool)
	for i, l := range lines {
		if l.fields[fieldRequest] != id {
			continue
		}
		found++
		for _, j := range contextLines(lines[:i], l) {
			if !printed[j] {
				printed[j] = true
				fmt.Fprintln(w, "  before:", lines[j])
			}
		}
		fmt.Fprintln(w, l)
	}
	return found, unreadable, nil
}

// readLines reads the lines of a log. Log collectors may put text, such as a time,
// before the JSON object of a line; the last word of that text is then the name of
// the process. unreadable is the number of lines without a valid JSON object.
func readLines(source Source) (lines []line, unreadable int, err error) {
	scanner := bufio.NewScanner(source)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		before, object, ok := strings.Cut(scanner.Text(), "{")
		l := line{source: source.Name}
		if !ok || json.Unmarshal([]byte("{"+object), &l.fields) != nil {
			unreadable++
			continue
		}
		if words := strings.Fields(before); len(words) > 0 {
			l.source = words[len(words)-1]
		}
		l.time, _ = l.fields["time"].(string)
		l.message, _ = l.fields["message"].(string)
		lines = append(lines, l)
	}
	return lines, unreadable, scanner.Err()
}

// contextLines returns the indexes of the last lines in before that report the
// version of the configuration, the state of a feed, and each backend server that l
// names. It ignores lines of other processes and lines about requests.
func contextLines(before []line, l line) []int {
	var indexes []int
	wantFields := []string{fieldVersion, fieldFeed}
	wantBackends := []any{l.fields[fieldBackend], l.fields[fieldPrefillBackend]}
	for i := len(before) - 1; i >= 0; i-- {
		b := before[i]
		if b.source != l.source || b.fields[fieldRequest] != nil {
			continue
		}
		for k, name := range wantFields {
			if b.fields[name] != nil {
				indexes = append(indexes, i)
				wantFields = slices.Delete(wantFields, k, k+1)
				break
			}
		}
		if k := slices.Index(wantBackends, b.fields[fieldBackend]); b.fields[fieldBackend] != nil && k >= 0 {
			indexes = append(indexes, i)
			wantBackends[k] = ""
		}
	}
	slices.Sort(indexes)
	return indexes
}

// String returns the time, source and message of the line, followed by its other
// fields except the level, in alphabetical order.
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
