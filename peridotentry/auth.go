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

func badKey(message string) *peridotverdict.Error {
	return peridotverdict.New(peridotverdict.BadKey, peridotverdict.NotRun, message)
}

// authenticate returns the client account that the key in the Authorization
// header belongs to. The key is not passed on.
func authenticate(config *peridotconfig.Config, r *http.Request) (callerIdentity, *peridotverdict.Error) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if !ok {
		return callerIdentity{}, badKey("an Authorization header with a bearer key is required")
	}
	id, secret, ok := peridotkey.Split(key)
	if !ok {
		return callerIdentity{}, badKey("the key is malformed")
	}
	storedKey, ok := config.Key(id)
	if !ok || !peridotkey.Match(secret, storedKey.Hash) {
		return callerIdentity{}, badKey("the key is unknown")
	}
	if storedKey.Withdrawn {
		return callerIdentity{}, badKey("the key was withdrawn")
	}
	account, ok := config.Account(storedKey.Account)
	if !ok {
		return callerIdentity{}, badKey("the key's client account no longer exists")
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
		peridotkey.RequestPart{Field: headerIdempotency, Text: r.Header.Get(headerIdempotency)},
		peridotkey.RequestPart{Field: "Content-Type", Text: r.Header.Get("Content-Type")},
		peridotkey.RequestPart{Field: "body", Text: body, Encoding: peridotkey.Body},
	)
	if !found {
		return nil
	}
	return badRequest(field, "a key may be sent only in the Authorization header, not in "+field)
}
