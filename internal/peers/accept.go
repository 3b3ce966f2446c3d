package peers

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/plantainrun/plantainrun/internal/membudget"
	"github.com/plantainrun/plantainrun/internal/peers/peerspb"
)

const (
	// maxMessageBytes is the maximum size of a message from a peer, in bytes.
	maxMessageBytes = 4 << 20
	// messageCost is the memory, in bytes, for each byte of a message: empty entries of a list
	// become structures.
	messageCost = 16
	// maxInboundConns is how many connections peers may have open to this host.
	maxInboundConns = 2048
)

var (
	errNoHello         = errors.New("the first message of a connection does not name the sender")
	errMessageTooLarge = errors.New("message from a peer exceeds the size limit")
)

// accept accepts connections from peers until ctx ends and serves each in a
// goroutine of its own.
func (s *Service) accept(ctx context.Context, listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			s.cfg.Log.Warn("cannot accept connections from peers", zap.Error(err))
			time.Sleep(firstBackoff)
			continue
		}
		if s.inboundConns.Add(1) > maxInboundConns {
			s.inboundConns.Add(-1)
			s.cfg.Log.Warn("connection from a peer closed: too many are open", zap.Stringer("addr", conn.RemoteAddr()))
			conn.Close()
			continue
		}
		go func() {
			defer s.inboundConns.Add(-1)
			s.serveConn(ctx, conn)
		}()
	}
}

// serveConn receives messages on a connection until it ends. If no newer connection
// of the peer has replaced it by then, what the peer reported is dropped.
func (s *Service) serveConn(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	session, err := yamux.Server(&frameConn{Conn: conn}, sessionConfig())
	if err != nil {
		s.cfg.Log.Warn("cannot start a session with a peer", zap.Error(err))
		return
	}
	defer session.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() }) // ends the session without a pause in between
	defer stop()
	stream, err := session.AcceptStream()
	if err != nil {
		return // closed before the first message
	}
	if err := session.GoAway(); err != nil { // a peer needs no further streams
		return
	}
	in, err := s.receive(conn, stream)
	if in == nil {
		s.cfg.Log.Warn("connection from a peer rejected", zap.Error(err))
		return
	}
	if !s.unregisterInbound(in) {
		return
	}
	s.cfg.Log.Info("peer lost", zap.String("peer", in.host), zap.Error(err))
	if in.jobs {
		s.cfg.Placer.ForgetHost(in.host)
	}
	s.forgetRelayed(in.host)
	if in.relay {
		s.relayToDomain(&peerspb.Relayed{Origin: in.host, Lost: true})
	}
}

// inbound describes a connection that a peer opened.
type inbound struct {
	host  string
	jobs  bool // carries the peer's jobs
	relay bool // this host relays the peer's updates to its failure domain
}

// receive applies a peer's messages until the connection fails or times out. It
// sets the read deadline on the connection, which carries only this stream,
// because a deadline on the yamux stream would need a timer for each message.
func (s *Service) receive(conn, stream net.Conn) (*inbound, error) {
	reader := bufio.NewReader(stream)
	held := s.cfg.Memory.Hold(membudget.HostMessage)
	defer held.Release()
	var sender *peerspb.Host
	var in *inbound
	timeout := heartbeatTimeout
	for {
		if err := conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
			return in, err
		}
		msg := &peerspb.News{}
		if err := readMessage(reader, msg, &held); err != nil {
			return in, err
		}
		first := in == nil
		if first {
			if sender = msg.GetFrom(); sender.GetId() == "" {
				return nil, errNoHello
			}
			in = s.registerInbound(msg)
			if !in.jobs && !in.relay {
				timeout = quietHeartbeatTimeout
			}
		}
		s.hosts.recordMessage(sender, time.Now())
		s.apply(sender, msg)
		if !in.relay {
			continue
		}
		if r := newRelayed(in.host, msg, first); r != nil {
			s.relayToDomain(r)
		}
	}
}

// readMessage reads one message with its size before it, as protodelim writes it. held
// accounts for the message until the next one is read.
func readMessage(r *bufio.Reader, msg proto.Message, held *membudget.Holding) error {
	held.Release()
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return err
	}
	if size > maxMessageBytes {
		return errMessageTooLarge
	}
	if body, err := r.Peek(int(size)); err == nil { // without a copy
		if err := held.Set(messageCost * len(body)); err != nil {
			return err
		}
		if err := proto.Unmarshal(body, msg); err != nil {
			return err
		}
		_, err := r.Discard(len(body))
		return err
	}
	body, err := held.ReadAll(r, int(size))
	if err != nil {
		return err
	}
	if len(body) < int(size) {
		return io.ErrUnexpectedEOF
	}
	if err := held.Set(messageCost * len(body)); err != nil {
		return err
	}
	return proto.Unmarshal(body, msg)
}

// registerInbound makes a connection the current one of its peer. A connection
// that carries the peer's jobs starts with all jobs in progress and all prompts that the peer
// has refused, so those known from before are dropped.
func (s *Service) registerInbound(hello *peerspb.News) *inbound {
	in := &inbound{host: hello.GetFrom().GetId(), jobs: hello.GetJobs(), relay: hello.GetPassOn()}
	s.mu.Lock()
	s.inbound[in.host] = in
	if !in.relay {
		delete(s.relaying, in.host) // another host relays its updates
	}
	s.mu.Unlock()
	if in.jobs {
		s.cfg.Placer.ForgetHost(in.host)
		s.cfg.Placer.ForgetRefusedPrompts(in.host)
	}
	s.cfg.Log.Info("peer heard", zap.String("peer", in.host))
	return in
}

// unregisterInbound removes a connection and reports whether it was the current
// one of its peer.
func (s *Service) unregisterInbound(in *inbound) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inbound[in.host] != in {
		return false
	}
	delete(s.inbound, in.host)
	return true
}
