package knowledge

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/plantainrun/plantainrun/internal/confservice"
	"github.com/plantainrun/plantainrun/internal/topology"
)

const (
	// minStartupPeers is how many informed peers must respond before a new host is ready.
	minStartupPeers = 2
	// smallFleetHosts is the number of other live hosts up to which a new host queries all of them.
	smallFleetHosts = 32
	// startupExchangeInterval is the mean time between two rounds of exchanges with peers during startup.
	startupExchangeInterval = 500 * time.Millisecond
	// startupPollsPerSecond is the total rate of the hosts' first polls of the configuration
	// service if the whole fleet starts at the same time.
	startupPollsPerSecond = 700
)

// Readiness says whether this host has the values that it needs to serve.
type Readiness struct {
	Ready bool `json:"ready"`
	// Reason is why the host is not ready, or may serve with outdated values; otherwise "".
	Reason string `json:"reason,omitempty"`
	// NextAction is how the host proceeds without intervention.
	NextAction string `json:"next,omitempty"`
}

// startupState is the progress of startup. It is guarded by Replica.mu.
type startupState struct {
	startedAt        time.Time
	serviceResponded bool            // the configuration service has responded
	informedByPeer   map[string]bool // peers that responded; true if the peer was informed, as in Digest.informed
	done             bool            // enough peers and the service responded, or startup timed out
	timedOut         bool            // startup ended by Config.StartupTimeout
}

// informedPeers returns the number of informed peers that have responded.
func (s *startupState) informedPeers() int {
	n := 0
	for _, informed := range s.informedByPeer {
		if informed {
			n++
		}
	}
	return n
}

func (r *Replica) resetStartup() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.startup = startupState{startedAt: time.Now(), informedByPeer: make(map[string]bool)}
}

// markServiceResponded records a response of the configuration service.
func (r *Replica) markServiceResponded() {
	r.counters.serviceResponses.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.startup.serviceResponded = true
}

// runStartup queries peers and the service until enough have responded or startup times
// out. It closes hostListFetched after the attempt to fetch the host list, which determines
// the readers, whether or not it succeeded.
func (r *Replica) runStartup(ctx context.Context, hostListFetched chan<- struct{}) {
	startupCtx, cancel := context.WithTimeout(ctx, r.cfg.StartupTimeout)
	defer cancel()
	r.fetchHostList(startupCtx)
	close(hostListFetched)
	r.awaitReaders(startupCtx)
	r.queryUntilEnoughResponses(startupCtx)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.startup.done = true
	r.startup.timedOut = startupCtx.Err() != nil
}

// queryUntilEnoughResponses polls the service with backoff until a poll succeeds, and
// exchanges digests with peers until enough of them have responded.
func (r *Replica) queryUntilEnoughResponses(ctx context.Context) {
	backoff := confservice.Backoff{Initial: firstBackoff, Max: maxBackoff}
	polled, nextPoll := false, time.Now()
	for ctx.Err() == nil {
		if !polled && !time.Now().Before(nextPoll) {
			polled = r.poll(ctx) == nil
			nextPoll = time.Now().Add(backoff.Next())
		}
		if r.haveEnoughResponses() {
			return
		}
		r.exchangeWithPeers(ctx)
		if !r.haveEnoughResponses() {
			sleep(ctx, r.jitter(startupExchangeInterval))
		}
	}
}

// fetchHostList gets the host list from peers. If they have none, it reads it from the
// service after a random delay, since all hosts may be starting at the same time.
func (r *Replica) fetchHostList(ctx context.Context) {
	if _, noPeers := r.cfg.Transport.(noTransport); !noPeers {
		jitterCtx, cancel := context.WithTimeout(ctx, r.randomDuration(r.cfg.StartupJitter))
		defer cancel()
		for r.Snapshot().HostsRevision == 0 && jitterCtx.Err() == nil {
			r.exchangeWithPeers(jitterCtx) // connections may still be in setup
			sleep(jitterCtx, r.jitter(startupExchangeInterval/2))
		}
	}
	if r.Snapshot().HostsRevision == 0 {
		_ = r.read(ctx, confservice.KeyHosts) // retried by poll or a watch
	}
}

