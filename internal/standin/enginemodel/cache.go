package enginemodel

import (
	"container/list"

	"github.com/plantainrun/plantainrun/internal/engineapi"
)

// prefixCache is an LRU cache of prompt blocks, keyed by prefix hash.
type prefixCache struct {
	limitTokens int
	usedTokens  int
	lru         *list.List
	blocks      map[uint64]*list.Element
	record      bool // append additions and evictions to events
	seq         uint64
	events      []engineapi.CacheEvent
}

// block is a cached prompt block, identified by the hash of the prefix that ends
// with it.
type block struct {
	hash   uint64
	tokens int
}

func newPrefixCache(limitTokens int, record bool) *prefixCache {
	return &prefixCache{limitTokens: limitTokens, lru: list.New(), blocks: make(map[uint64]*list.Element), record: record}
}

// lookup returns the number of leading blocks that are cached and marks them as
// recently used.
func (c *prefixCache) lookup(hashes []uint64) int {
	found := 0
	for _, h := range hashes {
		if _, ok := c.blocks[h]; !ok {
			break
		}
		found++
	}
	for i := found - 1; i >= 0; i-- {
		c.lru.MoveToFront(c.blocks[hashes[i]])
	}
	return found
}

// insert adds the leading blocks that fit into the cache. The first block
// becomes the most recently used one, so that a prefix outlives its extensions.
func (c *prefixCache) insert(hashes []uint64, tokens int) {
	if tokens <= 0 || c.limitTokens < tokens {
		return
	}
	fit := min(len(hashes), c.limitTokens/tokens)
	for i := fit - 1; i >= 0; i-- {
		c.add(hashes[i], tokens)
	}
	for c.usedTokens > c.limitTokens {
		c.evict()
	}
}

func (c *prefixCache) add(hash uint64, tokens int) {
	if el, ok := c.blocks[hash]; ok {
		c.lru.MoveToFront(el)
		return
	}
	c.blocks[hash] = c.lru.PushFront(block{hash: hash, tokens: tokens})
	c.usedTokens += tokens
	c.logEvent(hash, tokens, true)
}

func (c *prefixCache) evict() {
	el := c.lru.Back()
	b := c.lru.Remove(el).(block)
	delete(c.blocks, b.hash)
	c.usedTokens -= b.tokens
	c.logEvent(b.hash, b.tokens, false)
}

func (c *prefixCache) logEvent(hash uint64, tokens int, added bool) {
	if !c.record {
		return
	}
	c.seq++
	c.events = append(c.events, engineapi.CacheEvent{Seq: c.seq, Prefix: hash, Tokens: tokens, Added: added})
}

// TakeCacheEvents returns the cache events since the previous call, if
// Config.RecordCache is set. Sequence numbers restart at 1 after a crash.
func (e *Engine) TakeCacheEvents() []engineapi.CacheEvent {
	events := e.cache.events
	e.cache.events = nil
	return events
}
