package relay

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainrun/plantainrun/internal/catalog"
)

const (
	// targetsBeforeLimited is the number of targets that have to reject the requests of a caller,
	// while none serves them, before the caller counts as limited.
	targetsBeforeLimited = 2
	// rejectionTTL is how long rejections count after the latest one.
	rejectionTTL = 3 * time.Second
	// maxLimitedCallers is the number of callers from which expired ones are forgotten.
	maxLimitedCallers = 1024
)

// limitedCallers tells a caller whose requests all targets of a service limit from a target that
// fails. Both answer with the status of a refusal, maybe of a request that ran. A target that
// fails is avoided, and another one tried; neither helps a limited caller, and both cost others. It
// is safe for concurrent use.
type limitedCallers struct {
	size atomic.Int64 // number of callers, read without the lock

	mu      sync.Mutex
	callers map[callerKey]*rejections
}

// callerKey is an organisation that uses a service.
type callerKey struct{ service, organisation string }

// rejections are the targets that have rejected the requests of a caller since one served it.
type rejections struct {
	targets map[catalog.TargetKey]struct{}
	latest  time.Time
}

func newLimitedCallers() *limitedCallers {
	return &limitedCallers{callers: make(map[callerKey]*rejections)}
}

// reject records that a target rejected a request of a caller, and reports whether the caller
// counts as limited.
func (l *limitedCallers) reject(key callerKey, target catalog.TargetKey, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.callers[key]
	if r == nil || r.expired(now) {
		l.forgetExpired(now)
		r = &rejections{targets: make(map[catalog.TargetKey]struct{})}
		l.callers[key] = r
	}
	r.targets[target] = struct{}{}
	r.latest = now
	l.size.Store(int64(len(l.callers)))
	return len(r.targets) >= targetsBeforeLimited
}

// serve records that a target served a request of a caller.
func (l *limitedCallers) serve(key callerKey) {
	if l.size.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.callers, key)
	l.size.Store(int64(len(l.callers)))
}

// forgetExpired makes room for a caller. The caller holds mu.
func (l *limitedCallers) forgetExpired(now time.Time) {
	if len(l.callers) < maxLimitedCallers {
		return
	}
	for key, r := range l.callers {
		if r.expired(now) {
			delete(l.callers, key)
		}
	}
}

func (r *rejections) expired(now time.Time) bool { return now.Sub(r.latest) > rejectionTTL }

// limitedAt records that a target rejected this request, and reports whether targets limit its
// caller. The caller of a public route is not known.
func (j *job) limitedAt(dest destination) bool {
	target, known := dest.target()
	if !known || j.organisation == "" {
		return false
	}
	return j.relay.limited.reject(callerKey{j.serviceName, j.organisation}, target, time.Now())
}

// recordServed records that a target served this request.
func (j *job) recordServed() {
	j.relay.limited.serve(callerKey{j.serviceName, j.organisation})
}
