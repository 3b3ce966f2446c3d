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

// Hosts propagate their refusals of invalid values, so that the audit trail of every host
// has them. A refusal from a peer never affects which revision is current on this host.

func refusalVersion(refusal *knowledgepb.Refusal) dissemination.Version {
	return dissemination.Version{Revision: refusal.GetRevision(), Checksum: refusal.GetChecksum()}
}

// refuse records that this host found v invalid. The caller holds r.mu.
func (r *Replica) refuse(v dissemination.Value, result dissemination.Result, source string) {
	refusal := &knowledgepb.Refusal{Key: v.Key, Revision: v.Revision, Checksum: v.Checksum, Host: source}
	if source == sourcePlatform {
		refusal.Host = r.cfg.Host
	}
	for _, reason := range reasonsFromError(result.Err) {
		if len(refusal.Reasons) < maxReasons {
			refusal.Reasons = append(refusal.Reasons, &knowledgepb.Reason{Line: int32(reason.Line), Message: reason.Message, Remedy: reason.Remedy})
		}
	}
	r.recordRefusal(refusal)
}

func reasonsFromError(err error) []audit.Reason {
	var invalid *invalidError
	if errors.As(err, &invalid) {
		return invalid.reasons
	}
	return []audit.Reason{{Message: err.Error(), Remedy: "publish a valid value"}}
}

// handlePeerRefusal records a refusal received from a peer. It ignores unknown keys and
// refusals with too many reasons.
func (r *Replica) handlePeerRefusal(refusal *knowledgepb.Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.freshness[refusal.GetKey()]; known && len(refusal.GetReasons()) <= maxReasons {
		r.recordRefusal(refusal)
	}
}

// recordRefusal records a refusal in the audit trail and queues it for the peers, unless
// that version or a later one of the key was recorded before. The caller holds r.mu.
func (r *Replica) recordRefusal(refusal *knowledgepb.Refusal) {
	if previous := r.refusals[refusal.GetKey()]; previous != nil && !refusalVersion(refusal).After(refusalVersion(previous)) {
		return
	}
	r.refusals[refusal.GetKey()] = refusal
	r.unsentRefusals = append(r.unsentRefusals, refusal)
	partner, _ := confservice.ParseRulesKey(refusal.GetKey())
	current, _ := r.store.Get(refusal.GetKey())
	entry := audit.Entry{
		Time: time.Now(), Subject: refusal.GetKey(), Partner: partner, FromRevision: current.Revision, ToRevision: refusal.GetRevision(),
		Verdict: audit.VerdictRefused, Source: refusal.GetHost(), Summary: "kept out; the last good value stays in force",
	}
	for _, reason := range refusal.GetReasons() {
		entry.Reasons = append(entry.Reasons, audit.Reason{Line: int(reason.GetLine()), Message: reason.GetMessage(), Remedy: reason.GetRemedy()})
	}
	r.cfg.Audit.Record(entry)
	r.cfg.Log.Warn("value refused as invalid", zap.String("key", refusal.GetKey()), zap.Uint64("revision", refusal.GetRevision()),
		zap.String("source", refusal.GetHost()), zap.Int("reasons", len(refusal.GetReasons())))
	signal(r.pushPending)
}

// drainUnsentRefusals returns the refusals that are queued for the peers, and empties the queue.
func (r *Replica) drainUnsentRefusals() []*knowledgepb.Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	refusals := r.unsentRefusals
	r.unsentRefusals = nil
	return refusals
}

// refusalsMissingAt returns the refusals that the sender of digest does not have, without
// those that a current value has superseded.
func (r *Replica) refusalsMissingAt(digest *knowledgepb.Digest) []*knowledgepb.Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	var refusals []*knowledgepb.Refusal
	for _, e := range digest.GetEntries() {
		refusal := r.refusals[e.GetKey()]
		if refusal == nil {
			continue
		}
		current, _ := r.store.Get(e.GetKey())
		peerVersion := dissemination.Version{Revision: e.GetRefusedRevision(), Checksum: e.GetRefusedChecksum()}
		if refusalVersion(refusal).After(peerVersion) && refusalVersion(refusal).After(current.Version()) {
			refusals = append(refusals, refusal)
		}
	}
	return refusals
}
