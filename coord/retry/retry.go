// Package retry bounds retries to a fraction of first tries, so that retries
// cannot multiply the load of a fleet that is already failing. Each key, such
// as a target or an organisation, has a bucket that first tries fill and
// retries drain.
//
// For every key: retries <= Burst + Ratio * first tries, counted while the key
// is held. Keys are bounded in number; the least recently used one makes room,
// and a key that came in that way starts without a burst. Over all keys
// therefore: retries <= Burst * MaxKeys + Ratio * first tries.
package retry

import (
	"container/list"
	"errors"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// milliTokens is one retry in the buckets' account.
const milliTokens = 1000

// Config sets the bounds.
type Config struct {
	Ratio   float64 // retries allowed per first try, in thousandths
	Burst   int     // retries that a new key may make, and the most it can save up
	MaxKeys int     // over all shards
	Shards  int
}

// DefaultConfig allows one retry in five first tries.
func DefaultConfig() Config {
	return Config{Ratio: 0.2, Burst: 10, MaxKeys: 8192, Shards: 16}
}

// Budget holds the buckets. It is safe for concurrent use.
type Budget struct {
	gain   int64
	burst  atomic.Int64
	shards []shard
	counts counts
}

type counts struct {
	first, allowed, refused, evicted atomic.Int64
}

// Stats counts what a Budget did.
type Stats struct {
	First   int64 // first tries
	Allowed int64 // retries allowed
	Refused int64 // retries refused
	Evicted int64 // keys that made room for others
}

type shard struct {
	mu      sync.Mutex
	max     int
	buckets map[string]*list.Element // of *bucket
	recent  list.List                // most recently used first
}

type bucket struct {
	key    string
	tokens int64 // in milliTokens
}

// New returns an empty Budget.
func New(cfg Config) (*Budget, error) {
	if cfg.Ratio < 0 || cfg.Burst < 0 || cfg.Shards < 1 || cfg.MaxKeys < cfg.Shards {
		return nil, errors.New("retry: the ratio and burst must not be negative, and there must be a key per shard or more; correct the settings")
	}
	b := &Budget{
		gain:   int64(cfg.Ratio * milliTokens),
		shards: make([]shard, cfg.Shards),
	}
	b.SetBurst(float64(cfg.Burst))
	for i := range b.shards {
		b.shards[i].max = cfg.MaxKeys / cfg.Shards
		b.shards[i].buckets = make(map[string]*list.Element)
	}
	return b, nil
}

// SetBurst changes how many retries a key may save up; a key with more keeps
// that many. It must not be negative. Under one, a new key still saves up the
// first tries that allow one retry.
func (b *Budget) SetBurst(retries float64) { b.burst.Store(int64(retries * milliTokens)) }

// most is how much a key may save up.
func (b *Budget) most() int64 { return max(b.burst.Load(), milliTokens) }

// RecordFirstAttempt counts a first try of key.
func (b *Budget) RecordFirstAttempt(key string) {
	b.counts.first.Add(1)
	s := b.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.bucket(b, key)
	k.tokens = min(k.tokens+b.gain, b.most())
}

// AllowRetry reports whether key may retry now, and counts the retry if so.
func (b *Budget) AllowRetry(key string) bool {
	s := b.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.bucket(b, key)
	k.tokens = min(k.tokens, b.most())
	if k.tokens < milliTokens {
		b.counts.refused.Add(1)
		return false
	}
	k.tokens -= milliTokens
	b.counts.allowed.Add(1)
	return true
}

// Stats returns the current counts.
func (b *Budget) Stats() Stats {
	return Stats{
		First:   b.counts.first.Load(),
		Allowed: b.counts.allowed.Load(),
		Refused: b.counts.refused.Load(),
		Evicted: b.counts.evicted.Load(),
	}
}

func (b *Budget) shard(key string) *shard {
	return &b.shards[xxhash.Sum64String(key)%uint64(len(b.shards))]
}

// bucket returns the key's bucket, and makes one if it has none.
func (s *shard) bucket(b *Budget, key string) *bucket {
	if el, ok := s.buckets[key]; ok {
		s.recent.MoveToFront(el)
		return el.Value.(*bucket)
	}
	fresh := &bucket{key: key, tokens: b.burst.Load()}
	if len(s.buckets) >= s.max {
		s.evict()
		b.counts.evicted.Add(1)
		fresh.tokens = 0
	}
	s.buckets[key] = s.recent.PushFront(fresh)
	return fresh
}

// evict drops the least recently used key.
func (s *shard) evict() {
	last := s.recent.Back()
	s.recent.Remove(last)
	delete(s.buckets, last.Value.(*bucket).key)
}
