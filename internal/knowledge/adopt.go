package knowledge

import (
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/plantainrun/plantainrun/coord/dissemination"
	"github.com/plantainrun/plantainrun/internal/audit"
	"github.com/plantainrun/plantainrun/internal/confservice"
	"github.com/plantainrun/plantainrun/internal/rules"
	"github.com/plantainrun/plantainrun/internal/topology"
)

// sourcePlatform names the configuration service in the audit trail.
const sourcePlatform = "platform"

// maxAuditedLines bounds the number of changed rules lines in an audit entry.
const maxAuditedLines = 50

// decodedValues holds values in decoded form. A validator sets the candidate of its kind,
// and activate uses that candidate when the store adopts the value.
type decodedValues struct {
	rulesByPartner   map[string]*rules.Set // the current rules, by partner
	candidateRules   *rules.Set
	candidateHosts   topology.HostList
	candidateTargets topology.TargetList
	candidatePlan    topology.Plan
}

// invalidError holds the reasons why a value is refused.
type invalidError struct{ reasons []audit.Reason }

func (e *invalidError) Error() string {
	messages := make([]string, 0, len(e.reasons))
	for _, r := range e.reasons {
		messages = append(messages, rules.LineError{Line: r.Line, Message: r.Message, Remedy: r.Remedy}.Error())
	}
	return strings.Join(messages, "; ")
}

// validators returns the validation function of each key, which also decodes the value.
// The store calls it from offer, so r.mu is held.
func (r *Replica) validators() map[string]dissemination.Validator {
	v := map[string]dissemination.Validator{
		confservice.KeyHosts: func(v dissemination.Value) (err error) {
			r.decoded.candidateHosts, err = decodeHosts(v.Body)
			return err
		},
		confservice.KeyTargets: func(v dissemination.Value) (err error) {
			r.decoded.candidateTargets, err = decodeTargets(v.Body)
			return err
		},
		confservice.KeyPlan: func(v dissemination.Value) (err error) {
			r.decoded.candidatePlan, err = decodePlan(v.Body)
			return err
		},
	}
	for _, partner := range r.cfg.Partners {
		v[confservice.RulesKey(partner)] = func(v dissemination.Value) error {
			ruleSet, lineErrs := rules.Parse(partner, v.Body)
			if len(lineErrs) > 0 {
				return &invalidError{reasons: auditReasons(lineErrs)}
			}
			r.decoded.candidateRules = ruleSet
			return nil
		}
	}
	return v
}

func auditReasons(lineErrs []rules.LineError) []audit.Reason {
	reasons := make([]audit.Reason, 0, len(lineErrs))
	for _, lineErr := range lineErrs {
		reasons = append(reasons, audit.Reason{Line: lineErr.Line, Message: lineErr.Message, Remedy: lineErr.Remedy})
	}
	return reasons
}

// offer passes a value from source to the store, activates it if the store adopts it,
// and records a refusal if the value is invalid.
func (r *Replica) offer(v dissemination.Value, source string) dissemination.Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	previous, _ := r.store.Get(v.Key)
	result := r.store.Offer(v)
	if result.Conflict {
		r.cfg.Log.Warn("two different values have the same revision; publish the key again under a new revision",
			zap.String("key", v.Key), zap.Uint64("revision", v.Revision), zap.String("source", source))
	}
	switch result.Outcome {
	case dissemination.Adopted:
		r.activate(previous, v, source)
	case dissemination.Invalid:
		if !result.KnownInvalid {
			r.refuse(v, result, source)
		}
	}
	return result
}

// activate publishes a snapshot with v to the subscribers and records the change. The
// caller holds r.mu.
func (r *Replica) activate(previous, v dissemination.Value, source string) {
	next := r.Snapshot()
	partner, isRules := confservice.ParseRulesKey(v.Key)
	switch {
	case isRules:
		r.decoded.rulesByPartner[partner] = r.decoded.candidateRules
		r.updateRules(&next, partner, v.Revision)
	case v.Key == confservice.KeyHosts:
		next.Hosts, next.HostsRevision = r.decoded.candidateHosts, v.Revision
	case v.Key == confservice.KeyTargets:
		next.Targets, next.TargetsRevision = r.decoded.candidateTargets, v.Revision
	case v.Key == confservice.KeyPlan:
		next.Plan, next.PlanRevision = r.decoded.candidatePlan, v.Revision
	}
	r.snapshot.Store(&next)
	r.freshness[v.Key].adoptedAt = time.Now()
	for _, fn := range r.subscribers {
		fn(next)
	}
	r.cfg.Audit.Record(adoptionEntry(previous, v, partner, source))
	r.cfg.Log.Info("in force", zap.String("key", v.Key), zap.Uint64("revision", v.Revision), zap.String("source", source))
	signal(r.readersChanged)
	signal(r.pushPending)
}

func (r *Replica) updateRules(next *Snapshot, partner string, revision uint64) {
	sets := make([]*rules.Set, 0, len(r.decoded.rulesByPartner))
	for _, s := range r.decoded.rulesByPartner {
		sets = append(sets, s)
	}
	next.Rules = rules.NewIndex(sets...)
	next.RulesRevisions = slices.DeleteFunc(slices.Clone(next.RulesRevisions), func(rev RulesRevision) bool { return rev.Partner == partner })
	next.RulesRevisions = append(next.RulesRevisions, RulesRevision{Partner: partner, Revision: revision})
	slices.SortFunc(next.RulesRevisions, func(a, b RulesRevision) int { return strings.Compare(a.Partner, b.Partner) })
}

// signal wakes the goroutine that waits for ch. It never blocks: ch has a buffer of one, and
// one pending signal is enough.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// adoptionEntry returns the audit entry for the change from previous to v.
func adoptionEntry(previous, v dissemination.Value, partner, source string) audit.Entry {
	e := audit.Entry{
		Time: time.Now(), Subject: v.Key, Partner: partner, FromRevision: previous.Revision, ToRevision: v.Revision,
		Verdict: audit.VerdictInForce, Source: source, Summary: "the value changed",
	}
	if partner != "" {
		addRuleChanges(&e, rules.Diff(previous.Body, v.Body))
	}
	return e
}

func addRuleChanges(e *audit.Entry, changes []rules.LineChange) {
	added, removed := 0, 0
	for _, c := range changes {
		if c.Removed {
			removed++
		} else {
			added++
		}
		if c.RequestedBy != "" {
			e.RequestedBy = append(e.RequestedBy, c.RequestedBy)
		}
		if len(e.Changes) < maxAuditedLines {
			e.Changes = append(e.Changes, audit.Change{Line: c.Line, Removed: c.Removed, Rule: c.Rule, RequestedBy: c.RequestedBy, Rationale: c.Rationale})
		}
	}
	slices.Sort(e.RequestedBy)
	e.RequestedBy = slices.Compact(e.RequestedBy)
	e.Summary = ruleSummary(added, removed)
}
