// Package platform is a small stand-in for the platform's configuration service
// and host list. Hosts can only read and watch; tests publish values and inject
// faults through methods or a control endpoint.
package platform

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/plantainrun/plantainrun/internal/confservice"
)

// maxRevisionsPerKey is the number of revisions of a key that are retained for
// stale reads.
const maxRevisionsPerKey = 256

// Faults selects the faults to inject.
type Faults struct {
	// Down makes every call fail.
	Down bool `json:"down"`
	// MaxRevision makes calls return values as of this revision; zero: the newest.
	MaxRevision uint64 `json:"stale_at"`
	// Delay is added before every response.
	Delay time.Duration `json:"delay"`
	// ListLag is the delay after which a published host list or target list
	// becomes visible.
	ListLag time.Duration `json:"list_lag"`
	// NoSizeLimit accepts bodies above confservice.MaxValueBytes.
	NoSizeLimit bool `json:"no_limit"`
}

// Stats holds call counters.
type Stats struct {
	Reads   uint64 `json:"reads"`
	Watches uint64 `json:"watches"`
	Refused uint64 `json:"refused"`
	// PeakCallsPerSecond is the largest number of calls within one second of wall
	// clock time.
	PeakCallsPerSecond uint64 `json:"busiest_second"`
}

// Calls returns the total number of calls. A watch counts once, however long it
// waits.
func (s Stats) Calls() uint64 { return s.Reads + s.Watches }

// ErrDown is the cause of the errors that calls return under Faults.Down.
var ErrDown = errors.New("the configuration service is down")

// version is one published revision of a key with its time of publication.
type version struct {
	value       confservice.Value
	publishedAt time.Time
}

// Service is the stand-in. It is safe for concurrent use.
type Service struct {
	mu            sync.Mutex
	revision      uint64
	history       map[string][]version
	faults        Faults
	stats         Stats
	currentSecond int64         // Unix time of the last call, in seconds
	callsInSecond uint64        // calls in currentSecond
	changed       chan struct{} // closed and replaced when values, their visibility or faults change
}

// New returns a service without values or faults.
func New() *Service {
	return &Service{history: make(map[string][]version), changed: make(chan struct{})}
}

// Publish stores body under key and returns its revision. It returns an error for
// bodies above confservice.MaxValueBytes, unless Faults.NoSizeLimit is set.
func (s *Service) Publish(key string, body []byte) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(body) > confservice.MaxValueBytes && !s.faults.NoSizeLimit {
		return 0, fmt.Errorf("value of %q is %d bytes; the limit is %d bytes", key, len(body), confservice.MaxValueBytes)
	}
	s.revision++
	value := confservice.Value{Key: key, Revision: s.revision, Body: slices.Clone(body)}
	s.history[key] = append(s.history[key], version{value: value, publishedAt: time.Now()})
	if len(s.history[key]) > maxRevisionsPerKey {
		s.history[key] = s.history[key][1:]
	}
	s.notifyWatchers()
	if s.faults.ListLag > 0 {
		time.AfterFunc(s.faults.ListLag, s.notifyWatchersLate)
	}
	return s.revision, nil
}

// notifyWatchersLate wakes all watches when a lagging value becomes visible.
func (s *Service) notifyWatchersLate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notifyWatchers()
}

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyWatchers()
}

// Revision returns the newest revision over all keys.
func (s *Service) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Stats returns a copy of the call counters.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// ResetStats resets the call counters to zero.
func (s *Service) ResetStats() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats, s.callsInSecond = Stats{}, 0
}

// Read returns the visible value of key.
func (s *Service) Read(ctx context.Context, key string) (confservice.Value, error) {
	s.mu.Lock()
	s.countCall(&s.stats.Reads)
	faults := s.faults
	v, ok := s.visibleValue(key)
	s.mu.Unlock()
	if err := sleep(ctx, faults.Delay); err != nil {
		return confservice.Value{}, err
	}
	switch {
	case faults.Down:
		return confservice.Value{}, &confservice.UnavailableError{Reason: ErrDown.Error(), Cause: ErrDown}
	case !ok:
		return confservice.Value{}, &confservice.NotFoundError{Key: key}
	}
	return v, nil
}

// Watch waits for changes of the given keys after a revision. It returns none if
// the wait ends first.
func (s *Service) Watch(ctx context.Context, q confservice.WatchRequest) ([]confservice.Change, error) {
	s.mu.Lock()
	s.countCall(&s.stats.Watches)
	delay := s.faults.Delay
	s.mu.Unlock()
	if err := sleep(ctx, delay); err != nil {
		return nil, err
	}
	timeout := time.NewTimer(q.Wait)
	defer timeout.Stop()
	for {
		changes, changed, err := s.changes(q)
		if err != nil || len(changes) > 0 || q.Wait <= 0 {
			return changes, err
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-timeout.C:
			return nil, nil
		case <-changed:
		}
	}
}

func (s *Service) changes(q confservice.WatchRequest) ([]confservice.Change, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return nil, nil, &confservice.UnavailableError{Reason: ErrDown.Error(), Cause: ErrDown}
	}
	var changes []confservice.Change
	for _, key := range q.Keys {
		if v, ok := s.visibleValue(key); ok && v.Revision > q.After {
			changes = append(changes, confservice.Change{Key: key, Revision: v.Revision})
		}
	}
	return changes, s.changed, nil
}

// visibleValue returns the newest value of key that the faults let calls see. The
// caller holds mu.
func (s *Service) visibleValue(key string) (confservice.Value, bool) {
	visibleBy := time.Now()
	if key == confservice.KeyHosts || key == confservice.KeyTargets {
		visibleBy = visibleBy.Add(-s.faults.ListLag)
	}
	versions := s.history[key]
	for i := len(versions) - 1; i >= 0; i-- {
		v := versions[i]
		stale := s.faults.MaxRevision > 0 && v.value.Revision > s.faults.MaxRevision
		if !stale && !v.publishedAt.After(visibleBy) {
			return v.value, true
		}
	}
	return confservice.Value{}, false
}

func (s *Service) countCall(counter *uint64) {
	if s.faults.Down {
		s.stats.Refused++
	}
	*counter++
	if now := time.Now().Unix(); now != s.currentSecond {
		s.currentSecond, s.callsInSecond = now, 0
	}
	s.callsInSecond++
	s.stats.PeakCallsPerSecond = max(s.stats.PeakCallsPerSecond, s.callsInSecond)
}

// notifyWatchers wakes all waiting watches. The caller holds mu.
func (s *Service) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
