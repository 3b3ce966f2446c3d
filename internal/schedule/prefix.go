package schedule

import (
	"sort"

	"github.com/plantainrun/plantainrun/internal/engineapi"
)

// maxCachedPrefixes limits the prefixes tracked for one target.
const maxCachedPrefixes = 1 << 16

// prefixIndex tracks the content of one engine's prefix cache from its events.
type prefixIndex struct {
	lastSeq uint64         // sequence number of the last applied event
	cached  map[uint64]int // tokens by block hash
}

// apply applies cache events. A gap in the sequence numbers or a restart of the
// sequence clears the index.
func (p *prefixIndex) apply(events engineapi.CacheEvents) {
	if events.From > p.lastSeq+1 || events.Next < p.lastSeq {
		p.clear()
		p.lastSeq = 0
	}
	for _, ev := range events.Events {
		if ev.Seq <= p.lastSeq {
			continue
		}
		p.lastSeq = ev.Seq
		if !ev.Added {
			delete(p.cached, ev.Prefix)
			continue
		}
		if p.cached == nil || len(p.cached) >= maxCachedPrefixes {
			p.clear()
		}
		p.cached[ev.Prefix] = ev.Tokens
	}
}

func (p *prefixIndex) clear() {
	p.cached = map[uint64]int{}
}

// match returns the tokens of the longest sequence of leading blocks that is
// cached according to the index. It relies on a block being cached only with all
// blocks before it, and on all blocks having the same number of tokens.
func (p *prefixIndex) match(blocks []uint64) int {
	if len(p.cached) == 0 || len(blocks) == 0 {
		return 0
	}
	n := sort.Search(len(blocks), func(i int) bool {
		_, ok := p.cached[blocks[i]]
		return !ok
	})
	if n == 0 {
		return 0
	}
	return n * p.cached[blocks[0]]
}
