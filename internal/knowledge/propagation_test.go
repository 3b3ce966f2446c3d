package knowledge_test

import (
	"fmt"
	"iter"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/plantainrun/plantainrun/internal/confservice"
	"github.com/plantainrun/plantainrun/internal/knowledge"
	standin "github.com/plantainrun/plantainrun/internal/standin/platform"
)

// propagationDeadline is the time within which an accepted change has to be active on all
// connected hosts.
const propagationDeadline = 9 * time.Second

var testPartners = []string{"kushiro", "aarhus"}

// propagationModel is the test oracle: it tracks what was published and which revisions each
// host must have.
type propagationModel struct {
	*cluster
	t               *testing.T
	limitByRevision map[uint64]int    // time limit in seconds of each valid rules file
	published       map[string]uint64 // newest revision at the service, by key; zero if that file is invalid
	serviceFaulty   bool              // the service is down or responds as of an older revision
	minRevisions    []minRevision
	lastLimit       int
}

// minRevision holds the revisions that a restarted host must at least have when it
// reports ready: for each key, the lowest one of the ready hosts that it could reach when it
// started.
type minRevision struct {
	host      *host
	replica   *knowledge.Replica
	revisions map[string]uint64
}

// Under random faults of hosts, the network and the service: no host reverts to an older
// revision, and within propagationDeadline all connected hosts converge on the same revision. It
// is at least the newest one that any of them had, and that of the service if one reaches it.
func TestAcceptedRulesPropagateAndNeverRevert(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		domains := rapid.IntRange(1, 3).Draw(rt, "domains")
		perDomain := rapid.IntRange(1, 6).Draw(rt, "hosts per domain")
		steps := rapid.SliceOfN(rapid.Uint64(), 10, 30).Draw(rt, "steps")
		loss := rapid.SampledFrom([]int{0, 5, 10}).Draw(rt, "loss")
		late := rapid.SampledFrom([]int{0, 20}).Draw(rt, "late")
		var violation string
		synctest.Test(t, func(t *testing.T) {
			m := &propagationModel{
				cluster: newCluster(domains, perDomain, seed), t: t,
				limitByRevision: make(map[uint64]int), published: make(map[string]uint64),
			}
			m.lossPercent, m.latePercent = loss, late
			violation = m.run(steps)
		})
		if violation != "" {
			rt.Fatal(violation)
		}
	})
}

func (m *propagationModel) run(steps []uint64) string {
	m.publish(m.t, confservice.KeyHosts, m.hostList())
	m.publish(m.t, confservice.KeyTargets, sampleTargets)
	m.publishValid(0)
	m.publishValid(1)
	for _, h := range m.hosts {
		m.start(h, knowledge.Config{})
	}
	defer m.close()
	time.Sleep(2 * knowledge.DefaultStartupTimeout)
	var done []string
	for i, s := range steps {
		done = append(done, m.applyStep(s))
		if violation := m.checkInvariants(); violation != "" {
			return fmt.Sprintf("step %d: %s; steps %q; %s", i, violation, done, m.state())
		}
	}
	if violation := m.waitAndCheckConvergence(); violation != "" {
		return fmt.Sprintf("at the end: %s; steps %q; %s", violation, done, m.state())
	}
	return ""
}

// applyStep performs one action of an operator or one fault, selected by s, and returns its
// description.
func (m *propagationModel) applyStep(s uint64) string {
	a, b := int(s>>8%1024), int(s>>20%1024)
	domain := m.hosts[a%len(m.hosts)].domain
	switch s % 15 {
	case 0:
		m.publishValid(a)
		return "publish"
	case 1:
		m.publishValid(0)
		m.publishValid(1)
		return "both partners publish"
	case 2:
		key := confservice.RulesKey(testPartners[a%2])
		m.publish(m.t, key, []byte("partner "+testPartners[a%2]+"\nobjective slowdown\n"))
		m.published[key] = 0 // the service only holds the newest value
		return "publish a bad file"
	case 3:
		m.restart(m.hosts[a%len(m.hosts)])
		return "restart " + m.hosts[a%len(m.hosts)].id
	case 4:
		for i, h := range m.hosts {
			if i != a%len(m.hosts) {
				m.restart(h)
			}
		}
		return "restart all but " + m.hosts[a%len(m.hosts)].id
	case 5:
		m.setFaults(standin.Faults{Down: true})
		return "service down"
	case 6:
		m.setFaults(standin.Faults{MaxRevision: 1 + uint64(b)%m.service.Revision()})
		return "service stale"
	case 7:
		m.setFaults(standin.Faults{})
		return "service up"
	case 8:
		m.toggle(m.noServiceDomains, domain)
		return "domain to service: " + domain
	case 9:
		m.toggle(m.partitionedDomains, domain)
		return "domain to others: " + domain
	case 10:
		h := m.hosts[a%len(m.hosts)]
		if h.replica != nil && m.runningCount() > 1 {
			m.crash(h)
			m.relaxMinRevisions()
		}
		return "crash " + h.id
	case 11:
		for _, h := range m.hosts {
			if h.replica == nil {
				m.startTracked(h)
			}
		}
		return "start all that are down"
	case 12, 13:
		time.Sleep(time.Duration(b) * 3 * time.Millisecond)
		return "wait"
	default:
		if violation := m.waitAndCheckConvergence(); violation != "" {
			m.violation = violation
		}
		return "settle"
	}
}

