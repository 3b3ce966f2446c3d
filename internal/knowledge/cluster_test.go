package knowledge_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/plantainrun/plantainrun/coord/rendezvous"
	"github.com/plantainrun/plantainrun/internal/confservice"
	"github.com/plantainrun/plantainrun/internal/knowledge"
	"github.com/plantainrun/plantainrun/internal/knowledge/knowledgepb"
	standin "github.com/plantainrun/plantainrun/internal/standin/platform"
	"github.com/plantainrun/plantainrun/internal/topology"
)

var errMessageLost = errors.New("lost")

// cluster simulates a fleet of hosts in one process and in virtual time, with faults of the
// network and of the configuration service.
type cluster struct {
	service *standin.Service
	rand    *rand.Rand
	hosts   []*host
	wg      sync.WaitGroup

	mu                 sync.Mutex
	lossPercent        int
	latePercent        int
	noServiceDomains   map[string]bool      // domains that cannot reach the configuration service
	partitionedDomains map[string]bool      // domains whose messages to and from other domains are lost
	neighbours         func(*host) []string // replaces the default topology of testTransport.Peers if set
	messages           uint64
	violation          string // the first invariant violation
}

// host is one host of a cluster. Its replica is nil while its process is down.
type host struct {
	c          *cluster
	id, domain string
	replica    *knowledge.Replica
	cancel     context.CancelFunc
	startedAt  time.Time
}

func newCluster(domains, hostsPerDomain int, seed uint64) *cluster {
	c := &cluster{
		service: standin.New(), rand: rand.New(rand.NewPCG(seed, 1)),
		noServiceDomains: make(map[string]bool), partitionedDomains: make(map[string]bool),
	}
	for d := range domains {
		for i := range hostsPerDomain {
			c.hosts = append(c.hosts, &host{c: c, id: fmt.Sprintf("host-%d-%d", d, i), domain: fmt.Sprintf("domain-%d", d)})
		}
	}
	return c
}

// hostList returns the encoded host list with all hosts of the cluster.
func (c *cluster) hostList() []byte {
	var list topology.HostList
	for i, h := range c.hosts {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, byte(i >> 8), byte(i)}), 80)
		list.Hosts = append(list.Hosts, topology.Host{ID: h.id, Partner: "kushiro", Domain: h.domain, State: topology.StateLive, PeerAddr: addr})
	}
	return marshal(list)
}

// update applies a change of the simulated faults under the lock, while hosts are running.
func (c *cluster) update(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
}

func (c *cluster) randIntN(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rand.IntN(n)
}

func (c *cluster) start(h *host, cfg knowledge.Config) {
	cfg.Host, cfg.Domain, cfg.Partners = h.id, h.domain, []string{"kushiro", "aarhus"}
	cfg.Source, cfg.Transport = testSource{h}, testTransport{h}
	cfg.Rand = rand.New(rand.NewPCG(uint64(c.randIntN(1<<30)), 2))
	replica, err := knowledge.New(cfg)
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.mu.Lock()
	h.replica, h.cancel, h.startedAt = replica, cancel, time.Now()
	c.mu.Unlock()
	highest := make(map[string]uint64)
	replica.Subscribe(func(s knowledge.Snapshot) { h.observe(s, highest) })
	c.wg.Go(func() { _ = replica.Run(ctx) })
}

// crash stops the process of a host, which loses its replica.
func (c *cluster) crash(h *host) {
	c.mu.Lock()
	cancel := h.cancel
	h.replica = nil
	c.mu.Unlock()
	cancel()
}

func (c *cluster) close() {
	for _, h := range c.hosts {
		if h.replica != nil {
			c.crash(h)
		}
	}
	c.wg.Wait()
}

// observe records a violation if a current revision is lower than the highest one that the
// process had for the same key.
func (h *host) observe(s knowledge.Snapshot, highest map[string]uint64) {
	h.c.mu.Lock()
	defer h.c.mu.Unlock()
	for key, revision := range revisionsOf(s) {
		if revision < highest[key] && h.c.violation == "" {
			h.c.violation = fmt.Sprintf("%s went back from revision %d to %d of %s", h.id, highest[key], revision, key)
		}
		highest[key] = revision
	}
}

func revisionsOf(s knowledge.Snapshot) map[string]uint64 {
	revisions := map[string]uint64{
		confservice.KeyHosts: s.HostsRevision, confservice.KeyTargets: s.TargetsRevision, confservice.KeyPlan: s.PlanRevision,
	}
	for _, r := range s.RulesRevisions {
		revisions[confservice.RulesKey(r.Partner)] = r.Revision
	}
	return revisions
}

