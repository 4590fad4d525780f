package peridotcheck

import (
	"bytes"
	"encoding/json"
	"fmt"
	"regexp"
	"slices"
	"strings"

	"peridotstack/peridotsite"
)

// maxDepth limits the depth to which a Source is searched for fields. A configuration has a
// depth of 6.
const maxDepth = 16

// Source is the text of a configuration in JSON, with the position of each field. The zero value
// knows no field.
type Source struct {
	data   []byte
	fields []sourceField
	// byPath contains indexes of fields by path in lower case, as encoding/json ignores case;
	// of a field that occurs several times, the last.
	byPath map[string]int
	// repeated contains the paths of fields that occur again in the same object.
	repeated []string
}

// sourceField is a value in the text.
type sourceField struct {
	path string
	// start and end are the positions of the value's first and last byte: exactly those of
	// objects and arrays, and of other values both are the last.
	start, end int64
	// text is the value of a string, number or boolean.
	text string
	// length is the number of elements of an array.
	length int
}

// ParseSource returns the fields of data. Of malformed JSON it returns those before the fault.
func ParseSource(data []byte) *Source {
	s := &Source{data: data, byPath: make(map[string]int)}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	_ = s.scan(decoder, "", 0) // The decoder of the configuration reports the fault.
	return s
}

// scan adds the next value of d, which has the given path, and the fields within it.
func (s *Source) scan(d *json.Decoder, path string, depth int) error {
	if depth > maxDepth {
		var skipped json.RawMessage
		return d.Decode(&skipped)
	}
	token, err := d.Token()
	if err != nil {
		return err
	}
	index := len(s.fields)
	s.fields = append(s.fields, sourceField{path: path, start: d.InputOffset() - 1, end: int64(len(s.data))})
	s.byPath[strings.ToLower(path)] = index
	switch token {
	case json.Delim('{'):
		err = s.scanObject(d, path, depth)
	case json.Delim('['):
		for err == nil && d.More() {
			err = s.scan(d, fmt.Sprintf("%s[%d]", path, s.fields[index].length), depth+1)
			s.fields[index].length++
		}
	default:
		if token != nil {
			s.fields[index].text = fmt.Sprint(token)
		}
		s.fields[index].end = s.fields[index].start
		return nil
	}
	if err != nil {
		return err
	}
	if _, err = d.Token(); err == nil {
		s.fields[index].end = d.InputOffset() - 1
	}
	return err
}

// scanObject adds the fields of an object whose first brace was read.
func (s *Source) scanObject(d *json.Decoder, path string, depth int) error {
	seen := make(map[string]bool)
	for d.More() {
		token, err := d.Token()
		if err != nil {
			return err
		}
		name := fmt.Sprint(token)
		child := strings.TrimPrefix(path+"."+name, ".")
		if key := strings.ToLower(name); seen[key] {
			s.repeated = append(s.repeated, child)
		} else {
			seen[key] = true
		}
		if err := s.scan(d, child, depth+1); err != nil {
			return err
		}
	}
	return nil
}

// field returns the field with the given path, or nil.
func (s *Source) field(path string) *sourceField {
	if i, ok := s.byPath[strings.ToLower(path)]; ok {
		return &s.fields[i]
	}
	return nil
}

// Text returns the value of a string, number or boolean, or an empty string if there is none.
func (s *Source) Text(path string) string {
	if f := s.field(path); f != nil {
		return f.text
	}
	return ""
}

// Len returns the number of elements of an array, or 0 if there is none.
func (s *Source) Len(path string) int {
	if f := s.field(path); f != nil {
		return f.length
	}
	return 0
}

// Line returns the line of a field, or of the innermost one around it that exists, from 1. It
// returns 0 if there is none.
func (s *Source) Line(path string) int {
	for path != "" {
		if f := s.field(path); f != nil {
			return s.lineAt(f.start)
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
	return 0
}

// lineAt returns the line of a position.
func (s *Source) lineAt(offset int64) int {
	offset = min(max(offset, 0), int64(len(s.data)))
	return 1 + bytes.Count(s.data[:offset], []byte("\n"))
}

// findingOf returns the error for a problem, without the field in its text.
func (s *Source) findingOf(p peridotsite.Problem) Finding {
	f := Finding{Severity: Error, Field: p.Field, Line: s.Line(p.Field), Text: p.Text}
	if p.Offset > 0 && len(s.data) > 0 {
		s.locate(&f, p)
	}
	f.Text = strings.TrimPrefix(f.Text, indexPattern.ReplaceAllString(f.Field, "")+": ")
	name := f.Field[strings.LastIndex(f.Field, ".")+1:]
	f.Text = strings.Replace(f.Text, ": "+name+": ", ": ", 1)
	return f
}

// locate sets the innermost field and the line at the offset of a problem.
func (s *Source) locate(f *Finding, p peridotsite.Problem) {
	position := p.Offset - 1
	if within := s.field(p.Field); p.Field != "" && within != nil {
		position = min(within.start+position, within.end)
	}
	f.Line = s.lineAt(position)
	for _, inner := range s.fields { // Fields stand behind those around them.
		if inner.start <= position && position <= inner.end {
			f.Field = inner.path
		}
	}
}

var indexPattern = regexp.MustCompile(`\[\d+\]`)

// checkSource reports fields that are probably misspelled, and those that occur twice. Other
// fields that fronts don't read are no mistake: the platform and other programs have their own.
func (c *checker) checkSource() {
	for _, path := range c.source.repeated {
		c.warn(path, "the field occurs several times in the same object, of which the last takes precedence")
	}
	for _, f := range c.source.fields {
		pattern := strings.ToLower(indexPattern.ReplaceAllString(f.path, "[]"))
		if strings.HasSuffix(pattern, "]") || slices.Contains(c.knownFields, pattern) {
			continue
		}
		for _, known := range c.knownFields {
			parent, name := splitPath(known)
			ownParent, ownName := splitPath(pattern)
			sibling := strings.TrimPrefix(f.path[:max(0, strings.LastIndex(f.path, "."))]+"."+name, ".")
			if parent == ownParent && isMisspelled(ownName, name) && c.source.field(sibling) == nil {
				c.warn(f.path, "fronts don't read this field; is %q meant?", name)
			}
		}
	}
}

// splitPath returns the path of the object that has the field, and the field's name in it.
func splitPath(path string) (parent, name string) {
	dot := strings.LastIndex(path, ".")
	return path[:max(0, dot)], path[dot+1:]
}

// isMisspelled reports whether one character was left out, added, replaced or exchanged with the
// next one in name, or only dashes and underscores differ.
func isMisspelled(got, name string) bool {
	plain := strings.NewReplacer("-", "", "_", "")
	if plain.Replace(got) == plain.Replace(name) {
		return true
	}
	for got != "" && name != "" && got[0] == name[0] {
		got, name = got[1:], name[1:]
	}
	for got != "" && name != "" && got[len(got)-1] == name[len(name)-1] {
		got, name = got[:len(got)-1], name[:len(name)-1]
	}
	isExchanged := len(got) == 2 && len(name) == 2 && got[0] == name[1] && got[1] == name[0]
	return len(got) <= 1 && len(name) <= 1 || isExchanged
}
