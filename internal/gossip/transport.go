package gossip

import (
	"context"
	"time"

	"github.com/plantainrun/plantainrun/internal/gossip/gossippb"
	"github.com/plantainrun/plantainrun/internal/mesh"
)

// method is the mesh method that carries gossip requests.
const method = "membership"

type meshTransport struct {
	*mesh.Mesh
	timeout time.Duration
}

// NewTransport returns a transport over m. The timeout bounds how long a request is served.
func NewTransport(m *mesh.Mesh, timeout time.Duration) Transport {
	return &meshTransport{Mesh: m, timeout: timeout}
}

// Call implements Transport. It opens one stream for each request.
func (t *meshTransport) Call(ctx context.Context, host string, req *gossippb.Request) (*gossippb.Reply, error) {
	s, err := t.Open(ctx, host, method)
	if err != nil {
		return nil, err
	}
	defer func() { _ = s.Close() }()
	if deadline, ok := ctx.Deadline(); ok {
		_ = s.SetDeadline(deadline)
	}
	if err := s.Send(req); err != nil {
		return nil, err
	}
	reply := &gossippb.Reply{}
	return reply, s.Recv(reply)
}

// Serve implements Transport.
func (t *meshTransport) Serve(h Handler) {
	t.Handle(method, func(_ context.Context, s *mesh.Stream) error {
		_ = s.SetDeadline(time.Now().Add(t.timeout))
		req := &gossippb.Request{}
		if err := s.Recv(req); err != nil {
			return err
		}
		return s.Send(h(s.Peer().Host, req))
	})
}
