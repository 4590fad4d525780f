package peridotwire

import (
	"context"
	"encoding/json"
)

// echo answers every request with its method name.
type echo struct{}

func (echo) HandleRequest(_ context.Context, _ *Peer, method string, _ json.RawMessage) (any, error) {
	return method, nil
}

func (echo) HandleNotification(*Peer, string, json.RawMessage) {}
