package schedule

import (
	"sort"

	"github.com/plantainrun/plantainrun/internal/engineapi"
)

// maxPrefixes bounds the prefixes believed to be cached at one target.
const maxPrefixes = 1 << 16

// prefixes is what is believed to be in one engine's prefix cache.
type prefixes struct {
	last   uint64         // sequence of the newest event taken in
	cached map[uint64]int // tokens of each block
}

// learn takes cache events in. Lost events, or a sequence that started again,
// empty what was believed.
func (p *prefixes) learn(events engineapi.CacheEvents) {
	if events.From > p.last+1 || events.Next < p.last {
		p.clear()
		p.last = 0
	}
	for _, ev := range events.Events {
		if ev.Seq <= p.last {
			continue
		}
		p.last = ev.Seq
		if !ev.Added {
			delete(p.cached, ev.Prefix)
			continue
		}
		if p.cached == nil || len(p.cached) >= maxPrefixes {
			p.clear()
		}
		p.cached[ev.Prefix] = ev.Tokens
	}
}

func (p *prefixes) clear() {
	p.cached = map[uint64]int{}
}

// match returns the tokens of the longest leading run of blocks that is
// believed to be cached. A block is cached only with all blocks before it, and
// all blocks have the same number of tokens.
func (p *prefixes) match(blocks []uint64) int {
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
