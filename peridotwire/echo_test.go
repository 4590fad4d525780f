package peridotwire

import (
	"context"
	"encoding/json"
)

// echo answers every call with its method.
type echo struct{}

func (echo) Call(_ context.Context, _ *Peer, method string, _ json.RawMessage) (any, error) {
	return method, nil
}

func (echo) Notice(*Peer, string, json.RawMessage) {}
