package mesh

import (
	"errors"
	"fmt"
)

// ErrNotSent matches errors after which no byte of the request can have
// reached the peer. Any other error of a stream leaves the outcome unknown.
var ErrNotSent = errors.New("no byte of the request was sent")

// Causes of mesh errors, for errors.Is.
var (
	ErrUnknownHost   = errors.New("the host is not on the host list")
	ErrRefused       = errors.New("the peer refused the connection")
	ErrUnreachable   = errors.New("the peer cannot be reached")
	ErrIdentity      = errors.New("the peer is not the host it should be")
	ErrProtocol      = errors.New("the peer broke the protocol")
	ErrTooLarge      = errors.New("the message is larger than the limit")
	ErrUnknownMethod = errors.New("the peer does not know the method")
	ErrClosing       = errors.New("the mesh is closing")
	ErrBusy          = errors.New("the peer serves too many streams")
	ErrUnresponsive  = errors.New("the connection made no progress")
	ErrAborted       = errors.New("the peer ended the stream early")
)

// Error is an error of a link or stream to one host.
type Error struct {
	Host    string
	Op      string // what was tried, such as "dial" or "send"
	Remedy  string // what to do about it
	NotSent bool   // no byte of the request can have reached the peer
	Err     error
}

// Error returns what failed and its remedy.
func (e *Error) Error() string {
	msg := fmt.Sprintf("mesh: %s to host %q: %v", e.Op, e.Host, e.Err)
	if e.Remedy == "" {
		return msg
	}
	return msg + "; " + e.Remedy
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Is reports whether the error proves that nothing was sent, for ErrNotSent.
func (e *Error) Is(target error) bool { return target == ErrNotSent && e.NotSent }

func notSent(host, op, remedy string, err error) *Error {
	return &Error{Host: host, Op: op, Remedy: remedy, NotSent: true, Err: err}
}
