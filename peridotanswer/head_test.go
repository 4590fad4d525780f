package peridotanswer

import (
	"errors"
	"strings"
	"testing"
)

// readInPieces passes the text to a headChecker in pieces of the given size, and returns the
// part that it lets through and its error.
func readInPieces(text string, size int) (string, error) {
	var h headChecker
	passed := ""
	for len(text) > 0 {
		piece := text[:min(size, len(text))]
		text = text[len(piece):]
		n, err := h.check([]byte(piece))
		passed += piece[:n]
		if err != nil {
			return passed, err
		}
	}
	return passed, nil
}

func TestHeadIsChecked(t *testing.T) {
	const ok, end = "HTTP/1.1 200 OK\r\n", "\r\n"
	tests := []struct {
		name, text string
		// want is the malformed part, or empty if the text is sound.
		want string
	}{
		{name: "sound", text: ok + "A: b\r\nC:d\r\n" + end + "body\n\x00"},
		{name: "lines end with LF", text: "HTTP/1.0 404 Not Found\nA: b\n\nbody"},
		{name: "no reason", text: "HTTP/1.1 200\r\n" + end},
		{name: "several blanks", text: "HTTP/1.1  200  OK\r\n" + end},
		{name: "lowest and highest status", text: "HTTP/1.1 100 X\r\n" + end + "HTTP/1.1 599 X\r\n" + end},
		{name: "interim answers", text: "HTTP/1.1 100 X\r\n" + end + "HTTP/1.1 103 X\r\nLink: l\r\n" + end + ok + end + "HTTP/1.1 000 X"},
		{name: "body like a status line", text: ok + end + "HTTP/1.1 000 X\r\n"},
		{name: "incomplete line", text: "HTTP/1.1 000 X"},
		{name: "status 000", text: "HTTP/1.1 000 X\r\n" + end + ok + end, want: `status line "HTTP/1.1 000 X"`},
		{name: "status below 100", text: "HTTP/1.1 099 X\r\n" + end, want: `status line "HTTP/1.1 099 X"`},
		{name: "status above 599", text: "HTTP/1.1 600 X\r\n" + end, want: `status line "HTTP/1.1 600 X"`},
		{name: "status 101", text: "HTTP/1.1 101 X\r\nUpgrade: x\r\n" + end, want: `status line "HTTP/1.1 101 X"`},
		{name: "status with a sign", text: "HTTP/1.1 +20 X\r\n" + end, want: `status line "HTTP/1.1 +20 X"`},
		{name: "status of two digits", text: "HTTP/1.1 20 X\r\n" + end, want: `status line "HTTP/1.1 20 X"`},
		{name: "status of four digits", text: "HTTP/1.1 2000 X\r\n" + end, want: `status line "HTTP/1.1 2000 X"`},
		{name: "status behind an interim answer", text: "HTTP/1.1 103 X\r\nA: b\r\n" + end + "HTTP/1.1 000 X\r\n" + end, want: `status line "HTTP/1.1 000 X"`},
		{name: "field names", text: ok + "!#$%&'*+-.^_`|~09AZaz: 1\r\nX-A:\r\nX-B: a: b\xe9\r\n" + end},
		{name: "chunks in HTTP/1.0", text: "HTTP/1.0 200 OK\r\nContent-Length: 1\r\ntransfer-encoding: chunked\r\n" + end, want: `field before HTTP/1.1 "transfer-encoding"`},
		{name: "chunks in HTTP/1.0 behind an interim answer", text: "HTTP/1.1 103 X\r\n" + end + "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" + end, want: `field before HTTP/1.1 "Transfer-Encoding"`},
		{name: "chunks in HTTP/1.1", text: "HTTP/1.0 103 X\r\n" + end + ok + "Transfer-Encoding: chunked\r\n" + end},
		{name: "no version", text: "ICY 200 OK\r\n" + end, want: `status line "ICY 200 OK"`},
		{name: "blank in a name", text: ok + "A: b\r\nX A: 1\r\n" + end, want: `field name "X A"`},
		{name: "blank before the colon", text: ok + "Content-Length : 2\r\n" + end, want: `field name "Content-Length "`},
		{name: "blank before a name", text: ok + " X-A: 1\r\n" + end, want: `field name " X-A"`},
		{name: "folded line", text: ok + "A: b\r\n\tX-A: 1\r\n" + end, want: `field name "\tX-A"`},
		{name: "line of a blank", text: ok + "A: b\r\n \r\n" + end, want: `field name " "`},
		{name: "control byte in a name", text: ok + "X\x00A: 1\r\n" + end, want: `field name "X\x00A"`},
		{name: "CR in a name", text: ok + "\rX-A: 1\r\n" + end, want: `field name "\rX-A"`},
		{name: "byte over 0x7f in a name", text: ok + "X\xe9: 1\r\n" + end, want: `field name "X\xe9"`},
		{name: "no name", text: ok + ": 1\r\n" + end, want: `field name ""`},
		{name: "no colon", text: ok + "X-A\r\n" + end, want: `field name "X-A"`},
		{name: "name of an interim answer", text: "HTTP/1.1 103 X\r\nX A: 1\r\n" + end + ok + end, want: `field name "X A"`},
		{name: "field behind the end of the head", text: ok + end + "X A: 1\r\n" + end},
		{name: "no status", text: "garbage\x00\r\n", want: `status line "garbage\x00"`},
		{name: "blank line first", text: end + ok + end, want: `status line ""`},
		{name: "long line", text: "HTTP/1.1 0 " + string(make([]byte, 100)) + "\r\n", want: `status line "HTTP/1.1 0 ` + strings.Repeat(`\x00`, 53) + `"`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for _, size := range []int{1, 2, 7, len(test.text)} {
				passed, err := readInPieces(test.text, size)
				var malformed *HeadError
				if got := errors.As(err, &malformed); got != (test.want != "") || got && err.Error() != "malformed "+test.want {
					t.Errorf("pieces of %d bytes: got error %v, want %q", size, err, test.want)
				}
				if err == nil && passed != test.text {
					t.Errorf("pieces of %d bytes: got %q, want all", size, passed)
				}
			}
		})
	}
}
