package peridotverdict_test

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"peridotstack/peridotverdict"
)

// A caller repeats only what surely did not run.
func Example() {
	refused := peridotverdict.New(peridotverdict.Overloaded, peridotverdict.NotRun, "come back", peridotverdict.RetryAfter(2*time.Second))
	for _, err := range []error{refused, errors.Wrap(refused, "push"), errors.New("connection reset"), nil} {
		fmt.Println(peridotverdict.Of(err))
	}
	// Output:
	// NotRun
	// NotRun
	// MayHaveRun
	// Ran
}
