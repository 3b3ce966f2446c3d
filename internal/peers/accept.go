package peers

import (
	"bufio"
	"context"
	"errors"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	"go.uber.org/zap"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/plantainrun/plantainrun/internal/peers/peerspb"
)

// maxMessage bounds one message of a peer, in bytes.
const maxMessage = 4 << 20

var errNoHello = errors.New("the first message of a connection does not say whose it is")

// accept serves the connections that peers open.
func (s *Service) accept(ctx context.Context, listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			s.cfg.Log.Warn("connection of a peer not accepted", zap.Error(err))
			time.Sleep(firstBackoff)
			continue
		}
		go s.serveConn(ctx, conn)
	}
}

func (s *Service) serveConn(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	session, err := yamux.Server(conn, sessionConfig())
	if err != nil {
		s.cfg.Log.Warn("connection of a peer not served", zap.Error(err))
		return
	}
	defer session.Close()
	stop := context.AfterFunc(ctx, func() { session.Close() })
	defer stop()
	stream, err := session.AcceptStream()
	if err != nil {
		return // closed before it said anything
	}
	host, serial, passOn, err := s.receive(stream)
	if host == "" {
		s.cfg.Log.Warn("connection of a peer refused", zap.Error(err))
		return
	}
	if s.closeInbound(host, serial) {
		s.cfg.Board.ForgetHost(host)
		s.forgetRelayed(host)
		if passOn {
			s.passOn(&peerspb.Relayed{Origin: host, Lost: true})
		}
		s.cfg.Log.Info("peer lost", zap.String("peer", host), zap.Error(err))
	}
}

// receive applies a peer's messages until the connection fails or falls silent.
func (s *Service) receive(stream net.Conn) (host string, serial uint64, passOn bool, err error) {
	reader := bufio.NewReader(stream)
	opts := protodelim.UnmarshalOptions{MaxSize: maxMessage}
	var from *peerspb.Host
	for {
		if err := stream.SetReadDeadline(time.Now().Add(heartbeatTimeout)); err != nil {
			return host, serial, passOn, err
		}
		news := &peerspb.News{}
		if err := opts.UnmarshalFrom(reader, news); err != nil {
			return host, serial, passOn, err
		}
		first := from == nil
		if first {
			if from = news.GetFrom(); from.GetId() == "" {
				return "", 0, false, errNoHello
			}
			host = from.GetId()
			serial = s.openInbound(host)
			passOn = news.GetPassOn()
		}
		s.hosts.heard(from, time.Now())
		s.apply(from, news)
		if !passOn {
			continue
		}
		if r := relayed(host, news, first); r != nil {
			s.passOn(r)
		}
	}
}

// openInbound makes a connection the one that counts for its peer. It begins
// with all jobs in progress, so what was known before is dropped.
func (s *Service) openInbound(host string) uint64 {
	s.mu.Lock()
	s.sequence++
	serial := s.sequence
	s.inbound[host] = serial
	s.mu.Unlock()
	s.cfg.Board.ForgetHost(host)
	s.cfg.Log.Info("peer heard", zap.String("peer", host))
	return serial
}

// closeInbound reports whether the connection was the newest of its peer.
func (s *Service) closeInbound(host string, serial uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inbound[host] != serial {
		return false
	}
	delete(s.inbound, host)
	return true
}
