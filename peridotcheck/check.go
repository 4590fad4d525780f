package peridotcheck

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"

	"peridotstack/peridotreserve"
	"peridotstack/peridotsite"
)

// Severity says whether fronts accept what a finding is about.
type Severity int

const (
	// Warning is the severity of what fronts accept, but is probably not meant.
	Warning Severity = iota
	// Error is the severity of what fronts refuse: the configuration, or a field of it.
	Error
)

// String returns "warning" or "error".
func (s Severity) String() string {
	if s == Error {
		return "error"
	}
	return "warning"
}

// MarshalText returns the same as String.
func (s Severity) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}

// Finding is a mistake or a probable mistake.
type Finding struct {
	Severity Severity
	// Field is the path of the field in the file, such as "routes[1].slo-ms"; empty means the
	// whole file.
	Field string
	// Line is the line of the field in the file, from 1; 0 means unknown.
	Line int `json:",omitempty"`
	// Text is one sentence without the field.
	Text string
}

// Option changes what Check knows of the surroundings of a configuration.
type Option func(*checker)

// WithSource sets the text that the configuration was decoded from. Findings then have lines,
// and fields are checked whose value the decoded configuration doesn't have.
func WithSource(s *Source) Option {
	return func(c *checker) { c.source = s }
}

// WithKnownFields sets the paths of the fields that fronts read, such as "routes[].slo-ms".
// Fields of the source that are probably one of them, misspelled, are then reported.
func WithKnownFields(paths []string) Option {
	return func(c *checker) { c.knownFields = paths }
}

// WithMemory sets the memory of the smallest front, in bytes, with which the limits on requests
// are compared. A size of 0 or less means that it is unknown.
func WithMemory(bytes int64) Option {
	return func(c *checker) { c.memory = bytes }
}

// WithLargestRequest sets the cost of the largest request of any account, in tokens. A number of
// 0 or less means that it is unknown.
func WithLargestRequest(tokens float64) Option {
	return func(c *checker) { c.largestRequest = tokens }
}

// WithCurrent sets the configuration in force.
func WithCurrent(config *peridotsite.Config) Option {
	return func(c *checker) { c.current = config }
}

// checker collects the findings of one configuration.
type checker struct {
	config, current *peridotsite.Config
	source          *Source
	knownFields     []string
	memory          int64
	largestRequest  float64
	findings        []Finding
}

// Check returns the findings of a configuration, sorted by line.
func Check(config *peridotsite.Config, options ...Option) []Finding {
	c := &checker{config: config, source: &Source{}}
	for _, option := range options {
		option(c)
	}
	for _, p := range config.Problems {
		c.findings = append(c.findings, c.source.findingOf(p))
	}
	if c.current != nil && config.Version <= c.current.Version && len(Compare(c.current, config, c.source)) > 0 {
		c.report(Error, "version", "version %d is not above version %d in force, so that fronts ignore the changes", config.Version, c.current.Version)
	}
	c.checkSource()
	c.checkRoutes()
	c.checkServices()
	c.checkAccounts()
	c.checkLimits()
	return sortByLine(c.findings)
}

// Refused returns the findings for a configuration that fronts refuse because of the given
// problems.
func Refused(problems []peridotsite.Problem, source *Source) []Finding {
	var findings []Finding
	for _, p := range problems {
		findings = append(findings, source.findingOf(p))
	}
	return sortByLine(findings)
}

func sortByLine(findings []Finding) []Finding {
	slices.SortStableFunc(findings, func(a, b Finding) int { return cmp.Compare(a.Line, b.Line) })
	return findings
}

func (c *checker) report(severity Severity, field, format string, args ...any) {
	c.findings = append(c.findings, Finding{Severity: severity, Field: field, Line: c.source.Line(field), Text: fmt.Sprintf(format, args...)})
}

func (c *checker) warn(field, format string, args ...any) {
	c.report(Warning, field, format, args...)
}

// warnIfNegative reports a negative value, of which fronts make something else.
func (c *checker) warnIfNegative(field string, value float64, taken string) {
	if value < 0 {
		c.warn(field, "%s is negative and taken as %s", numberText(value), taken)
	}
}

// numberText returns a number without an exponent.
func numberText(n float64) string {
	return strconv.FormatFloat(n, 'f', -1, 64)
}

// maxHeadBytes is the size of a request head that fronts never exceed, as docs/OPERATE.md has it.
const maxHeadBytes = 1 << 20

func (c *checker) checkLimits() {
	l := c.config.Limits
	c.warnIfNegative("limits.max-header-bytes", float64(l.HeaderBytes), "the default")
	c.warnIfNegative("limits.header-timeout-ms", float64(l.HeaderTimeout.Milliseconds()), "the default")
	c.warnIfNegative("limits.idle-timeout-ms", float64(l.IdleTimeout.Milliseconds()), "the default")
	if l.HeaderBytes > maxHeadBytes {
		c.warn("limits.max-header-bytes", "request heads above %d bytes are refused whatever the limit is", maxHeadBytes)
	}
	if l.BodyBytes < 0 {
		c.warn("limits.max-body-bytes", "a limit of 0 or less refuses each request with a body; leave the field out for the default")
	}
	if c.memory <= 0 {
		return
	}
	reserve := peridotreserve.LimitsOf(c.memory, 0)
	if int64(l.BodyBytes) > reserve.BodyBytes {
		c.warn("limits.max-body-bytes", "one body of %d bytes is more than the memory for all bodies, %d bytes", l.BodyBytes, reserve.BodyBytes)
	}
	if int64(l.HeaderBytes) > reserve.HeadBytes {
		c.warn("limits.max-header-bytes", "one request head of %d bytes is more than the memory for all heads, %d bytes", l.HeaderBytes, reserve.HeadBytes)
	}
}