func (m *propagationModel) publishValid(partner int) {
	m.lastLimit++
	key := confservice.RulesKey(testPartners[partner%2])
	revision := m.publish(m.t, key, rulesFile(testPartners[partner%2], m.lastLimit))
	m.limitByRevision[revision], m.published[key] = m.lastLimit, revision
}

func (m *propagationModel) setFaults(f standin.Faults) {
	m.serviceFaulty = f.Down || f.MaxRevision > 0
	m.service.SetFaults(f)
}

func (m *propagationModel) toggle(flags map[string]bool, domain string) {
	m.mu.Lock()
	flags[domain] = !flags[domain]
	m.mu.Unlock()
	m.relaxMinRevisions()
}

func (m *propagationModel) restart(h *host) {
	if h.replica == nil {
		return
	}
	m.crash(h)
	m.relaxMinRevisions()
	m.startTracked(h)
}

// startTracked starts a host and records the revisions that it must have when it is ready.
func (m *propagationModel) startTracked(h *host) {
	revisions := m.reachableMinRevisions(h)
	m.start(h, knowledge.Config{})
	m.minRevisions = append(m.minRevisions, minRevision{host: h, replica: h.replica, revisions: revisions})
}

// reachableMinRevisions returns, for each key, the lowest revision of the ready hosts that h
// can reach.
func (m *propagationModel) reachableMinRevisions(h *host) map[string]uint64 {
	revisions := make(map[string]uint64)
	for other := range m.running() {
		unreachable := other.domain != h.domain && (m.partitionedDomains[other.domain] || m.partitionedDomains[h.domain])
		if other == h || unreachable || !isReady(other.replica) {
			continue
		}
		for key, revision := range revisionsOf(other.replica.Snapshot()) {
			if had, ok := revisions[key]; !ok || revision < had {
				revisions[key] = revision
			}
		}
	}
	return revisions
}

// relaxMinRevisions computes the minimum again for hosts that are not ready, since a crash or
// partition may have removed the peers that had those revisions.
func (m *propagationModel) relaxMinRevisions() {
	for i, bound := range m.minRevisions {
		if !isReady(bound.replica) {
			m.minRevisions[i].revisions = m.reachableMinRevisions(bound.host)
		}
	}
}

func isReady(replica *knowledge.Replica) bool {
	return replica.Ready() == knowledge.Readiness{Ready: true}
}

func (m *propagationModel) runningCount() int { return len(slices.Collect(m.running())) }

// running yields the hosts whose process is running.
func (m *propagationModel) running() iter.Seq[*host] {
	return func(yield func(*host) bool) {
		for _, h := range m.hosts {
			if h.replica != nil && !yield(h) {
				return
			}
		}
	}
}

// checkInvariants returns a description of an invariant that does not hold now, or "".
func (m *propagationModel) checkInvariants() string {
	for h := range m.running() {
		s := h.replica.Snapshot()
		for _, r := range s.RulesRevisions {
			want := time.Duration(m.limitByRevision[r.Revision]) * time.Second
			if got := s.Rules.TimeLimitFor(r.Partner, "short"); got != want {
				return fmt.Sprintf("%s has revision %d of %s with limit %s instead of %s", h.id, r.Revision, r.Partner, got, want)
			}
		}
	}
	for _, bound := range m.minRevisions {
		for key, got := range revisionsOf(bound.replica.Snapshot()) {
			if isReady(bound.replica) && got < bound.revisions[key] {
				return fmt.Sprintf("%s is ready with revision %d of %s, its peers had %d when it started", bound.host.id, got, key, bound.revisions[key])
			}
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.violation
}

// waitAndCheckConvergence waits for propagationDeadline and checks that connected hosts have
// converged.
func (m *propagationModel) waitAndCheckConvergence() string {
	before := make(map[string]map[string]uint64)
	for h := range m.running() {
		before[h.id] = revisionsOf(h.replica.Snapshot())
	}
	time.Sleep(propagationDeadline)
	for _, partner := range testPartners {
		key := confservice.RulesKey(partner)
		for _, group := range m.connectedGroups() {
			want := m.expectedRevision(group, key, before)
			for _, h := range group {
				if got := revisionsOf(h.replica.Snapshot())[key]; got < want {
					return fmt.Sprintf("%s has revision %d of %s, not %d, after %s", h.id, got, key, want, propagationDeadline)
				}
			}
		}
	}
	return m.checkInvariants()
}

// expectedRevision returns the lowest revision that the hosts of a group may have.
func (m *propagationModel) expectedRevision(group []*host, key string, before map[string]map[string]uint64) uint64 {
	var want uint64
	for _, h := range group {
		want = max(want, before[h.id][key])
		if !m.serviceFaulty && !m.noServiceDomains[h.domain] {
			want = max(want, m.published[key])
		}
	}
	return want
}

// connectedGroups returns the groups of hosts that can reach each other.
func (m *propagationModel) connectedGroups() [][]*host {
	byName := make(map[string][]*host)
	for h := range m.running() {
		component := "connected"
		if m.partitionedDomains[h.domain] {
			component = h.domain
		}
		byName[component] = append(byName[component], h)
	}
	var groups [][]*host
	for _, group := range byName {
		groups = append(groups, group)
	}
	return groups
}

func (m *propagationModel) state() string {
	return fmt.Sprintf("published %v, service at fault: %t, domains without service %v, partitioned domains %v", m.published, m.serviceFaulty, m.noServiceDomains, m.partitionedDomains)
}
