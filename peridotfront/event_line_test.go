package peridotfront

import (
	"bufio"
	"strings"
	"testing"
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
