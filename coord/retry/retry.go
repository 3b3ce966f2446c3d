// Package retry limits retries to a fraction of first attempts, so that retries
// cannot multiply the load of a fleet that is already failing. Each key, such
// as a target or an organisation, has a token bucket that first attempts fill and
// retries drain.
//
// For every key: retries <= Burst + Ratio * first attempts, counted while the key
// is in memory. The number of keys is bounded: a new key evicts the least recently
// used one if necessary, and then starts with an empty bucket. Over all keys
// therefore: retries <= Burst * MaxKeys + Ratio * first attempts.
//
// The burst becomes available in the course of FillTime after the start of the process, so
// that processes that restart in series do not get all of it each time.
//
// A FleetBudget is one host's part of a bound on the retries of many hosts.
package retry

import (
	"container/list"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/plantainrun/plantainrun/coord/clock"
)

// retryCost is the number of millitokens that one retry costs.
const retryCost = 1000

// Config configures a Budget.
type Config struct {
	Ratio   float64 // retries allowed per first attempt, truncated to thousandths
	Burst   int     // retries that a new key may make, and the capacity of its bucket (at least 1)
	MaxKeys int     // in all shards together
	Shards  int
	// FillTime is the time from the start until the whole Burst is available; 0 for at once.
	FillTime time.Duration
	Clock    clock.Clock // nil for the system clock
}

// DefaultConfig allows one retry per five first attempts.
func DefaultConfig() Config {
	return Config{Ratio: 0.2, Burst: 10, MaxKeys: 8192, Shards: 16, FillTime: 10 * time.Second}
}

// Budget holds a token bucket per key. It is safe for concurrent use.
type Budget struct {
	cfg           Config
	startedAt     time.Time
	attemptCredit int64 // millitokens
	burst         int64 // millitokens
	shards        []shard
	counters      counters
}

type counters struct {
	firstAttempts, allowedRetries, refusedRetries, evictedKeys atomic.Int64
}

// Stats are the counters of a Budget.
type Stats struct {
	FirstAttempts  int64 // first attempts recorded
	AllowedRetries int64 // retries allowed
	RefusedRetries int64 // retries refused
	EvictedKeys    int64 // keys evicted for new ones
}

type shard struct {
	mu      sync.Mutex
	maxKeys int
	buckets map[string]*list.Element // of *bucket
	lru     list.List                // most recently used first
}

type bucket struct {
	key    string
	tokens int64 // millitokens
	filled int64 // millitokens of the burst that it has got
}

// New returns an empty Budget.
func New(cfg Config) (*Budget, error) {
	if cfg.Ratio < 0 || cfg.Burst < 0 || cfg.Shards < 1 || cfg.MaxKeys < cfg.Shards {
		return nil, errors.New("retry: Ratio and Burst must not be negative, Shards must be positive and MaxKeys must be at least Shards")
	}
	if cfg.Clock == nil {
		cfg.Clock = clock.System{}
	}
	b := &Budget{
		cfg:           cfg,
		startedAt:     cfg.Clock.Now(),
		attemptCredit: int64(cfg.Ratio * retryCost),
		burst:         int64(cfg.Burst) * retryCost,
		shards:        make([]shard, cfg.Shards),
	}
	for i := range b.shards {
		b.shards[i].maxKeys = cfg.MaxKeys / cfg.Shards
		b.shards[i].buckets = make(map[string]*list.Element)
	}
	return b, nil
}

// capacity is the capacity of a bucket in millitokens.
func (b *Budget) capacity() int64 { return max(b.burst, retryCost) }

// available is the part of the burst, in millitokens, that has become available since the start.
func (b *Budget) available() int64 {
	if b.cfg.FillTime <= 0 {
		return b.burst
	}
	elapsed := float64(b.cfg.Clock.Now().Sub(b.startedAt)) / float64(b.cfg.FillTime)
	return int64(min(elapsed, 1) * float64(b.burst))
}

// RecordFirstAttempt counts a first attempt for key.
func (b *Budget) RecordFirstAttempt(key string) {
	b.counters.firstAttempts.Add(1)
	s := b.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	bucket := s.bucket(b, key)
	bucket.tokens = min(bucket.tokens+b.attemptCredit, b.capacity())
}

// AllowRetry reports whether a retry is allowed for key, and counts the retry if so.
func (b *Budget) AllowRetry(key string) bool {
	s := b.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	bucket := s.bucket(b, key)
	if bucket.tokens < retryCost {
		b.counters.refusedRetries.Add(1)
		return false
	}
	bucket.tokens -= retryCost
	b.counters.allowedRetries.Add(1)
	return true
}

// Stats returns the current counters.
func (b *Budget) Stats() Stats {
	return Stats{
		FirstAttempts:  b.counters.firstAttempts.Load(),
		AllowedRetries: b.counters.allowedRetries.Load(),
		RefusedRetries: b.counters.refusedRetries.Load(),
		EvictedKeys:    b.counters.evictedKeys.Load(),
	}
}

func (b *Budget) shard(key string) *shard {
	return &b.shards[xxhash.Sum64String(key)%uint64(len(b.shards))]
}

// bucket returns the key's bucket, with what has become available by now, and creates it if
// necessary. The caller holds s.mu.
func (s *shard) bucket(b *Budget, key string) *bucket {
	available := b.available()
	if el, ok := s.buckets[key]; ok {
		s.lru.MoveToFront(el)
		bucket := el.Value.(*bucket)
		bucket.fill(available, b.capacity())
		return bucket
	}
	created := &bucket{key: key}
	if len(s.buckets) >= s.maxKeys {
		s.evict()
		b.counters.evictedKeys.Add(1)
		created.filled = b.burst // the key may be an evicted one
	}
	created.fill(available, b.capacity())
	s.buckets[key] = s.lru.PushFront(created)
	return created
}

// fill adds what has become available since the last call.
func (b *bucket) fill(available, capacity int64) {
	if available > b.filled {
		b.tokens = min(b.tokens+available-b.filled, capacity)
		b.filled = available
	}
}

// evict removes the least recently used key.
func (s *shard) evict() {
	last := s.lru.Back()
	s.lru.Remove(last)
	delete(s.buckets, last.Value.(*bucket).key)
}
