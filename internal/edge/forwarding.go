package edge

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/plantainrun/plantainrun/coord/identity"
	"github.com/plantainrun/plantainrun/internal/forward"
	"github.com/plantainrun/plantainrun/internal/membudget"
	"github.com/plantainrun/plantainrun/internal/mesh"
	"github.com/plantainrun/plantainrun/internal/peers"
	"github.com/plantainrun/plantainrun/internal/relay"
	"github.com/plantainrun/plantainrun/internal/topology"
)

const (
	// Timeouts of connections between hosts, which are opened when they are needed. A
	// request that waits for one must still be able to go to another host in time.
	forwardDialTimeout       = 500 * time.Millisecond
	forwardOpenTimeout       = 500 * time.Millisecond
	forwardHeartbeatInterval = time.Second
	forwardHeartbeatTimeout  = 1500 * time.Millisecond
	forwardIdleTimeout       = 15 * time.Second
	// maxForwardMessageBytes is above the size limit of any request with its headers.
	maxForwardMessageBytes = 20 << 20
	// maxForwardStreams is how many requests one host may pass on to this one at a time: twice
	// what is taken from all of them.
	maxForwardStreams = 128
)

// forwarding passes requests to other hosts and takes theirs. Without an address it does
// neither.
type forwarding struct {
	mesh      *mesh.Mesh // nil if disabled
	forwarder *forward.RequestForwarder
	hosts     atomic.Pointer[[]forward.HostInfo]
}

func newForwarding(s Settings, memory *membudget.Budget, log *zap.Logger) (*forwarding, error) {
	f := &forwarding{}
	f.hosts.Store(&[]forward.HostInfo{})
	if !s.ForwardAddr.IsValid() {
		return f, nil
	}
	var err error
	f.mesh, err = mesh.New(mesh.Config{
		Self: identity.Incarnation{Host: s.HostID, Start: uint64(time.Now().UnixNano())}, Domain: s.Domain, Listen: s.ForwardAddr, //nolint:gosec // after 1970
		PlainText: true, Logger: log, MaxMessageBytes: maxForwardMessageBytes, MaxStreamsPerPeer: maxForwardStreams, Memory: memory,
		HeartbeatInterval: forwardHeartbeatInterval, HeartbeatTimeout: forwardHeartbeatTimeout,
		DialTimeout: forwardDialTimeout, OpenTimeout: forwardOpenTimeout, IdleTimeout: forwardIdleTimeout,
	})
	if err != nil {
		return nil, eris.Wrap(err, "connections between hosts")
	}
	self := forward.HostInfo{ID: s.HostID, Domain: s.Domain}
	f.forwarder = forward.NewRequestForwarder(self, forward.MeshOpener(f.mesh), f.otherHosts, log)
	return f, nil
}

// relayForwarder returns the forwarder, or nil if disabled.
func (f *forwarding) relayForwarder() relay.Forwarder {
	if f.forwarder == nil {
		return nil
	}
	return f.forwarder
}

// start takes requests of other hosts until ctx ends.
func (f *forwarding) start(ctx context.Context, r *relay.Relay, draining func() bool) error {
	if f.mesh == nil {
		return nil
	}
	forward.NewRequestServer(r, draining).Register(f.mesh)
	return eris.Wrap(f.mesh.Start(ctx), "cannot listen for requests of other hosts, choose a free address")
}

func (f *forwarding) otherHosts() []forward.HostInfo { return *f.hosts.Load() }

// setHosts replaces the known hosts.
func (f *forwarding) setHosts(hosts []peers.ForwardHost) {
	if f.mesh == nil {
		return
	}
	infos := make([]forward.HostInfo, len(hosts))
	list := make([]topology.Host, len(hosts))
	for i, h := range hosts {
		infos[i] = forward.HostInfo{ID: h.ID, Domain: h.Domain}
		list[i] = topology.Host{ID: h.ID, Domain: h.Domain, State: topology.StateLive, PeerAddr: h.Addr}
	}
	f.mesh.SetHosts(list)
	f.hosts.Store(&infos)
}
