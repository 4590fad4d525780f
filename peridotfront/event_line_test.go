package peridotfront

import (
	"bufio"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// TestReadPieceWithLongLine guards against an event that is cut behind a line whose
// length is a multiple of the read buffer.
func TestReadPieceWithLongLine(t *testing.T) {
	for _, length := range []int{streamBufferBytes - 1, streamBufferBytes, streamBufferBytes + 1, 2 * streamBufferBytes} {
		for _, end := range []string{"\n", "\r\n"} {
			line := "data: " + strings.Repeat("x", length-len("data: ")) + end
			want := line + "id: 1" + end + end
			got, err := readPiece(bufio.NewReaderSize(strings.NewReader(want+"id: 2\n\n"), streamBufferBytes))
			if string(got) != want || err != nil {
				t.Errorf("line of %d bytes, end %q: got %d bytes (%v), want %d", length, end, len(got), err, len(want))
			}
		}
	}
}

// TestReadPieceKeepsAllBytes guards against a stream that is changed on its way: its pieces
// must be the bytes that came, however they came, and end where events do.
func TestReadPieceKeepsAllBytes(t *testing.T) {
	const cutEnd, wholeEnd = "unexpected EOF", "EOF"
	for _, test := range []struct {
		text   string
		pieces int
		end    string
	}{
		{text: "", end: wholeEnd},
		{text: "\n", pieces: 1, end: wholeEnd},
		{text: "\r\n\n", pieces: 2, end: wholeEnd},
		{text: "data: a\n\n", pieces: 1, end: wholeEnd},
		{text: "data: a\r\n\r\n: b\r\n\r\n", pieces: 2, end: wholeEnd},
		{text: "data: a\ndata: b\n\n\nid: 2\n\n", pieces: 3, end: wholeEnd},
		{text: "data: a\n\nid: 2", pieces: 1, end: cutEnd},
		{text: "data: a\n\nid: 2\n", pieces: 1, end: cutEnd},
		{text: "data: a\n\nid: 2\r", pieces: 1, end: cutEnd},
		{text: strings.Repeat("data: "+strings.Repeat("x", streamBufferBytes)+"\n\n", 3), pieces: 3, end: wholeEnd},
	} {
		for _, source := range []io.Reader{strings.NewReader(test.text), iotest.OneByteReader(strings.NewReader(test.text)), iotest.DataErrReader(strings.NewReader(test.text))} {
			reader := bufio.NewReaderSize(source, streamBufferBytes)
			got, pieces := "", 0
			for {
				piece, err := readPiece(reader)
				got += string(piece)
				if err != nil {
					if err.Error() != test.end {
						t.Errorf("%.40q: got %v at the end, want %s", test.text, err, test.end)
					}
					break
				}
				pieces++
			}
			if got != test.text || pieces != test.pieces {
				t.Errorf("%.40q: got %d pieces, %.40q, want %d and all bytes", test.text, pieces, got, test.pieces)
			}
		}
	}
}
