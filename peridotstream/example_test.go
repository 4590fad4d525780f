package peridotstream_test

import (
	"context"
	"fmt"

	"peridotstack/peridotstream"
)

// A reader that lost its connection resumes from its checkpoint.
func Example() {
	var t peridotstream.Timeline
	for _, chunk := range []string{"Ave ", "Maria, ", "gratia ", "plena"} {
		if err := t.Append(chunk); err != nil {
			fmt.Println(err)
		}
	}
	t.Close(peridotstream.End{Status: 200})

	reader := peridotstream.NewChecker(0)
	first, _ := reader.Accept(0, []string{"Ave ", "Maria, "})
	missing, end, _ := t.Next(context.Background(), reader.Checkpoint)
	// The second chunk is received twice, but accepted once.
	fresh, _ := reader.Accept(1, append([]string{"Maria, "}, missing...))
	fmt.Println(first, fresh, reader.Finish(*end))
	// Output: [Ave  Maria, ] [gratia  plena] <nil>
}
