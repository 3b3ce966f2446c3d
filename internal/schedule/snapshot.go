package schedule

import (
	"slices"
	"strings"
	"time"

	"github.com/plantainrun/plantainrun/internal/apierror"
	"github.com/plantainrun/plantainrun/internal/cost"
	"github.com/plantainrun/plantainrun/internal/fairqueue"
	"github.com/plantainrun/plantainrun/internal/rules"
)

// Stats counts events since the start of the process.
type Stats struct {
	Offered   uint64                   `json:"offered"`
	Admitted  uint64                   `json:"admitted"`
	Granted   uint64                   `json:"granted"`
	Released  uint64                   `json:"released"`
	Cancelled uint64                   `json:"cancelled"`
	Claims    uint64                   `json:"claims"`
	Borrowed  uint64                   `json:"borrowed"`
	Refused   map[apierror.Kind]uint64 `json:"refused"`
}

// TargetSnapshot is a host's view of one target.
type TargetSnapshot struct {
	ID          string        `json:"id"`
	Model       string        `json:"model"`
	Incarnation string        `json:"incarnation"`
	Usable      bool          `json:"usable"`
	Down        bool          `json:"down"`
	Leaving     bool          `json:"leaving"`
	ReportAge   time.Duration `json:"report_age"` // zero without a report
	Backlog     float64       `json:"backlog"`    // predicted prefill tokens
	PrefillRate float64       `json:"prefill"`    // tokens per second
	Running     int           `json:"running"`    // this host's requests
	Sharers     int           `json:"sharers"`    // number of hosts that share its memory
	Memory      int           `json:"memory"`     // the engine's whole memory in tokens
	ShareTokens int           `json:"own"`        // this host's share in tokens
	Reserved    int           `json:"reserved"`   // tokens reserved by this host
}

// ModelSnapshot holds the queue depths and counters of one model.
type ModelSnapshot struct {
	Model  string            `json:"model"`
	Queued []fairqueue.Depth `json:"queued,omitempty"`
	Stats  Stats             `json:"stats"`
}

// Snapshot is a scheduler's state for status pages and metrics.
type Snapshot struct {
	Targets []TargetSnapshot `json:"targets"`
	Models  []ModelSnapshot  `json:"models"`
	Domains []DomainLoad     `json:"domains,omitempty"`
}

// Snapshot returns the current state. Its lists are sorted.
func (l *Local) Snapshot() Snapshot {
	now := l.cfg.Clock.Now()
	var s Snapshot
	l.mu.RLock()
	pools := make(map[string]*pool, len(l.pools))
	for model, p := range l.pools {
		pools[model] = p
	}
	for _, d := range l.domains {
		s.Domains = append(s.Domains, d)
	}
	l.mu.RUnlock()
	for model, p := range pools {
		targets, m := p.snapshot(now, model)
		s.Targets = append(s.Targets, targets...)
		s.Models = append(s.Models, m)
	}
	slices.SortFunc(s.Targets, func(a, b TargetSnapshot) int { return strings.Compare(a.ID, b.ID) })
	slices.SortFunc(s.Models, func(a, b ModelSnapshot) int { return strings.Compare(a.Model, b.Model) })
	slices.SortFunc(s.Domains, func(a, b DomainLoad) int { return strings.Compare(a.Domain+a.Model, b.Domain+b.Model) })
	return s
}

// Reserved returns the tokens of the target's memory that this host has reserved.
func (l *Local) Reserved(target string) int {
	p, ok := l.poolOf(target)
	if !ok {
		return 0
	}
	return p.ledger.Reserved(target)
}

func (p *pool) snapshot(now time.Time, model string) ([]TargetSnapshot, ModelSnapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	targets := make([]TargetSnapshot, 0, len(p.targets))
	for id, t := range p.targets {
		ts := TargetSnapshot{
			ID: id, Model: model, Incarnation: t.incarnation, Down: t.down, Leaving: t.leaving,
			Usable: t.usable(now, p.newestReport, p.cfg.MaxReportLag), PrefillRate: t.rates.Prefill, Running: t.running,
			Sharers: t.sharers, Memory: t.memory, ShareTokens: p.ledger.Share(now, id), Reserved: p.ledger.Reserved(id),
			Backlog: t.backlog.load(now, 0, rules.ClassLong).totalTokens,
		}
		if !t.receivedAt.IsZero() {
			ts.ReportAge = now.Sub(t.receivedAt)
		}
		targets = append(targets, ts)
	}
	stats := p.stats
	stats.Refused = make(map[apierror.Kind]uint64, len(p.stats.Refused))
	for kind, n := range p.stats.Refused {
		stats.Refused[kind] = n
	}
	return targets, ModelSnapshot{Model: model, Queued: p.queue.Depths(), Stats: stats}
}

// LearnDomainLoad records a hint about another failure domain unless a newer
// one is known.
func (l *Local) LearnDomainLoad(load DomainLoad) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := load.Domain + "/" + load.Model
	if known, ok := l.domains[key]; !ok || load.At.After(known.At) {
		l.domains[key] = load
	}
}

// DomainLoads returns the hints about other failure domains, for PickDomain.
func (l *Local) DomainLoads() []DomainLoad {
	l.mu.RLock()
	defer l.mu.RUnlock()
	loads := make([]DomainLoad, 0, len(l.domains))
	for _, d := range l.domains {
		loads = append(loads, d)
	}
	slices.SortFunc(loads, func(a, b DomainLoad) int { return strings.Compare(a.Domain, b.Domain) })
	return loads
}

// OwnLoads returns the hints that this host sends to other failure domains, one
// for each model.
func (l *Local) OwnLoads(now time.Time) []DomainLoad {
	l.mu.RLock()
	pools := make(map[string]*pool, len(l.pools))
	for model, p := range l.pools {
		pools[model] = p
	}
	l.mu.RUnlock()
	loads := make([]DomainLoad, 0, len(pools))
	for model, p := range pools {
		load := p.domainLoad(now)
		load.Domain, load.Model, load.At = l.cfg.Domain, model, now
		loads = append(loads, load)
	}
	slices.SortFunc(loads, func(a, b DomainLoad) int { return strings.Compare(a.Model, b.Model) })
	return loads
}

// domainLoad predicts the time to first token of a short prompt that arrives now.
func (p *pool) domainLoad(now time.Time) DomainLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best time.Duration
	usable, rate := 0, 0.
	for _, t := range p.targets {
		if !t.usable(now, p.newestReport, p.cfg.MaxReportLag) {
			continue
		}
		var c Candidate
		t.estimate(now, &c, 0, now.UnixMilli(), rules.ClassShort)
		if usable == 0 || c.PredictedTTFT < best {
			best = c.PredictedTTFT
		}
		usable++
		rate += t.rates.Prefill / float64(t.sharers)
	}
	if usable > 0 {
		best += cost.SecondsToDuration(p.queuedTokens[rules.ClassShort] / rate)
	}
	return DomainLoad{Wait: best, UsableTargets: usable}
}
