package peridotentry

import (
	"net/http"
	"strings"

	"peridotstack/peridotconfig"
	"peridotstack/peridotkey"
	"peridotstack/peridotverdict"
)

const bearerPrefix = "Bearer "

// callerIdentity identifies the client account and the key of a request.
type callerIdentity struct {
	account peridotconfig.Account
	keyID   string
}

func badKeyError(message string) *peridotverdict.Error {
	return peridotverdict.New(peridotverdict.BadKey, peridotverdict.NotRun, message)
}

// authenticate returns the client account that the key in the Authorization
// header belongs to. The key is not passed on.
func authenticate(config *peridotconfig.Config, r *http.Request) (callerIdentity, *peridotverdict.Error) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if !ok {
		return callerIdentity{}, badKeyError("an Authorization header with a bearer key is needed")
	}
	id, secret, ok := peridotkey.Split(key)
	if !ok {
		return callerIdentity{}, badKeyError("the key is malformed")
	}
	storedKey, ok := config.Key(id)
	if !ok || !peridotkey.Match(secret, storedKey.Hash) {
		return callerIdentity{}, badKeyError("the key is unknown")
	}
	if storedKey.Withdrawn {
		return callerIdentity{}, badKeyError("the key was withdrawn")
	}
	account, ok := config.Account(storedKey.Account)
	if !ok {
		return callerIdentity{}, badKeyError("the key's client account is gone")
	}
	return callerIdentity{account: account, keyID: id}, nil
}

// checkKeyLeak refuses a request that contains a key where it would be passed on
// to a backend server. Content-Type and Idempotency-Key are the only headers
// that are passed on.
func checkKeyLeak(r *http.Request, body string) *peridotverdict.Error {
	key, _ := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	field, found := peridotkey.FindLeak(
		key,
		peridotkey.RequestPart{Field: "query", Text: r.URL.RawQuery, Encoding: peridotkey.Query},
		peridotkey.RequestPart{Field: headerIdempotencyKey, Text: r.Header.Get(headerIdempotencyKey)},
		peridotkey.RequestPart{Field: "Content-Type", Text: r.Header.Get("Content-Type")},
		peridotkey.RequestPart{Field: "body", Text: body, Encoding: peridotkey.Body},
	)
	if !found {
		return nil
	}
	return badRequestError(field, "a key must stand in the Authorization header only, and not in "+field)
}
