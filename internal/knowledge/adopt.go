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

// maxAuditedLines bounds the changed lines that an audit entry names.
const maxAuditedLines = 50

// decoded holds the typed form of the values judged last. The candidates are
// set by the validators and taken over when the store adopts the value.
type decoded struct {
	sets    map[string]*rules.Set // in force, by partner
	set     *rules.Set            // candidate
	hosts   topology.HostList     // candidate
	targets topology.TargetList   // candidate
	plan    topology.Plan         // candidate
}

// invalidError is why a value is kept out.
type invalidError struct{ reasons []audit.Reason }

func (e *invalidError) Error() string {
	messages := make([]string, 0, len(e.reasons))
	for _, r := range e.reasons {
		messages = append(messages, rules.LineError{Line: r.Line, Message: r.Message, Remedy: r.Remedy}.Error())
	}
	return strings.Join(messages, "; ")
}

// validators decode each key. They run while k.mu is held.
func (k *Knowledge) validators() map[string]dissemination.Validate {
	v := map[string]dissemination.Validate{
		confservice.KeyHosts: func(v dissemination.Value) (err error) {
			k.decoded.hosts, err = decodeHosts(v.Body)
			return err
		},
		confservice.KeyTargets: func(v dissemination.Value) (err error) {
			k.decoded.targets, err = decodeTargets(v.Body)
			return err
		},
		confservice.KeyPlan: func(v dissemination.Value) (err error) {
			k.decoded.plan, err = decodePlan(v.Body)
			return err
		},
	}
	for _, partner := range k.cfg.Partners {
		v[confservice.RulesKey(partner)] = func(v dissemination.Value) error {
			set, faults := rules.Parse(partner, v.Body)
			if len(faults) > 0 {
				return &invalidError{reasons: reasonsOf(faults)}
			}
			k.decoded.set = set
			return nil
		}
	}
	return v
}

func reasonsOf(faults []rules.LineError) []audit.Reason {
	reasons := make([]audit.Reason, 0, len(faults))
	for _, f := range faults {
		reasons = append(reasons, audit.Reason{Line: f.Line, Message: f.Message, Remedy: f.Remedy})
	}
	return reasons
}

// offer hands a value from source to the store and puts it in force if the
// store adopts it.
func (k *Knowledge) offer(v dissemination.Value, source string) dissemination.Result {
	k.mu.Lock()
	defer k.mu.Unlock()
	before, _ := k.store.Get(v.Key)
	result := k.store.Offer(v)
	if result.Conflict {
		k.cfg.Log.Warn("two bodies have the same revision; publish the key again with a new one",
			zap.String("key", v.Key), zap.Uint64("revision", v.Revision), zap.String("source", source))
	}
	switch result.Outcome {
	case dissemination.Adopted:
		k.adopted(before, v, source)
	case dissemination.Invalid:
		if !result.Repeated {
			k.refused(v, result, source)
		}
	}
	return result
}

// adopted puts v in force; the caller holds k.mu.
func (k *Knowledge) adopted(before, v dissemination.Value, source string) {
	next := k.Snapshot()
	partner, isRules := confservice.ParseRulesKey(v.Key)
	switch {
	case isRules:
		k.decoded.sets[partner] = k.decoded.set
		k.putRules(&next, partner, v.Revision)
	case v.Key == confservice.KeyHosts:
		next.Hosts, next.HostsRevision = k.decoded.hosts, v.Revision
	case v.Key == confservice.KeyTargets:
		next.Targets, next.TargetsRevision = k.decoded.targets, v.Revision
	case v.Key == confservice.KeyPlan:
		next.Plan, next.PlanRevision = k.decoded.plan, v.Revision
	}
	k.snapshot.Store(&next)
	k.freshness[v.Key].adoptedAt = time.Now()
	for _, fn := range k.subscribers {
		fn(next)
	}
	k.cfg.Audit.Record(adoptionEntry(before, v, partner, source))
	k.cfg.Log.Info("in force", zap.String("key", v.Key), zap.Uint64("revision", v.Revision), zap.String("source", source))
	signal(k.nudge)
	signal(k.changed)
}

func (k *Knowledge) putRules(next *Snapshot, partner string, revision uint64) {
	sets := make([]*rules.Set, 0, len(k.decoded.sets))
	for _, s := range k.decoded.sets {
		sets = append(sets, s)
	}
	next.Rules = rules.NewIndex(sets...)
	next.RulesRevisions = slices.DeleteFunc(slices.Clone(next.RulesRevisions), func(r RulesRevision) bool { return r.Partner == partner })
	next.RulesRevisions = append(next.RulesRevisions, RulesRevision{Partner: partner, Revision: revision})
	slices.SortFunc(next.RulesRevisions, func(a, b RulesRevision) int { return strings.Compare(a.Partner, b.Partner) })
}

// signal wakes the loop that waits for ch, if it is not awake already.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// adoptionEntry describes the change from before to v.
func adoptionEntry(before, v dissemination.Value, partner, source string) audit.Entry {
	e := audit.Entry{
		Time: time.Now(), Subject: v.Key, Partner: partner, FromRevision: before.Revision, ToRevision: v.Revision,
		Verdict: audit.VerdictInForce, Source: source, Summary: "the value changed",
	}
	if partner != "" {
		describeRules(&e, rules.Diff(before.Body, v.Body))
	}
	return e
}

func describeRules(e *audit.Entry, changes []rules.LineChange) {
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
