package relay_test

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/plantainrun/plantainrun/internal/forward"
	"github.com/plantainrun/plantainrun/internal/mesh"
)

const (
	// hostDelay is the time that a message takes from one host to another.
	hostDelay = time.Millisecond
	// openTimeout is after what a host gives up another that does not answer.
	openTimeout = 500 * time.Millisecond
	// hostTimeout is after what a host notices that another one is gone.
	hostTimeout = 2500 * time.Millisecond
)

var errHostLost = errors.New("host lost")

// open opens a stream to another host of the fleet, which serves it.
func (h *fleetHost) open(ctx context.Context, host, _ string) (forward.Stream, error) {
	peer := h.fleet.host(host)
	if !h.fleet.reaches(h, peer) {
		select {
		case <-ctx.Done():
		case <-time.After(openTimeout):
		}
		return nil, &mesh.Error{Host: host, Op: "open", NotSent: true, Err: mesh.ErrUnresponsive}
	}
	time.Sleep(2 * hostDelay)
	near, far := newStreamPair(func() bool { return h.fleet.reaches(h, peer) })
	go func() {
		if err := peer.server.Serve(context.Background(), far); err == nil {
			_ = far.CloseSend()
		}
		_ = far.Close()
	}()
	return near, nil
}

func (f *fleet) host(id string) *fleetHost {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.hosts {
		if h.id == id {
			return h
		}
	}
	return nil
}

// reaches reports whether messages pass between two hosts.
func (f *fleet) reaches(a, b *fleetHost) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.connected(a, b)
}

// otherHosts returns the hosts that a host knows of, those included that are gone.
func (h *fleetHost) otherHosts() []forward.HostInfo {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	var out []forward.HostInfo
	for _, peer := range h.fleet.hosts {
		if peer != h {
			out = append(out, forward.HostInfo{ID: peer.id, Domain: peer.domain})
		}
	}
	return out
}

// fakeStream is one end of a stream between two hosts. Messages arrive in order after
// hostDelay. Once one was sent while the hosts did not reach each other, none arrives any
// more, and the ends fail after hostTimeout.
type fakeStream struct {
	reaches func() bool
	broken  *atomic.Bool
	in, out chan []byte // nil for the end of messages
	closed  chan struct{}
	peer    *fakeStream
	once    sync.Once
}

func newStreamPair(reaches func() bool) (a, b *fakeStream) {
	broken := &atomic.Bool{}
	a = &fakeStream{reaches: reaches, broken: broken, in: make(chan []byte, 1024), closed: make(chan struct{})}
	b = &fakeStream{reaches: reaches, broken: broken, in: make(chan []byte, 1024), closed: make(chan struct{}), peer: a}
	a.peer = b
	a.out, b.out = b.in, a.in
	return a, b
}

func (s *fakeStream) Send(msg proto.Message) error {
	data, err := proto.Marshal(msg)
	if err != nil {
		return err
	}
	return s.put(data)
}

func (s *fakeStream) CloseSend() error { return s.put(nil) }

func (s *fakeStream) put(data []byte) error {
	select {
	case <-s.closed:
		return errHostLost
	case <-s.peer.closed:
		return errHostLost
	default:
	}
	if !s.reaches() {
		s.broken.Store(true)
	}
	if s.broken.Load() {
		return nil // lost on the way
	}
	s.out <- data
	return nil
}

func (s *fakeStream) Recv(msg proto.Message) error {
	timeout := time.NewTicker(hostTimeout)
	defer timeout.Stop()
	for {
		select {
		case data := <-s.in:
			return s.deliver(data, msg)
		default:
		}
		select {
		case data := <-s.in:
			return s.deliver(data, msg)
		case <-s.closed:
			return errHostLost
		case <-s.peer.closed:
			if len(s.in) == 0 {
				return errHostLost
			}
		case <-timeout.C:
			if s.broken.Load() || !s.reaches() {
				return errHostLost
			}
		}
	}
}

func (s *fakeStream) deliver(data []byte, msg proto.Message) error {
	time.Sleep(hostDelay)
	if data == nil {
		return io.EOF
	}
	return proto.Unmarshal(data, msg)
}

func (s *fakeStream) Close() error {
	s.once.Do(func() { close(s.closed) })
	return nil
}

func (s *fakeStream) SetDeadline(time.Time) error { return nil }

func (s *fakeStream) CancelOnPeerClose(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	go func() {
		select {
		case <-s.peer.closed:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}
