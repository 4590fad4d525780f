package peridotfront

import (
	"context"

	lru "github.com/hashicorp/golang-lru/v2"
)

// maxOrigins is the number of streams whose software version is remembered.
const maxOrigins = 1 << 14

func newOrigins() *lru.Cache[string, string] {
	c, _ := lru.New[string, string](maxOrigins) // Fails only for a size that is not positive.
	return c
}

// recordOrigin records the software version of the server that began the stream of a
// request. It never blocks.
func (f *Front) recordOrigin(request, software string) {
	f.origins.Add(request, software)
}

// findOrigin returns the software version of the server that began the stream of a
// request, or false if it is unknown.
func (f *Front) findOrigin(_ context.Context, request string) (software string, ok bool) {
	return f.origins.Get(request)
}