// awaitReaders gives the readers time to propagate what they read, so that not every host
// reads it from the service. It then adds a random delay in proportion to the fleet size.
func (r *Replica) awaitReaders(ctx context.Context) {
	if r.isReader() {
		return
	}
	readersCtx, cancel := context.WithTimeout(ctx, r.cfg.StartupTimeout/4)
	defer cancel()
	for len(r.missingValues()) > 0 && readersCtx.Err() == nil {
		r.exchangeWithPeers(readersCtx)
		sleep(readersCtx, startupExchangeInterval)
	}
	fleetSize := len(r.Snapshot().Hosts.Hosts)
	sleep(ctx, r.randomDuration(time.Duration(fleetSize)*time.Second/startupPollsPerSecond))
}

// exchangeWithPeers exchanges digests with all connected peers concurrently, and in a small
// fleet with all live hosts, to find out whether any of them has completed startup.
func (r *Replica) exchangeWithPeers(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	peers := r.cfg.Transport.Peers()
	if others := r.otherLiveHosts(); len(others) <= smallFleetHosts {
		peers = append(peers, others...)
	}
	slices.Sort(peers)
	for _, host := range slices.Compact(peers) {
		wg.Go(func() { _ = r.exchange(ctx, host) }) // failures are counted
	}
}

// recordStartupResponse records the response of a peer during startup, and after a startup
// that timed out.
func (r *Replica) recordStartupResponse(host string, informed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.startup.done || r.startup.timedOut {
		r.startup.informedByPeer[host] = r.startup.informedByPeer[host] || informed
	}
}

// haveEnoughResponses reports whether the service has responded, and enough informed peers,
// which have the revisions that were current before this host started. If all hosts are
// starting, it takes a response of every peer instead.
func (r *Replica) haveEnoughResponses() bool {
	others := len(r.cfg.Transport.Peers())
	if _, noPeers := r.cfg.Transport.(noTransport); !noPeers {
		others = max(others, len(r.otherLiveHosts()))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	enoughPeers := r.startup.informedPeers() >= min(minStartupPeers, others) || len(r.startup.informedByPeer) >= others
	return r.startup.serviceResponded && enoughPeers
}

// otherLiveHosts returns the live hosts of the host list without this one.
func (r *Replica) otherLiveHosts() []string {
	var others []string
	for _, h := range r.Snapshot().Hosts.Hosts {
		if h.ID != r.cfg.Host && h.State == topology.StateLive {
			others = append(others, h.ID)
		}
	}
	return others
}

// Ready reports whether this host has the values that it needs to serve, and if not, why.
func (r *Replica) Ready() Readiness {
	r.mu.Lock()
	startup := r.startup
	r.mu.Unlock()
	missing := r.missingValues()
	timeout := r.cfg.StartupTimeout
	switch {
	case !startup.done:
		return Readiness{
			Reason:     "asking the configuration service and peers for the newest values",
			NextAction: fmt.Sprintf("serves as soon as all answered, or after %s with what it has", timeout),
		}
	case len(missing) > 0:
		return Readiness{
			Reason:     fmt.Sprintf("nobody gave a valid value of %s", strings.Join(missing, ", ")),
			NextAction: fmt.Sprintf("keeps asking the configuration service and peers, at least every %s, and serves once it has them", maxBackoff),
		}
	case startup.timedOut && !r.haveEnoughResponses():
		return Readiness{
			Ready:      true,
			Reason:     fmt.Sprintf("%s did not answer within %s; serves what it has", r.unresponsive(startup), timeout),
			NextAction: "keeps asking and adopts newer values",
		}
	}
	return Readiness{Ready: true}
}

// unresponsive names the party that did not respond before startup timed out.
func (r *Replica) unresponsive(startup startupState) string {
	if !startup.serviceResponded {
		return "the configuration service"
	}
	return "peers that were serving before"
}

// missingValues returns the names of the values without which a host cannot serve.
func (r *Replica) missingValues() []string {
	s := r.Snapshot()
	var names []string
	if len(s.RulesRevisions) == 0 {
		names = append(names, "any partner's rules")
	}
	if s.TargetsRevision == 0 {
		names = append(names, confservice.KeyTargets)
	}
	return names
}
