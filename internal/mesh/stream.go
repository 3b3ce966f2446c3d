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
	"github.com/plantainrun/plantainrun/internal/membudget"
)

// Stream is a bidirectional stream of messages with a peer. One goroutine may send while
// another receives; neither sending nor receiving is safe for concurrent use.
type Stream struct {
	session     *session
	conn        *yamux.Stream
	limit       int
	forward     bool
	held        membudget.Holding // of the latest message received
	closeMu     sync.Mutex        // guards held against a Close beside a Recv
	closed      bool
	bytesSent   atomic.Bool // a byte of a message may have been sent
	endReceived atomic.Bool // the peer's end frame was read
	releaseOnce sync.Once
}

// Peer returns the incarnation of the host at the other end.
func (s *Stream) Peer() identity.Incarnation { return s.session.peer }

// PeerDomain returns the failure domain that the peer stated in its hello.
func (s *Stream) PeerDomain() string { return s.session.domain }

// Send sends one message. It blocks while the peer's receive window is full. The error
// matches ErrNotSent if no byte of any message can have been sent on the stream.
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

// CloseSend tells the peer that no more messages follow. Receiving is still possible.
func (s *Stream) CloseSend() error {
	_, err := s.write(endFrame())
	return err
}

// Recv receives one message. It returns io.EOF after the peer's CloseSend, and an
// error that matches ErrAborted if the peer closed the stream without it.
func (s *Stream) Recv(msg proto.Message) error {
	err := s.receive(msg)
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

// receive reads one message, whose memory is given back at the next one or when the stream is
// closed.
func (s *Stream) receive(msg proto.Message) error {
	held := s.session.mesh.cfg.Memory.Hold(membudget.HostMessage)
	err := readFrame(countingReader{s}, msg, s.limit, &held)
	s.closeMu.Lock()
	defer s.closeMu.Unlock()
	s.held.Release()
	if s.held = held; s.closed {
		s.held.Release()
	}
	return err
}

// SetDeadline sets the deadline for sending and receiving; the zero time removes it.
func (s *Stream) SetDeadline(t time.Time) error { return s.conn.SetDeadline(t) }

// CancelOnPeerClose returns a context that is cancelled when the peer closes the stream or
// the connection is lost, so that a handler with a long response can stop when the caller has
// disconnected. It reads from the stream, so Recv must not be called afterwards. Blocked sends fail
// when the peer closes the stream.
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
				return // data after the end frame is a protocol violation
			}
		}
	}()
	return ctx, cancel
}

// Close closes the stream. Unless both sides called CloseSend before, the peer sees
// ErrAborted. Close may be called more than once.
func (s *Stream) Close() error {
	err := s.conn.Close()
	s.releaseOnce.Do(s.session.streamDone)
	s.closeMu.Lock()
	defer s.closeMu.Unlock()
	s.closed = true
	s.held.Release()
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

// sendError wraps err in an Error. Only errors that yamux returns before it hands bytes to
// the connection prove that nothing was sent.
func (s *Stream) sendError(err error, written int) error {
	beforeWrite := errors.Is(err, ErrTooLarge) || errors.Is(err, yamux.ErrStreamClosed) ||
		errors.Is(err, yamux.ErrConnectionReset) || errors.Is(err, yamux.ErrTimeout)
	unsent := beforeWrite && written == 0 && !s.bytesSent.Load()
	if !unsent {
		s.bytesSent.Store(true)
	}
	return &Error{Host: s.session.peer.Host, Op: "send", NotSent: unsent, Err: err}
}

// countingReader reads from a stream and counts the bytes received.
type countingReader struct{ s *Stream }

// Read implements io.Reader.
func (r countingReader) Read(p []byte) (int, error) {
	n, err := r.s.conn.Read(p)
	r.s.session.mesh.counters.addReceived(r.s.forward, n)
	return n, err
}
