package peridotentry

import (
	"net/http"
	"strings"

	"peridotstack/peridotconfig"
	"peridotstack/peridotkey"
	"peridotstack/peridotverdict"
)

const bearer = "Bearer "

// identity is who a request runs for.
type identity struct {
	account peridotconfig.Account
	keyID   string
}

func badKey(message string) *peridotverdict.Error {
	return peridotverdict.New(peridotverdict.BadKey, peridotverdict.NotRun, message)
}

// authenticate finds the client account of the key that came with r. The key
// goes no further.
func authenticate(config *peridotconfig.Config, r *http.Request) (identity, *peridotverdict.Error) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearer)
	if !ok {
		return identity{}, badKey("an Authorization header with a bearer key is needed")
	}
	id, secret, ok := peridotkey.Split(key)
	if !ok {
		return identity{}, badKey("the key is malformed")
	}
	known, ok := config.Key(id)
	if !ok || !peridotkey.Match(secret, known.Hash) {
		return identity{}, badKey("the key is unknown")
	}
	if known.Withdrawn {
		return identity{}, badKey("the key was withdrawn")
	}
	account, ok := config.Account(known.Account)
	if !ok {
		return identity{}, badKey("the key's client account is gone")
	}
	return identity{account: account, keyID: id}, nil
}

// keepKey refuses a request that would carry a key on to a backend server. The
// headers that are handed on are Content-Type and Idempotency-Key alone.
func keepKey(r *http.Request, body string) *peridotverdict.Error {
	key, _ := strings.CutPrefix(r.Header.Get("Authorization"), bearer)
	field, found := peridotkey.Leak(
		key,
		peridotkey.Place{Field: "query", Text: r.URL.RawQuery, Encoding: peridotkey.Query},
		peridotkey.Place{Field: headerIdempotency, Text: r.Header.Get(headerIdempotency)},
		peridotkey.Place{Field: "Content-Type", Text: r.Header.Get("Content-Type")},
		peridotkey.Place{Field: "body", Text: body, Encoding: peridotkey.Body},
	)
	if !found {
		return nil
	}
	return badRequest(field, "a key must stand in the Authorization header only, and not in "+field)
}
