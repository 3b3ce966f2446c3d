package knowledge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/plantainrun/plantainrun/internal/knowledge/knowledgepb"
	"github.com/plantainrun/plantainrun/internal/mesh"
	"github.com/plantainrun/plantainrun/internal/topology"
)

// The methods on the mesh.
const (
	methodExchange = "knowledge/exchange"
	methodPush     = "knowledge/push"
)

// MeshTransport carries knowledge over the mesh.
type MeshTransport struct{ mesh *mesh.Mesh }

// NewMeshTransport returns the links of a mesh. Seeds are hosts from the settings,
// which the mesh links to until a host list is known.
func NewMeshTransport(m *mesh.Mesh, seeds []topology.Host) MeshTransport {
	if len(seeds) > 0 {
		m.SetHosts(seeds)
	}
	return MeshTransport{mesh: m}
}

// Serve answers peers from k, and keeps the mesh's host list as k knows it.
// Call it before the mesh starts.
func (l MeshTransport) Serve(k *Replica) {
	l.mesh.Handle(methodExchange, func(ctx context.Context, s *mesh.Stream) error {
		var digest knowledgepb.Digest
		if err := receive(s, &digest); err != nil {
			return err
		}
		answer, err := k.HandleExchange(ctx, s.Peer().Host, &digest)
		if err != nil {
			return err
		}
		return s.Send(answer)
	})
	l.mesh.Handle(methodPush, func(ctx context.Context, s *mesh.Stream) error {
		var values knowledgepb.Values
		if err := receive(s, &values); err != nil {
			return err
		}
		return k.HandlePush(ctx, s.Peer().Host, &values)
	})
	var revision uint64
	k.Subscribe(func(snapshot Snapshot) {
		if snapshot.HostsRevision > revision {
			revision = snapshot.HostsRevision
			l.mesh.SetHosts(snapshot.Hosts.Hosts)
		}
	})
}

func receive(s *mesh.Stream, msg proto.Message) error {
	if err := s.SetDeadline(time.Now().Add(linkTimeout)); err != nil {
		return err
	}
	return s.Recv(msg)
}

// Peers returns the links of the mesh.
func (l MeshTransport) Peers() []string { return l.mesh.Links() }

// Exchange sends a digest and returns the answer.
func (l MeshTransport) Exchange(ctx context.Context, host string, digest *knowledgepb.Digest) (*knowledgepb.Values, error) {
	s, err := l.send(ctx, host, methodExchange, digest)
	if err != nil {
		return nil, err
	}
	defer s.Close()
	var answer knowledgepb.Values
	if err := s.Recv(&answer); err != nil {
		return nil, fmt.Errorf("%s gave no answer: %w", host, err)
	}
	return &answer, nil
}

// Push sends values and waits until the peer closes the stream, so that an
// error tells that they may not have arrived.
func (l MeshTransport) Push(ctx context.Context, host string, values *knowledgepb.Values) error {
	s, err := l.send(ctx, host, methodPush, values)
	if err != nil {
		return err
	}
	defer s.Close()
	var none knowledgepb.Values
	if err := s.Recv(&none); !errors.Is(err, io.EOF) {
		return fmt.Errorf("%s may not have taken the values: %w", host, err)
	}
	return nil
}

// send opens a stream and sends the only message of this side.
func (l MeshTransport) send(ctx context.Context, host, method string, msg proto.Message) (*mesh.Stream, error) {
	s, err := l.mesh.Open(ctx, host, method)
	if err != nil {
		return nil, err
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(linkTimeout)
	}
	err = errors.Join(s.SetDeadline(deadline), s.Send(msg), s.CloseSend())
	if err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}
