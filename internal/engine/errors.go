package engine

import (
	"errors"
	"fmt"

	"github.com/plantainrun/plantainrun/coord/outcome"
)

// Kind tells why a call to an engine did not end as asked.
type Kind string

// The kinds of Error.
const (
	KindUnreachable Kind = "unreachable" // no connection could be opened
	KindRefused     Kind = "refused"     // the engine refused; Reason says why
	KindLost        Kind = "lost"        // the engine went away, or no longer knows the stream
	KindIncomplete  Kind = "incomplete"  // the answer contradicts itself and could not be mended
	KindFailed      Kind = "failed"      // the engine ran the prompt and said that it failed
	KindDropped     Kind = "dropped"     // the engine ended the stream before its end
	KindDeadline    Kind = "deadline"    // the time limit passed
	KindCancelled   Kind = "cancelled"   // the caller went away
	KindSink        Kind = "sink"        // the sink refused a token
	KindInvalid     Kind = "invalid"     // the request cannot be sent
)

var remedies = map[Kind]string{
	KindUnreachable: "try another target",
	KindRefused:     "try another target, or later if it is the only one",
	KindLost:        "run the prompt again if no token was passed on",
	KindIncomplete:  "run the prompt again if no token was passed on, and look at the engine's log",
	KindFailed:      "look at the engine's log",
	KindDropped:     "run the prompt again with a longer time limit",
	KindDeadline:    "ask again with a longer time limit",
	KindCancelled:   "nothing; the caller has gone",
	KindSink:        "nothing; the caller has gone",
	KindInvalid:     "correct the request",
}

// Error is the end of a call to an engine that did not end as asked.
type Error struct {
	Kind    Kind
	Outcome outcome.Outcome
	Target  string // id of the engine
	Reason  string // of a refusal; see engineapi.Refusal
	Detail  string
	// ProcessExited is set when the engine's process has ended: it refused a connection
	// after it had taken the prompt, or no longer knew a stream that it held.
	// Silence does not show it.
	ProcessExited bool
	Cause         error
}

// Error returns the message and the remedy.
func (e *Error) Error() string {
	msg := fmt.Sprintf("engine %s: %s (%s)", e.Target, e.Kind, e.Outcome)
	if e.Reason != "" {
		msg += ": " + e.Reason
	}
	if e.Detail != "" {
		msg += ": " + e.Detail
	}
	if e.Cause != nil {
		msg += ": " + e.Cause.Error()
	}
	return msg + "; " + remedies[e.Kind]
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Is reports whether target is an *Error of the same kind, so that
// errors.Is(err, &Error{Kind: KindRefused}) works.
func (e *Error) Is(target error) bool {
	t, ok := target.(*Error)
	return ok && t.Kind == e.Kind && t.Cause == nil && t.Target == ""
}

// OutcomeOf is the outcome of a call that returned err. An error of unknown
// origin is Unknown.
func OutcomeOf(err error) outcome.Outcome {
	if err == nil {
		return outcome.Done
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Outcome
	}
	return outcome.Unknown
}

// fault is why one connection is no longer used, while the stream may go on.
type fault string

const (
	faultStalled       fault = "connection made no progress within its bound"
	faultConnLost      fault = "connection was lost"
	faultDialFailed    fault = "no connection could be opened"
	faultConnRefused   fault = "connection was refused"
	faultTruncated     fault = "answer ended without its end marker"
	faultWrongRequest  fault = "answer belongs to another request"
	faultDuplicate     fault = "token came twice or late"
	faultGap           fault = "tokens are missing"
	faultTokenCount    fault = "count at the end differs from the tokens that came"
	faultMalformed     fault = "line is not a chunk"
	faultUnknownStream fault = "engine does not know the stream"
)

// Error returns the description.
func (f fault) Error() string { return string(f) }

// isProtocolError reports whether the engine's bytes were wrong rather than absent.
func (f fault) isProtocolError() bool {
	switch f {
	case faultWrongRequest, faultDuplicate, faultGap, faultTokenCount, faultMalformed, faultTruncated:
		return true
	default:
		return false
	}
}
