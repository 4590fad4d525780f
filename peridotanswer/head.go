package peridotanswer

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// maxQuotedBytes limits the bytes of an answer that an error quotes.
const maxQuotedBytes = 64

// HeadError is the error of an answer with a malformed head. The request may have run.
type HeadError struct {
	// Part names the malformed part of the head.
	Part string
	// Text is the malformed part as it was received, at most 64 bytes of it.
	Text string
}

// Error names the malformed part and quotes it.
func (e *HeadError) Error() string {
	return "malformed " + e.Part + " " + strconv.Quote(e.Text)
}

// newHeadError returns the error of a malformed part of a head.
func newHeadError(part string, text []byte) *HeadError {
	return &HeadError{Part: part, Text: string(text[:min(len(text), maxQuotedBytes)])}
}

// position is a place in a sequence of answers.
type position int

const (
	atStatusLine position = iota
	inFields
	// behindHead is the place behind the head of a final answer.
	behindHead
)

// headChecker checks the heads of the interim answers and the final answer to one request.
// Its zero value is ready for the first status line.
type headChecker struct {
	position position
	// statusLine is that of the head at the position inFields.
	statusLine statusLine
	// line is the beginning of the current line, if the line came in several pieces.
	line []byte
}

// check checks the next bytes of the answers, which may be any part of them. It returns the
// number of bytes before the first malformed line, and the error of that line.
func (h *headChecker) check(data []byte) (int, error) {
	checked := 0
	for h.position != behindHead {
		length := bytes.IndexByte(data[checked:], '\n')
		if length < 0 {
			h.line = append(h.line, data[checked:]...)
			break
		}
		line := data[checked : checked+length]
		if len(h.line) > 0 {
			h.line = append(h.line, line...)
			line = h.line
		}
		if err := h.checkLine(bytes.TrimSuffix(line, []byte("\r"))); err != nil {
			return checked, err
		}
		h.line = h.line[:0]
		checked += length + 1
	}
	return len(data), nil
}

// checkLine checks a line of a head, without its end.
func (h *headChecker) checkLine(line []byte) error {
	switch {
	case h.position == atStatusLine:
		statusLine, ok := parseStatusLine(line)
		if !ok {
			return newHeadError("status line", line)
		}
		h.statusLine, h.position = statusLine, inFields
	case len(line) > 0:
		return h.checkField(line)
	case h.statusLine.isInterim():
		h.position = atStatusLine
	default:
		h.position = behindHead
	}
	return nil
}

// checkField checks the name of a field line, which must be a token directly before the colon
// (RFC 9112, section 5.1). It refuses the obsolete line folding, too: a parser would take the
// line for a part of the field before (section 5.2).
func (h *headChecker) checkField(line []byte) error {
	name, _, found := bytes.Cut(line, []byte(":"))
	if !found || !httpguts.ValidHeaderFieldName(string(name)) {
		return newHeadError("field name", name)
	}
	if h.statusLine.isBeforeHTTP11() && strings.EqualFold(string(name), "Transfer-Encoding") {
		return newHeadError("field before HTTP/1.1", name)
	}
	return nil
}

// statusLine is a decoded status line.
type statusLine struct {
	major, minor, status int
}

// parseStatusLine decodes a status line (RFC 9112, section 4). It returns false unless the
// status is a number of three digits from 100 to 599 (RFC 9110, section 15), and for 101, since
// no client asks for another protocol (section 15.2.2).
func parseStatusLine(line []byte) (statusLine, bool) {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	major, minor, ok := http.ParseHTTPVersion(string(version))
	code, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	if !ok || len(code) != 3 || len(bytes.Trim(code, "0123456789")) > 0 {
		return statusLine{}, false
	}
	status, err := strconv.Atoi(string(code))
	isValid := err == nil && 100 <= status && status <= 599 && status != http.StatusSwitchingProtocols
	return statusLine{major: major, minor: minor, status: status}, isValid
}

// isInterim reports whether a further answer to the same request follows.
func (s statusLine) isInterim() bool {
	return s.status < http.StatusOK
}

// isBeforeHTTP11 reports whether the answer can't have a transfer coding. A parser ignores that
// of such an answer, and takes chunk sizes for a part of the body (RFC 9112, section 6.1).
func (s statusLine) isBeforeHTTP11() bool {
	return s.major < 1 || s.major == 1 && s.minor < 1
}
