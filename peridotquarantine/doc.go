// Package peridotquarantine decides which parts of prompts must not be sent to backend
// servers, because servers ended when they began to generate an answer on them.
//
// The package has no goroutine, socket or clock.
package peridotquarantine
