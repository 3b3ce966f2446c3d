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
	// startPeers is how many peers a new host wants to hear from before it is ready.
	startPeers = 2
	// smallFleet is the number of other hosts up to which a new host asks them all.
	smallFleet = 32
	// startAskInterval is the time between two rounds of asking peers at the start.
	startAskInterval = 500 * time.Millisecond
	// startChecksPerSecond is the rate of the first checks of all hosts together
	// if all start at the same time.
	startChecksPerSecond = 700
)

// Readiness tells whether this host knows enough to serve.
type Readiness struct {
	Ready bool `json:"ready"`
	// Reason is why the host is not ready, or serves old knowledge; "" if all is well.
	Reason string `json:"reason,omitempty"`
	// Next is what the host does about it by itself.
	Next string `json:"next,omitempty"`
}

// startState is how far a new host has come; k.mu guards it.
type startState struct {
	begun    time.Time
	platform bool            // the configuration service answered
	peers    map[string]bool // that answered; true: informed
	over     bool            // enough were asked, or the wait is over
	expired  bool            // the wait was over first
}

// informed returns how many informed peers answered.
func (s *startState) informed() int {
	count := 0
	for _, informed := range s.peers {
		if informed {
			count++
		}
	}
	return count
}

func (k *Knowledge) beginStart() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.start = startState{begun: time.Now(), peers: make(map[string]bool)}
}

// answered notes an answer of the configuration service.
func (k *Knowledge) answered() {
	k.counters.platformAnswers.Add(1)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.start.platform = true
}

// runStart asks peers and the service until enough answered or the wait is
// over. It closes asked when it is known who the readers are, as far as possible.
func (k *Knowledge) runStart(ctx context.Context, asked chan<- struct{}) {
	waitCtx, cancel := context.WithTimeout(ctx, k.cfg.StartWait)
	defer cancel()
	k.learnHosts(waitCtx)
	close(asked)
	k.hearFromReaders(waitCtx)
	k.askUntilEnough(waitCtx)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.start.over = true
	k.start.expired = waitCtx.Err() != nil
}

// askUntilEnough asks the service until it answered, with backoff, and peers
// until enough of them did.
func (k *Knowledge) askUntilEnough(ctx context.Context) {
	backoff := confservice.Backoff{Initial: firstBackoff, Max: maxBackoff}
	checked, next := false, time.Now()
	for ctx.Err() == nil {
		if !checked && !time.Now().Before(next) {
			checked = k.check(ctx) == nil
			next = time.Now().Add(backoff.Next())
		}
		if k.enoughAnswered() {
			return
		}
		k.askPeers(ctx)
		if !k.enoughAnswered() {
			sleep(ctx, k.jittered(startAskInterval))
		}
	}
}

// learnHosts asks peers for the host list, and else the service after a random
// wait, for all hosts may be starting at the same time.
func (k *Knowledge) learnHosts(ctx context.Context) {
	if _, alone := k.cfg.Links.(noLinks); !alone {
		spread, cancel := context.WithTimeout(ctx, k.below(k.cfg.StartSpread))
		defer cancel()
		for k.Snapshot().HostsRevision == 0 && spread.Err() == nil {
			k.askPeers(spread) // links may still be coming up
			sleep(spread, k.jittered(startAskInterval/2))
		}
	}
	if k.Snapshot().HostsRevision == 0 {
		_ = k.read(ctx, confservice.KeyHosts) // read again by check or a watch
	}
}

// hearFromReaders gives the readers time to spread what they read, so that not
// every host reads it. After that comes a random wait, in proportion to the fleet.
func (k *Knowledge) hearFromReaders(ctx context.Context) {
	if k.isReader() {
		return
	}
	hearCtx, cancel := context.WithTimeout(ctx, k.cfg.StartWait/4)
	defer cancel()
	for len(k.lacking()) > 0 && hearCtx.Err() == nil {
		k.askPeers(hearCtx)
		sleep(hearCtx, startAskInterval)
	}
	hosts := len(k.Snapshot().Hosts.Hosts)
	sleep(ctx, k.below(time.Duration(hosts)*time.Second/startChecksPerSecond))
}

// askPeers exchanges digests with all links at the same time, and in a small
// fleet with all hosts, to find out whether any had started before.
func (k *Knowledge) askPeers(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	asked := k.cfg.Links.Peers()
	if others := k.otherHosts(); len(others) <= smallFleet {
		asked = append(asked, others...)
	}
	slices.Sort(asked)
	for _, host := range slices.Compact(asked) {
		wg.Go(func() { _ = k.exchange(ctx, host) }) // counted
	}
}

// heardAtStart notes that a peer answered while this host starts, or while it
// serves without having heard from enough.
func (k *Knowledge) heardAtStart(host string, informed bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.start.over || k.start.expired {
		k.start.peers[host] = k.start.peers[host] || informed
	}
}

// enoughAnswered tells whether the service answered, and enough peers that
// know what was in force before; or all hosts, if all are starting.
func (k *Knowledge) enoughAnswered() bool {
	others := len(k.cfg.Links.Peers())
	if _, alone := k.cfg.Links.(noLinks); !alone {
		others = max(others, len(k.otherHosts()))
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	enough := k.start.informed() >= min(startPeers, others) || len(k.start.peers) >= others
	return k.start.platform && enough
}

// otherHosts returns the live hosts of the list but this one.
func (k *Knowledge) otherHosts() []string {
	var others []string
	for _, h := range k.Snapshot().Hosts.Hosts {
		if h.ID != k.cfg.Host && h.State == topology.StateLive {
			others = append(others, h.ID)
		}
	}
	return others
}

// Ready tells whether this host knows enough to serve.
func (k *Knowledge) Ready() Readiness {
	k.mu.Lock()
	start := k.start
	k.mu.Unlock()
	lacking := k.lacking()
	wait := k.cfg.StartWait
	switch {
	case !start.over:
		return Readiness{
			Reason: "asking the configuration service and peers for the newest values",
			Next:   fmt.Sprintf("serves as soon as all answered, or after %s with what it has", wait),
		}
	case len(lacking) > 0:
		return Readiness{
			Reason: fmt.Sprintf("nobody gave a valid value of %s", strings.Join(lacking, ", ")),
			Next:   fmt.Sprintf("keeps asking the configuration service and peers, at least every %s, and serves once it has them", maxBackoff),
		}
	case start.expired && !k.enoughAnswered():
		return Readiness{
			Ready:  true,
			Reason: fmt.Sprintf("%s did not answer within %s; serves what it has", k.silent(start), wait),
			Next:   "keeps asking and adopts newer values",
		}
	}
	return Readiness{Ready: true}
}

// silent names who did not answer a new host.
func (k *Knowledge) silent(start startState) string {
	if !start.platform {
		return "the configuration service"
	}
	return "peers that were serving before"
}

// lacking names what a host must know before it can serve.
func (k *Knowledge) lacking() []string {
	s := k.Snapshot()
	var names []string
	if len(s.RulesRevisions) == 0 {
		names = append(names, "any partner's rules")
	}
	if s.TargetsRevision == 0 {
		names = append(names, confservice.KeyTargets)
	}
	return names
}
