// Package peridotquarantine decides which parts of prompts must not be sent to backend
// servers, because servers ended when they began to generate an answer on them.
//
// A Suspicion is a run that broke off before its first event. Once the server is known
// to have ended, the suspicion becomes one Accusation for each shared part of the prompt.
// Instances exchange accusations; each adds them up in a Table, which quarantines a part
// after a few ends of different servers. A part is sound at a software version, and is
// not accused there, once an answer has begun on it.
//
// The package has no goroutine, socket or clock: its callers pass the time, and send and
// store what it returns. Its types are not safe for concurrent use.
package peridotquarantine
