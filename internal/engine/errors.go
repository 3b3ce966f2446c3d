package engine

import (
	"errors"
	"fmt"

	"github.com/plantainrun/plantainrun/coord/outcome"
)

// Kind classifies why a call to an engine failed.
type Kind string

// Values of Error.Kind.
const (
	KindUnreachable Kind = "unreachable" // no connection could be opened
	KindRefused     Kind = "refused"     // the engine refused the call; Error.Reason has its reason
	KindLost        Kind = "lost"        // the engine became unreachable or no longer knows the stream
	KindIncomplete  Kind = "incomplete"  // the response was invalid, and resuming did not correct it
	KindFailed      Kind = "failed"      // the engine ran the prompt and reported an error
	KindDropped     Kind = "dropped"     // the engine ended the stream before the response was complete
	KindDeadline    Kind = "deadline"    // the time limit passed
	KindCancelled   Kind = "cancelled"   // the caller cancelled the context
	KindSink        Kind = "sink"        // the sink returned an error
	KindInvalid     Kind = "invalid"     // the request cannot be encoded or sent
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

// Error is returned by calls to engines that fail.
type Error struct {
	Kind    Kind
	Outcome outcome.Outcome
	Target  string // id of the engine
	Reason  string // reason of a refusal; see engineapi.Refusal
	Detail  string
	// ProcessExited is set when the engine's process is known to have exited: it
	// refused a connection after the prompt may have reached it, or no longer knew a
	// stream that it had accepted. A stalled connection is no evidence of an exit.
	ProcessExited bool
	Cause         error
}

// Error returns the description of the failure and how to remedy it.
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

// Unwrap returns e.Cause.
func (e *Error) Unwrap() error { return e.Cause }

// Is reports whether target is an *Error of the same kind, so that
// errors.Is(err, &Error{Kind: KindRefused}) works.
func (e *Error) Is(target error) bool {
	t, ok := target.(*Error)
	return ok && t.Kind == e.Kind && t.Cause == nil && t.Target == ""
}

// OutcomeOf returns the outcome of a call that returned err: Done for nil, and
// Unknown for an error that does not wrap an *Error.
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

// fault is the reason why a connection is abandoned. The stream may be resumed on
// another connection.
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

// Error implements error.
func (f fault) Error() string { return string(f) }

// isProtocolError reports whether the engine sent an invalid or truncated response,
// as opposed to none.
func (f fault) isProtocolError() bool {
	switch f {
	case faultWrongRequest, faultDuplicate, faultGap, faultTokenCount, faultMalformed, faultTruncated:
		return true
	default:
		return false
	}
}
