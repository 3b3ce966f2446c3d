package knowledge_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/coord/identity"
	"github.com/plantainrun/plantainrun/internal/confservice"
	"github.com/plantainrun/plantainrun/internal/knowledge"
	"github.com/plantainrun/plantainrun/internal/mesh"
	standin "github.com/plantainrun/plantainrun/internal/standin/platform"
	"github.com/plantainrun/plantainrun/internal/topology"
)

// Over a real mesh, a host whose configuration service is down gets all values, and a later
// change, from its peer.
func TestReplicaSyncsOverMesh(t *testing.T) {
	g := gomega.NewWithT(t)
	healthy, down := standin.New(), standin.New()
	down.SetFaults(standin.Faults{Down: true})
	hosts := make([]topology.Host, 0, 2)
	meshes := make([]*mesh.Mesh, 0, 2)
	for _, id := range []string{"a", "b"} {
		m, err := mesh.New(mesh.Config{
			Self: identity.Incarnation{Host: id, Start: 1}, Domain: "sapporo", Partner: "kushiro",
			Listen: netip.MustParseAddrPort("127.0.0.1:0"),
		})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(m.Start(t.Context())).To(gomega.Succeed())
		t.Cleanup(m.Close)
		meshes = append(meshes, m)
		hosts = append(hosts, topology.Host{ID: id, Partner: "kushiro", Domain: "sapporo", State: topology.StateLive, PeerAddr: m.Addr()})
	}
	publish := func(key string, body []byte) {
		_, err := healthy.Publish(key, body)
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	publish(confservice.KeyHosts, marshal(topology.HostList{Hosts: hosts}))
	publish(confservice.KeyTargets, sampleTargets)
	publish(confservice.RulesKey("kushiro"), rulesFile("kushiro", 1))

	replicas := make([]*knowledge.Replica, 0, 2)
	for i, source := range []knowledge.Source{healthy, down} {
		transport := knowledge.NewMeshTransport(meshes[i], hosts) // seeds
		replica, err := knowledge.New(knowledge.Config{
			Host: hosts[i].ID, Domain: "sapporo", Partners: []string{"kushiro", "aarhus"},
			Source: source, Transport: transport, StartupJitter: time.Millisecond, StartupTimeout: 3 * time.Second,
		})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		transport.Serve(replica)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = replica.Run(ctx)
		}()
		t.Cleanup(func() { cancel(); <-done })
		replicas = append(replicas, replica)
	}
	limit := func(i int) func() time.Duration {
		return func() time.Duration { return replicas[i].Snapshot().Rules.TimeLimitFor("kushiro", "short") }
	}
	g.Eventually(limit(1), time.Minute, 10*time.Millisecond).Should(gomega.Equal(time.Second))
	publish(confservice.RulesKey("kushiro"), rulesFile("kushiro", 2))
	g.Eventually(limit(1), time.Minute, 10*time.Millisecond).Should(gomega.Equal(2 * time.Second))
	g.Eventually(func() bool { return replicas[0].Ready().Ready && replicas[1].Ready().Ready }, time.Minute, 10*time.Millisecond).Should(gomega.BeTrue())
	g.Expect(replicas[1].Ready().Reason).To(gomega.ContainSubstring("configuration service did not answer"))
}
