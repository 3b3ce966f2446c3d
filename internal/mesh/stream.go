package mesh

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"github.com/plantainrun/plantainrun/coord/identity"
)

// Stream is one exchange of messages with a peer. Sending and receiving may go
// on in two goroutines, each in one only.
type Stream struct {
	session     *session
	conn        *yamux.Stream
	limit       int
	forward     bool
	bytesSent   atomic.Bool // a byte of a message may have left
	endReceived atomic.Bool // the peer's end mark was read
	releaseOnce sync.Once
}

// Peer returns the process at the other end.
func (s *Stream) Peer() identity.Incarnation { return s.session.peer }

// PeerDomain returns the failure domain that the peer gave in its hello.
func (s *Stream) PeerDomain() string { return s.session.domain }

// Send sends one message and blocks while the peer's window is full. The error
// matches ErrNotSent when no byte of any message can have left.
func (s *Stream) Send(msg proto.Message) error {
	frame, err := encodeFrame(msg, s.limit)
	if err != nil {
		return s.sendError(err, 0)
	}
	n, err := s.write(frame)
	if err != nil {
		return s.sendError(err, n)
	}
	return nil
}

// CloseSend tells the peer that no more messages follow. Receiving goes on.
func (s *Stream) CloseSend() error {
	_, err := s.write(endFrame())
	return err
}

// Recv reads one message. It returns io.EOF after the peer's CloseSend, and an
// error that matches ErrAborted when the peer closed the stream before that.
func (s *Stream) Recv(msg proto.Message) error {
	err := readFrame(countingReader{s}, msg, s.limit)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, io.EOF):
		s.endReceived.Store(true)
		return err
	case errors.Is(err, yamux.ErrConnectionReset), errors.Is(err, yamux.ErrSessionShutdown):
		err = errors.Join(ErrAborted, err)
	}
	return &Error{Host: s.session.peer.Host, Op: "receive", Err: err}
}

// SetDeadline bounds sending and receiving; the zero time removes the bound.
func (s *Stream) SetDeadline(t time.Time) error { return s.conn.SetDeadline(t) }

// CancelOnPeerClose returns a context that ends when the peer closes the stream or its
// connection is lost, so that a handler with a long answer learns that nobody waits for it. It
// reads from the stream: no Recv may follow. Blocked sends end with the context.
func (s *Stream) CancelOnPeerClose(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	go func() {
		defer cancel()
		var buf [1]byte
		for {
			n, err := s.conn.Read(buf[:])
			if err != nil {
				_ = s.conn.SetWriteDeadline(time.Now())
				return
			}
			if n > 0 && s.endReceived.Load() {
				return // messages after the end mark: the peer broke the protocol
			}
		}
	}()
	return ctx, cancel
}

// Close ends the stream. Without an earlier CloseSend on both sides, the
// peer sees ErrAborted. It is safe to call more than once.
func (s *Stream) Close() error {
	err := s.conn.Close()
	s.releaseOnce.Do(s.session.streamDone)
	return err
}

func (s *Stream) write(frame []byte) (int, error) {
	n, err := s.conn.Write(frame)
	if n > 0 {
		s.bytesSent.Store(true)
		s.session.mesh.counters.addSent(s.forward, n)
	}
	return n, err
}

// sendError wraps err. Only errors that yamux returns before it hands bytes to the
// connection prove that nothing left.
func (s *Stream) sendError(err error, written int) error {
	beforeWrite := errors.Is(err, ErrTooLarge) || errors.Is(err, yamux.ErrStreamClosed) ||
		errors.Is(err, yamux.ErrConnectionReset) || errors.Is(err, yamux.ErrTimeout)
	unsent := beforeWrite && written == 0 && !s.bytesSent.Load()
	if !unsent {
		s.bytesSent.Store(true)
	}
	return &Error{Host: s.session.peer.Host, Op: "send", NotSent: unsent, Err: err}
}

// countingReader counts the bytes that a stream receives.
type countingReader struct{ s *Stream }

// Read implements io.Reader.
func (r countingReader) Read(p []byte) (int, error) {
	n, err := r.s.conn.Read(p)
	r.s.session.mesh.counters.addReceived(r.s.forward, n)
	return n, err
}
