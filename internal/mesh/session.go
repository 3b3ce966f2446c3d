package mesh

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/plantainrun/plantainrun/coord/identity"
	"github.com/plantainrun/plantainrun/internal/mesh/meshpb"
	"github.com/plantainrun/plantainrun/internal/muxconn"
)

// streamsOpenFactor is how many times Config.MaxStreamsPerPeer of streams may be open on a
// connection, with those that are being refused; further ones are closed without an answer.
const streamsOpenFactor = 2

// session is one connection to a peer after the handshake.
type session struct {
	mesh    *Mesh
	mux     *yamux.Session
	conn    net.Conn      // the TLS connection, or wire in plain text
	wire    *countingConn // the TCP connection below TLS
	peer    identity.Incarnation
	domain  string
	partner string
	started time.Time // when the peer's process started, by its own clock
	dialled bool      // whether this host dialled the connection
	ctx     context.Context
	cancel  context.CancelFunc

	rtt            atomic.Int64 // last round-trip time in nanoseconds
	openStreams    atomic.Int64 // in both directions
	inboundStreams atomic.Int64 // streams that the peer opened and that are being served
	lastUsed       atomic.Int64 // Unix time in nanoseconds
	drainingSince  atomic.Int64 // Unix time in nanoseconds; zero if not draining
	closeOnce      sync.Once
}

func (m *Mesh) newSession(conn net.Conn, wire *countingConn, hello *meshpb.Hello, dialled bool) (*session, error) {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false // replaced by heartbeatLoop, which also measures the round-trip time
	cfg.ConnectionWriteTimeout = m.cfg.HeartbeatTimeout
	cfg.StreamOpenTimeout = 0 // Open waits for the peer's reply with its own timeout
	cfg.LogOutput = io.Discard
	newMux := yamux.Server
	if dialled {
		newMux = yamux.Client
	}
	mux, err := newMux(muxconn.Conn{Conn: conn}, cfg)
	if err != nil {
		return nil, err
	}
	s := &session{
		mesh: m, mux: mux, conn: conn, wire: wire, dialled: dialled,
		peer:    identity.Incarnation{Host: hello.GetHost(), Start: hello.GetStart()},
		domain:  hello.GetDomain(),
		partner: hello.GetPartner(),
		started: time.UnixMilli(hello.GetStartedMs()),
	}
	s.ctx, s.cancel = context.WithCancel(m.ctx)
	s.lastUsed.Store(time.Now().UnixNano())
	return s, nil
}

// run serves the session until its connection is closed.
func (s *session) run() {
	var wg sync.WaitGroup
	wg.Go(s.heartbeatLoop)
	s.acceptLoop(&wg)
	s.close()
	wg.Wait()
}

func (s *session) acceptLoop(wg *sync.WaitGroup) {
	for {
		conn, err := s.mux.AcceptStream()
		if err != nil {
			return
		}
		if s.openStreams.Load() >= int64(streamsOpenFactor*s.mesh.cfg.MaxStreamsPerPeer) {
			_ = conn.Close() // not asked for a method yet
			continue
		}
		s.streamStarted()
		st := &Stream{session: s, conn: conn, limit: s.mesh.cfg.MaxMessageBytes}
		wg.Go(func() { s.serve(st) })
	}
}

// heartbeatLoop sends pings and closes the connection if one fails while no byte arrives.
func (s *session) heartbeatLoop() {
	ticker := time.NewTicker(s.mesh.cfg.HeartbeatInterval)
	defer ticker.Stop()
	for {
		bytesBefore := s.wire.in.Load()
		rtt, err := s.mux.Ping()
		switch {
		case err == nil:
			s.rtt.Store(int64(rtt))
		case errors.Is(err, yamux.ErrSessionShutdown):
			return
		case s.wire.in.Load() == bytesBefore:
			s.closeUnresponsive()
			return
		}
		select {
		case <-ticker.C:
		case <-s.mux.CloseChan():
			return
		}
	}
}

// serve replies to a stream's open request and runs its handler if it is accepted.
func (s *session) serve(st *Stream) {
	defer func() { _ = st.Close() }()
	_ = st.conn.SetDeadline(time.Now().Add(s.mesh.cfg.OpenTimeout))
	var req meshpb.OpenRequest
	if err := readControlFrame(st.conn, &req); err != nil {
		return
	}
	handler, status := s.admit(req.GetMethod())
	if handler != nil {
		defer s.mesh.runningHandlers.Done()
		defer s.inboundStreams.Add(-1)
	}
	if err := writeFrame(st.conn, &meshpb.OpenReply{Status: status}); err != nil || handler == nil {
		return
	}
	_ = st.conn.SetDeadline(time.Time{})
	st.forward = isForwardMethod(req.GetMethod())
	s.mesh.counters.streamsServed.Add(1)
	if err := handler(s.ctx, st); err != nil {
		s.mesh.counters.handlerErrors.Add(1)
		return
	}
	_ = st.CloseSend()
}