// testSource connects a host to the simulated configuration service.
type testSource struct{ h *host }

func (s testSource) unreachable() bool {
	s.h.c.mu.Lock()
	defer s.h.c.mu.Unlock()
	return s.h.c.noServiceDomains[s.h.domain]
}

func (s testSource) waitAndFail(ctx context.Context) error {
	_ = sleep(ctx, confservice.DefaultTimeout)
	return &confservice.UnavailableError{Reason: errMessageLost.Error(), Cause: errMessageLost}
}

func (s testSource) Read(ctx context.Context, key string) (confservice.Value, error) {
	if s.unreachable() {
		return confservice.Value{}, s.waitAndFail(ctx)
	}
	return s.h.c.service.Read(ctx, key)
}

func (s testSource) Watch(ctx context.Context, q confservice.WatchRequest) ([]confservice.Change, error) {
	if s.unreachable() {
		return nil, s.waitAndFail(ctx)
	}
	changes, err := s.h.c.service.Watch(ctx, q)
	if s.unreachable() {
		return nil, s.waitAndFail(ctx)
	}
	return changes, err
}

// testTransport connects a host to its peers: its neighbours in two rings over the hosts of
// its domain, and one host of each other domain.
type testTransport struct{ h *host }

func (t testTransport) Peers() []string {
	c := t.h.c
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.neighbours != nil {
		return c.neighbours(t.h)
	}
	var domain []string
	others := make(map[string][]string)
	for _, h := range c.hosts {
		switch {
		case h.replica == nil:
		case h.domain == t.h.domain:
			domain = append(domain, h.id)
		default:
			others[h.domain] = append(others[h.domain], h.id)
		}
	}
	var peers []string
	for _, ring := range []string{"a", "b"} {
		order := rendezvous.Top(ring, domain, len(domain))
		at := slices.Index(order, t.h.id)
		if len(order) > 1 && at >= 0 {
			peers = append(peers, order[(at+1)%len(order)], order[(at+len(order)-1)%len(order)])
		}
	}
	for _, hosts := range others {
		peers = append(peers, rendezvous.Top(t.h.id, hosts, 1)...)
	}
	slices.Sort(peers)
	return slices.Compact(peers)
}

// deliver waits for the simulated network delay and returns the replica of the running peer,
// or an error if the message is lost.
func (t testTransport) deliver(ctx context.Context, id string) (*knowledge.Replica, error) {
	c := t.h.c
	delay := time.Duration(1+c.randIntN(20)) * time.Millisecond
	latePick, lateMs, lossPick := c.randIntN(100), c.randIntN(1500), c.randIntN(100)
	c.mu.Lock()
	if latePick < c.latePercent {
		delay += time.Duration(lateMs) * time.Millisecond
	}
	lost := lossPick < c.lossPercent
	c.mu.Unlock()
	if err := sleep(ctx, delay); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.messages++
	i := slices.IndexFunc(c.hosts, func(h *host) bool { return h.id == id })
	peer := c.hosts[i]
	partitioned := peer.domain != t.h.domain && (c.partitionedDomains[peer.domain] || c.partitionedDomains[t.h.domain])
	if lost || partitioned || peer.replica == nil || t.h.replica == nil {
		return nil, errMessageLost
	}
	return peer.replica, nil
}

func (t testTransport) Exchange(ctx context.Context, id string, digest *knowledgepb.Digest) (*knowledgepb.Values, error) {
	peer, err := t.deliver(ctx, id)
	if err != nil {
		_ = sleep(ctx, time.Hour) // a lost message is only detected by the timeout of the caller
		return nil, err
	}
	response, err := peer.HandleExchange(ctx, t.h.id, proto.CloneOf(digest))
	if err != nil {
		return nil, err
	}
	if _, err := t.deliver(ctx, id); err != nil {
		_ = sleep(ctx, time.Hour)
		return nil, err
	}
	return proto.CloneOf(response), nil
}

func (t testTransport) Push(ctx context.Context, id string, values *knowledgepb.Values) error {
	peer, err := t.deliver(ctx, id)
	if err != nil {
		return nil // a lost push is not detected
	}
	_ = peer.HandlePush(ctx, t.h.id, proto.CloneOf(values))
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

func (c *cluster) publish(t testing.TB, key string, body []byte) uint64 {
	revision, err := c.service.Publish(key, body)
	if err != nil {
		t.Fatal(err)
	}
	return revision
}
