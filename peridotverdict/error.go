package peridotverdict

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Code is the stable name of a reason for a refusal or failure. The same codes
// appear in metrics, in response bodies and in the documentation.
type Code string

// Error is a refusal or failure. It must not be changed after its creation, and is
// therefore safe for concurrent use.
type Error struct {
	// Code is never empty.
	Code Code
	// Verdict says whether the request may have run.
	Verdict Verdict
	// Message is a short description for people.
	Message string
	// Field is the name of the invalid input field, or empty.
	Field string
	// RetryAfter is the recommended delay before a retry. If it is zero, a retry is
	// not recommended.
	RetryAfter time.Duration
	// Cause is the underlying error, or nil. It is not sent to other processes.
	Cause error `json:"-"`
}

// Option sets an optional field of an Error.
type Option func(*Error)

// Field sets Error.Field, the name of the invalid input field.
func Field(name string) Option {
	return func(e *Error) { e.Field = name }
}

// RetryAfter sets Error.RetryAfter, the recommended delay before a retry.
func RetryAfter(delay time.Duration) Option {
	return func(e *Error) { e.RetryAfter = delay }
}

// Cause sets Error.Cause, the underlying error.
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

// Error returns the code, message, verdict and cause.
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

// As returns the first Error in the chain of err. If there is none, it wraps err in
// an Error with the code Internal and the verdict MayHaveRun. If err is nil, it
// returns nil.
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

// Of returns the verdict of err. It returns Ran if err is nil, and MayHaveRun if
// there is no Error in the chain of err.
func Of(err error) Verdict {
	if err == nil {
		return Ran
	}
	return As(err).Verdict
}

// Is reports whether the code of err, as returned by As, is code. It returns false
// if err is nil.
func Is(err error, code Code) bool {
	return err != nil && As(err).Code == code
}
