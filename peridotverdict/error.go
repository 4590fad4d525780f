package peridotverdict

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Code is the stable name of one reason for a refusal or failure. Counters,
// response bodies and the documentation use the same codes.
type Code string

// Error is a refusal or failure. It is safe for concurrent use because nothing
// changes it after it was made.
type Error struct {
	// Code is never empty.
	Code Code
	// Verdict says whether the request may have run.
	Verdict Verdict
	// Message is a short sentence for people.
	Message string
	// Field names the offending field of the input, or is empty.
	Field string
	// RetryAfter is when coming back makes sense; zero means that it does not.
	RetryAfter time.Duration
	// Cause is the underlying error, or nil. It is not sent to other processes.
	Cause error `json:"-"`
}

// Option sets an optional part of an Error.
type Option func(*Error)

// Field names the offending field of the input.
func Field(name string) Option {
	return func(e *Error) { e.Field = name }
}

// RetryAfter tells the caller when to come back.
func RetryAfter(wait time.Duration) Option {
	return func(e *Error) { e.RetryAfter = wait }
}

// Cause records the underlying error.
func Cause(err error) Option {
	return func(e *Error) { e.Cause = err }
}

// New returns an Error with the given code, verdict and message.
func New(code Code, verdict Verdict, message string, options ...Option) *Error {
	e := &Error{Code: code, Verdict: verdict, Message: message}
	for _, option := range options {
		option(e)
	}
	return e
}

// Error returns the code, the message, the verdict and the cause.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s: %s (%s)", e.Code, e.Message, e.Verdict)
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Cause
}

// As returns the Error within err. An err that holds none becomes an Error
// with the code Internal and the verdict MayHaveRun. It returns nil for nil.
func As(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, MayHaveRun, "internal error", Cause(err))
}

// Of returns the verdict of err; Ran for nil and MayHaveRun for an error that
// carries none.
func Of(err error) Verdict {
	if err == nil {
		return Ran
	}
	return As(err).Verdict
}

// Is reports whether err carries the given code.
func Is(err error, code Code) bool {
	return err != nil && As(err).Code == code
}
