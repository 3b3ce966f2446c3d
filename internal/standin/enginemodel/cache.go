package enginemodel

import (
	"container/list"

	"github.com/plantainrun/plantainrun/internal/engineapi"
)

// prefixCache keeps blocks of prompts, least recently used out first.
type prefixCache struct {
	limit  int // tokens
	used   int // tokens
	order  *list.List
	blocks map[uint64]*list.Element
	record bool
	seq    uint64
	events []engineapi.CacheEvent
}

type block struct {
	hash   uint64
	tokens int
}

func newPrefixCache(limit int, record bool) *prefixCache {
	return &prefixCache{limit: limit, order: list.New(), blocks: make(map[uint64]*list.Element), record: record}
}

// lookup returns how many leading blocks are cached and marks them as used.
func (c *prefixCache) lookup(hashes []uint64) int {
	found := 0
	for _, h := range hashes {
		if _, ok := c.blocks[h]; !ok {
			break
		}
		found++
	}
	for i := found - 1; i >= 0; i-- {
		c.order.MoveToFront(c.blocks[hashes[i]])
	}
	return found
}

// insert adds the blocks that fit, leading ones first, and marks the leading
// blocks as most recently used.
func (c *prefixCache) insert(hashes []uint64, tokens int) {
	if tokens <= 0 || c.limit < tokens {
		return
	}
	fit := min(len(hashes), c.limit/tokens)
	for i := fit - 1; i >= 0; i-- {
		c.add(hashes[i], tokens)
	}
	for c.used > c.limit {
		c.evict()
	}
}

func (c *prefixCache) add(hash uint64, tokens int) {
	if el, ok := c.blocks[hash]; ok {
		c.order.MoveToFront(el)
		return
	}
	c.blocks[hash] = c.order.PushFront(block{hash: hash, tokens: tokens})
	c.used += tokens
	c.note(hash, tokens, true)
}

func (c *prefixCache) evict() {
	el := c.order.Back()
	b := c.order.Remove(el).(block)
	delete(c.blocks, b.hash)
	c.used -= b.tokens
	c.note(b.hash, b.tokens, false)
}

func (c *prefixCache) note(hash uint64, tokens int, added bool) {
	if !c.record {
		return
	}
	c.seq++
	c.events = append(c.events, engineapi.CacheEvent{Seq: c.seq, Prefix: hash, Tokens: tokens, Added: added})
}

// TakeCacheEvents returns the cache events since the last call, with
// Config.RecordCache. Sequence numbers start again at 1 after a crash.
func (e *Engine) TakeCacheEvents() []engineapi.CacheEvent {
	events := e.cache.events
	e.cache.events = nil
	return events
}
