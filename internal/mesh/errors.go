package mesh

import (
	"errors"
	"fmt"
)

// ErrNotSent matches errors that guarantee that no byte of the request can have
// reached the peer. After any other stream error the outcome is unknown.
var ErrNotSent = errors.New("no byte of the request was sent")

// Causes of an Error, to be matched with errors.Is.
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

// Error is an error of a connection or stream to one host.
type Error struct {
	Host    string
	Op      string // operation that failed, such as "dial" or "send"
	Remedy  string // what the caller or operator can do about it; may be empty
	NotSent bool   // no byte of the request can have reached the peer
	Err     error
}

// Error returns the operation, the host, the cause and, if set, the remedy.
func (e *Error) Error() string {
	msg := fmt.Sprintf("mesh: %s to host %q: %v", e.Op, e.Host, e.Err)
	if e.Remedy == "" {
		return msg
	}
	return msg + "; " + e.Remedy
}

// Unwrap returns the cause of the error.
func (e *Error) Unwrap() error { return e.Err }

// Is matches ErrNotSent if NotSent is set.
func (e *Error) Is(target error) bool { return target == ErrNotSent && e.NotSent }

func notSent(host, op, remedy string, err error) *Error {
	return &Error{Host: host, Op: op, Remedy: remedy, NotSent: true, Err: err}
}
