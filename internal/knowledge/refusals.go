package knowledge

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/plantainrun/plantainrun/coord/dissemination"
	"github.com/plantainrun/plantainrun/internal/audit"
	"github.com/plantainrun/plantainrun/internal/confservice"
	"github.com/plantainrun/plantainrun/internal/knowledge/knowledgepb"
)

// Hosts pass on what they refused, so that every host's audit trail has it.
// A refusal from a peer never decides what is in force here.

func versionOf(r *knowledgepb.Refusal) dissemination.Version {
	return dissemination.Version{Revision: r.GetRevision(), Checksum: r.GetChecksum()}
}

// refused records a value that this host keeps out; the caller holds k.mu.
func (k *Knowledge) refused(v dissemination.Value, result dissemination.Result, source string) {
	r := &knowledgepb.Refusal{Key: v.Key, Revision: v.Revision, Checksum: v.Checksum, Host: source}
	if source == sourcePlatform {
		r.Host = k.cfg.Host
	}
	for _, reason := range reasonsFor(result.Err) {
		if len(r.Reasons) < maxReasons {
			r.Reasons = append(r.Reasons, &knowledgepb.Reason{Line: int32(reason.Line), Message: reason.Message, Remedy: reason.Remedy})
		}
	}
	k.recordRefusal(r)
}

func reasonsFor(err error) []audit.Reason {
	var invalid *invalidError
	if errors.As(err, &invalid) {
		return invalid.reasons
	}
	return []audit.Reason{{Message: err.Error(), Remedy: "publish a valid value"}}
}

// heardRefusal records what a peer keeps out.
func (k *Knowledge) heardRefusal(r *knowledgepb.Refusal) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, known := k.freshness[r.GetKey()]; known && len(r.GetReasons()) <= maxReasons {
		k.recordRefusal(r)
	}
}

// recordRefusal records each refused version once and passes it on; the
// caller holds k.mu.
func (k *Knowledge) recordRefusal(r *knowledgepb.Refusal) {
	if last := k.refusals[r.GetKey()]; last != nil && !versionOf(r).After(versionOf(last)) {
		return
	}
	k.refusals[r.GetKey()] = r
	k.unsent = append(k.unsent, r)
	partner, _ := confservice.ParseRulesKey(r.GetKey())
	inForce, _ := k.store.Get(r.GetKey())
	entry := audit.Entry{
		Time: time.Now(), Subject: r.GetKey(), Partner: partner, FromRevision: inForce.Revision, ToRevision: r.GetRevision(),
		Verdict: audit.VerdictRefused, Source: r.GetHost(), Summary: "kept out; the last good value stays in force",
	}
	for _, reason := range r.GetReasons() {
		entry.Reasons = append(entry.Reasons, audit.Reason{Line: int(reason.GetLine()), Message: reason.GetMessage(), Remedy: reason.GetRemedy()})
	}
	k.cfg.Audit.Record(entry)
	k.cfg.Log.Warn("kept out", zap.String("key", r.GetKey()), zap.Uint64("revision", r.GetRevision()),
		zap.String("source", r.GetHost()), zap.Int("reasons", len(r.GetReasons())))
	signal(k.changed)
}

// takeRefusals returns the refusals that were not passed on yet.
func (k *Knowledge) takeRefusals() []*knowledgepb.Refusal {
	k.mu.Lock()
	defer k.mu.Unlock()
	refusals := k.unsent
	k.unsent = nil
	return refusals
}

// refusalsFor returns the refusals that a peer has not heard of.
func (k *Knowledge) refusalsFor(digest *knowledgepb.Digest) []*knowledgepb.Refusal {
	k.mu.Lock()
	defer k.mu.Unlock()
	var refusals []*knowledgepb.Refusal
	for _, e := range digest.GetEntries() {
		r := k.refusals[e.GetKey()]
		if r == nil {
			continue
		}
		inForce, _ := k.store.Get(e.GetKey())
		theirs := dissemination.Version{Revision: e.GetRefusedRevision(), Checksum: e.GetRefusedChecksum()}
		if versionOf(r).After(theirs) && versionOf(r).After(inForce.Version()) {
			refusals = append(refusals, r)
		}
	}
	return refusals
}
