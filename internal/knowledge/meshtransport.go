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

// Names of the mesh methods, which are part of the wire protocol.
const (
	methodExchange = "knowledge/exchange"
	methodPush     = "knowledge/push"
)

// MeshTransport implements Transport with one mesh stream per call.
type MeshTransport struct{ mesh *mesh.Mesh }

// NewMeshTransport returns a transport over m. The seeds are hosts from the settings, which
// the mesh connects to until a host list is known.
func NewMeshTransport(m *mesh.Mesh, seeds []topology.Host) MeshTransport {
	if len(seeds) > 0 {
		m.SetHosts(seeds)
	}
	return MeshTransport{mesh: m}
}

// Serve registers the handlers for peers' calls to replica, and passes each new host list
// of replica to the mesh. Call it before the mesh starts.
func (t MeshTransport) Serve(replica *Replica) {
	t.mesh.Handle(methodExchange, func(ctx context.Context, s *mesh.Stream) error {
		var digest knowledgepb.Digest
		if err := receive(s, &digest); err != nil {
			return err
		}
		resp, err := replica.HandleExchange(ctx, s.Peer().Host, &digest)
		if err != nil {
			return err
		}
		return s.Send(resp)
	})
	t.mesh.Handle(methodPush, func(ctx context.Context, s *mesh.Stream) error {
		var values knowledgepb.Values
		if err := receive(s, &values); err != nil {
			return err
		}
		return replica.HandlePush(ctx, s.Peer().Host, &values)
	})
	var revision uint64
	replica.Subscribe(func(snapshot Snapshot) {
		if snapshot.HostsRevision > revision {
			revision = snapshot.HostsRevision
			t.mesh.SetHosts(snapshot.Hosts.Hosts)
		}
	})
}

func receive(s *mesh.Stream, msg proto.Message) error {
	if err := s.SetDeadline(time.Now().Add(peerCallTimeout)); err != nil {
		return err
	}
	return s.Recv(msg)
}

// Peers returns the hosts that the mesh currently links to.
func (t MeshTransport) Peers() []string { return t.mesh.Links() }

// Exchange sends a digest to a host and returns its response.
func (t MeshTransport) Exchange(ctx context.Context, host string, digest *knowledgepb.Digest) (*knowledgepb.Values, error) {
	s, err := t.openAndSend(ctx, host, methodExchange, digest)
	if err != nil {
		return nil, err
	}
	defer s.Close()
	var resp knowledgepb.Values
	if err := s.Recv(&resp); err != nil {
		return nil, fmt.Errorf("no response from %s: %w", host, err)
	}
	return &resp, nil
}

// Push sends values and waits until the peer closes the stream, so that an
// error is returned if they may not have arrived.
func (t MeshTransport) Push(ctx context.Context, host string, values *knowledgepb.Values) error {
	s, err := t.openAndSend(ctx, host, methodPush, values)
	if err != nil {
		return err
	}
	defer s.Close()
	var unexpected knowledgepb.Values
	if err := s.Recv(&unexpected); !errors.Is(err, io.EOF) {
		return fmt.Errorf("the values pushed to %s may not have been accepted: %w", host, err)
	}
	return nil
}

// openAndSend opens a stream, sends the single request message and closes the sending side.
func (t MeshTransport) openAndSend(ctx context.Context, host, method string, msg proto.Message) (*mesh.Stream, error) {
	s, err := t.mesh.Open(ctx, host, method)
	if err != nil {
		return nil, err
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(peerCallTimeout)
	}
	err = errors.Join(s.SetDeadline(deadline), s.Send(msg), s.CloseSend())
	if err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}
