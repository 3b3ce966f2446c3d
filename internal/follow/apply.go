package follow

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/plantainrun/plantainrun/internal/catalog"
)

// apply merges a response into the current state. sentAt is the time since boot
// at which the request was sent. A complete response also removes every target
// that it does not list.
func (f *Follower) apply(resp Response, sentAt time.Duration, complete bool) {
	now := time.Now()
	f.mu.Lock()
	fromCopy := f.beginEra(&resp)
	catchingUp := f.disconnected || fromCopy
	changed := f.config == nil
	listed := make(map[string]struct{}, len(resp.Changes))
	evacuated := make(map[string]struct{})
	for _, c := range resp.Changes {
		listed[c.TargetID] = struct{}{}
		if c.Evacuation != nil {
			evacuated[c.Evacuation.Domain] = struct{}{}
		}
		changed = f.applyChange(c, catchingUp, now) || changed
	}
	if complete {
		changed = f.removeUnlisted(listed, catchingUp, now) || changed
		f.evacuations.doubtUnlisted(evacuated, now)
	}
	f.revision = max(f.revision, resp.Revision)
	if complete {
		f.revision = resp.Revision
	}
	f.disconnected = false
	f.history.record(resp, complete)
	f.publishLocked(changed)
	// Stored after the view, so that a caller that reads the age before the view
	// never takes an old view for a newer one.
	f.confirmedAt.Store(max(f.confirmedAt.Load(), int64(sentAt-resp.Age)))
	f.mu.Unlock()
	if catchingUp {
		f.log.Info("store regained", zap.Int64("revision", int64(resp.Revision)))
	}
}

// applyChange applies one change and reports whether the view changes with it.
func (f *Follower) applyChange(c Change, catchingUp bool, now time.Time) bool {
	switch {
	case c.Config != nil:
		return f.applyConfig(c.Config, "store")
	case c.Evacuation != nil:
		return f.applyEvacuation(*c.Evacuation, c.Revision)
	case c.TargetID == "":
		return false
	case c.Target == nil:
		return f.applyRemoval(c.TargetID, c.Revision, catchingUp, now)
	default:
		return f.applyRegistration(c, now)
	}
}

// applyConfig replaces the configuration if the new one has a higher version.
func (f *Follower) applyConfig(config *catalog.Config, origin string) bool {
	if f.config != nil && config.Version <= f.config.Version {
		return false
	}
	f.config = config
	f.log.Info("configuration in force", zap.Int64("version", config.Version), zap.Int("routes", config.Routes()), zap.String("from", origin))
	return true
}

// applyRegistration adds or updates a target and cancels its pending removal. It
// ignores a registration older than the one it has.
func (f *Follower) applyRegistration(c Change, now time.Time) bool {
	old, known := f.targets[c.TargetID]
	if known && c.Revision < old.revision {
		return false
	}
	target := *c.Target
	if target.ColdFor > 0 {
		target.ColdUntil = now.Add(target.ColdFor)
	}
	f.targets[c.TargetID] = &targetState{target: target, revision: c.Revision}
	if known && sameButCold(old.target, target) && old.removeAt.IsZero() {
		return old.target.ColdFor != target.ColdFor
	}
	fields := []zap.Field{
		zap.String("target", c.TargetID), zap.Int64("born", target.StartUnixMilli), zap.String("service", target.Service),
		zap.Bool("leaving", target.Leaving), zap.Int64("revision", int64(c.Revision)),
	}
	if target.ColdFor > 0 {
		fields = append(fields, zap.Duration("cold_for", target.ColdFor))
	}
	f.log.Info("target registered", fields...)
	return true
}

// sameButCold reports whether two registrations differ at most in how long the target is
// cold, which changes with each heartbeat.
func sameButCold(a, b catalog.Target) bool {
	a.ColdFor, a.ColdUntil = b.ColdFor, b.ColdUntil
	return a == b
}

// applyRemoval removes a target. One that was removed while the store was
// unreachable is kept for removalGracePeriod, unless it was leaving: its
// registration may only have expired because it could not be renewed.
func (f *Follower) applyRemoval(id string, revision Revision, catchingUp bool, now time.Time) bool {
	state, known := f.targets[id]
	if !known || revision < state.revision || !state.removeAt.IsZero() {
		return false
	}
	state.revision = revision
	mayHaveExpired := catchingUp && !state.target.Leaving
	f.log.Info("target no longer registered",
		zap.String("target", id), zap.Bool("doubted", mayHaveExpired), zap.Int64("revision", int64(revision)))
	if mayHaveExpired {
		state.removeAt = now.Add(removalGracePeriod)
		return false
	}
	f.remove(id, now)
	return true
}

// removeUnlisted removes the targets that a complete response does not list.
func (f *Follower) removeUnlisted(listed map[string]struct{}, catchingUp bool, now time.Time) bool {
	changed := false
	for id, state := range f.targets {
		if _, ok := listed[id]; !ok {
			changed = f.applyRemoval(id, state.revision, catchingUp, now) || changed
		}
	}
	return changed
}

// publishLocked replaces the published view with one of the current state and
// calls onChanged. The caller holds mu.
func (f *Follower) publishLocked(changed bool) {
	if !changed {
		return
	}
	view := newView(f.config, f.revision, f.targets, f.evacuations)
	f.view.Store(view)
	if f.onChanged != nil {
		f.onChanged(view)
	}
}

// runExpiry periodically removes the targets and evacuations whose grace period has ended.
func (f *Follower) runExpiry(ctx context.Context) {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			f.expire(now)
		}
	}
}

// expire removes the targets and evacuations whose grace period has ended. While the store
// is unreachable it removes nothing, since they can only come back through the store.
func (f *Follower) expire(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.disconnected {
		return
	}
	changed := f.expireEvacuations(now)
	for id, state := range f.targets {
		if state.removeAt.IsZero() || now.Before(state.removeAt) {
			continue
		}
		f.remove(id, now)
		changed = true
		f.log.Info("target removed after its grace period", zap.String("target", id))
	}
	f.publishLocked(changed)
}
