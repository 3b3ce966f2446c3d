// Package platform is a small stand-in of the platform's configuration
// service and host list. Hosts can only read and watch; publishing and faults
// go through methods and a control endpoint for tests.
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

// historyLength is how many revisions of a key are kept for stale answers.
const historyLength = 256

// Faults is how the service misbehaves.
type Faults struct {
	// Down: every call fails.
	Down bool `json:"down"`
	// StaleAt: calls are answered as of this revision; zero: the newest.
	StaleAt uint64 `json:"stale_at"`
	// Delay comes before every answer.
	Delay time.Duration `json:"delay"`
	// ListLag is how far the host list and the target list are behind.
	ListLag time.Duration `json:"list_lag"`
	// NoLimit: bodies above the limit are taken.
	NoLimit bool `json:"no_limit"`
}

// Stats counts calls.
type Stats struct {
	Reads   uint64 `json:"reads"`
	Watches uint64 `json:"watches"`
	Refused uint64 `json:"refused"`
	// BusiestSecond is the largest number of calls within one second of the clock.
	BusiestSecond uint64 `json:"busiest_second"`
}

// Calls returns the number of all calls, a waiting watch counted as one.
func (s Stats) Calls() uint64 { return s.Reads + s.Watches }

// ErrDown is the answer of a service that is down.
var ErrDown = errors.New("the configuration service is down")

// version is one published revision of a key.
type version struct {
	value confservice.Value
	at    time.Time
}

// Service is the stand-in. It is safe for concurrent use.
type Service struct {
	mu       sync.Mutex
	revision uint64
	history  map[string][]version
	faults   Faults
	stats    Stats
	second   int64         // the clock's second of the last call
	inSecond uint64        // calls within it
	changed  chan struct{} // closed at every change of values or faults
}

// New returns a service without values.
func New() *Service {
	return &Service{history: make(map[string][]version), changed: make(chan struct{})}
}

// Publish stores body under key and returns its revision. It refuses bodies
// above the service's limit.
func (s *Service) Publish(key string, body []byte) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(body) > confservice.MaxValueBytes && !s.faults.NoLimit {
		return 0, fmt.Errorf("the body of %q has %d bytes; the limit is %d", key, len(body), confservice.MaxValueBytes)
	}
	s.revision++
	value := confservice.Value{Key: key, Revision: s.revision, Body: slices.Clone(body)}
	s.history[key] = append(s.history[key], version{value: value, at: time.Now()})
	if len(s.history[key]) > historyLength {
		s.history[key] = s.history[key][1:]
	}
	s.wake()
	if s.faults.ListLag > 0 {
		time.AfterFunc(s.faults.ListLag, s.wakeLate)
	}
	return s.revision, nil
}

// wakeLate ends the wait of every watch when a lagging value becomes visible.
func (s *Service) wakeLate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wake()
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

// Revision returns the newest revision.
func (s *Service) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Stats returns the counters.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// ResetStats sets the counters to zero.
func (s *Service) ResetStats() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats, s.inSecond = Stats{}, 0
}

// Read answers a read.
func (s *Service) Read(ctx context.Context, key string) (confservice.Value, error) {
	s.mu.Lock()
	s.count(&s.stats.Reads)
	faults := s.faults
	v, ok := s.newest(key)
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

// Watch answers a watch.
func (s *Service) Watch(ctx context.Context, q confservice.WatchRequest) ([]confservice.Change, error) {
	s.mu.Lock()
	s.count(&s.stats.Watches)
	delay := s.faults.Delay
	s.mu.Unlock()
	if err := sleep(ctx, delay); err != nil {
		return nil, err
	}
	timeout := time.NewTimer(q.Wait)
	defer timeout.Stop()
	for {
		changes, wake, err := s.changes(q)
		if err != nil || len(changes) > 0 || q.Wait <= 0 {
			return changes, err
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-timeout.C:
			return nil, nil
		case <-wake:
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
		if v, ok := s.newest(key); ok && v.Revision > q.After {
			changes = append(changes, confservice.Change{Key: key, Revision: v.Revision})
		}
	}
	return changes, s.changed, nil
}

// newest returns the value that the service answers with now.
func (s *Service) newest(key string) (confservice.Value, bool) {
	before := time.Now()
	if key == confservice.KeyHosts || key == confservice.KeyTargets {
		before = before.Add(-s.faults.ListLag)
	}
	versions := s.history[key]
	for i := len(versions) - 1; i >= 0; i-- {
		v := versions[i]
		stale := s.faults.StaleAt > 0 && v.value.Revision > s.faults.StaleAt
		if !stale && !v.at.After(before) {
			return v.value, true
		}
	}
	return confservice.Value{}, false
}

func (s *Service) count(counter *uint64) {
	if s.faults.Down {
		s.stats.Refused++
	}
	*counter++
	if now := time.Now().Unix(); now != s.second {
		s.second, s.inSecond = now, 0
	}
	s.inSecond++
	s.stats.BusiestSecond = max(s.stats.BusiestSecond, s.inSecond)
}

// wake ends the wait of every watch; the caller holds the lock.
func (s *Service) wake() {
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