// admit returns the handler of a method and counts it as running, or returns nil and the
// status that refuses the stream.
func (s *session) admit(method string) (Handler, meshpb.OpenStatus) {
	handler := s.mesh.handler(method)
	if handler == nil {
		return nil, meshpb.OpenStatus_OPEN_STATUS_UNKNOWN_METHOD
	}
	if s.inboundStreams.Add(1) > int64(s.mesh.cfg.MaxStreamsPerPeer) {
		s.inboundStreams.Add(-1)
		return nil, meshpb.OpenStatus_OPEN_STATUS_BUSY
	}
	if !s.mesh.tryStartHandler() {
		s.inboundStreams.Add(-1)
		return nil, meshpb.OpenStatus_OPEN_STATUS_CLOSING
	}
	return handler, meshpb.OpenStatus_OPEN_STATUS_ACCEPTED
}

// open opens a stream and waits until the peer accepts its method.
func (s *session) open(ctx context.Context, method string) (*Stream, error) {
	conn, err := s.mux.OpenStream()
	if err != nil {
		return nil, err
	}
	s.streamStarted()
	st := &Stream{session: s, conn: conn, limit: s.mesh.cfg.MaxMessageBytes, forward: isForwardMethod(method)}
	_ = conn.SetDeadline(time.Now().Add(s.mesh.cfg.OpenTimeout))
	stop := context.AfterFunc(ctx, func() { _ = st.Close(); _ = conn.SetDeadline(time.Now()) })
	status, err := exchangeOpen(conn, method)
	if !stop() {
		err = errors.Join(ctx.Err(), err)
	}
	if err == nil {
		err = statusError(status)
	}
	if err != nil {
		_ = st.Close()
		return nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	s.mesh.counters.streamsOpened.Add(1)
	return st, nil
}

func exchangeOpen(conn *yamux.Stream, method string) (meshpb.OpenStatus, error) {
	if err := writeFrame(conn, &meshpb.OpenRequest{Method: method}); err != nil {
		return 0, err
	}
	var reply meshpb.OpenReply
	if err := readControlFrame(conn, &reply); err != nil {
		return 0, err
	}
	return reply.GetStatus(), nil
}

func statusError(status meshpb.OpenStatus) error {
	switch status {
	case meshpb.OpenStatus_OPEN_STATUS_ACCEPTED:
		return nil
	case meshpb.OpenStatus_OPEN_STATUS_UNKNOWN_METHOD:
		return ErrUnknownMethod
	case meshpb.OpenStatus_OPEN_STATUS_BUSY:
		return ErrBusy
	case meshpb.OpenStatus_OPEN_STATUS_CLOSING:
		return ErrClosing
	default:
		return ErrProtocol
	}
}

func (s *session) streamStarted() {
	s.openStreams.Add(1)
	s.lastUsed.Store(time.Now().UnixNano())
}

func (s *session) streamDone() {
	s.lastUsed.Store(time.Now().UnixNano())
	s.openStreams.Add(-1)
}

// usable reports whether new streams may be opened on the session.
func (s *session) usable() bool { return s.drainingSince.Load() == 0 && !s.mux.IsClosed() }

// drain stops new streams on the session: this host opens none, and a go-away tells the peer
// to open none.
func (s *session) drain() {
	if s.drainingSince.CompareAndSwap(0, time.Now().UnixNano()) {
		s.mesh.spawn(func() { _ = s.mux.GoAway() })
	}
}

// closeUnresponsive closes a session whose peer does not respond, and counts and logs it.
func (s *session) closeUnresponsive() {
	s.mesh.counters.unresponsiveClosed.Add(1)
	s.mesh.logConnectionLost(s, ErrUnresponsive)
	s.close()
}

func (s *session) close() {
	s.closeOnce.Do(func() {
		_ = s.wire.Close() // first, so that an unresponsive peer cannot delay closing the layers above
		_ = s.conn.Close()
		_ = s.mux.Close()
		s.cancel()
		s.mesh.removeSession(s)
	})
}
