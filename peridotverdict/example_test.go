package peridotverdict_test

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"peridotstack/peridotverdict"
)

// A caller may repeat a request that is not idempotent only if the verdict is
// NotRun.
func Example() {
	refused := peridotverdict.New(peridotverdict.Overloaded, peridotverdict.NotRun, "too many requests", peridotverdict.RetryAfter(2*time.Second))
	for _, err := range []error{refused, errors.Wrap(refused, "push"), errors.New("connection reset"), nil} {
		fmt.Println(peridotverdict.Of(err))
	}
	// Output:
	// NotRun
	// NotRun
	// MayHaveRun
	// Ran
}
