package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// readerLoad is the part of their time that engines kept for reading may
	// be expected to read.
	readerLoad = 0.7
	// maxReaders is the largest part of the engines that is kept for reading.
	maxReaders = 0.65
	// backlogSpan is the time in which a backlog of long prompts should be read.
	backlogSpan = 1500 * time.Millisecond
	// writeOnReader is the cost of writing on an engine kept for reading, in
	// weights of the request.
	writeOnReader = 0.4
	// readOnWriter is the cost of a second of reading on an engine that is not
	// kept for it, in weights.
	readOnWriter = 2.0
)

// markReaders keeps as many engines for reading parts of long prompts as the
// present demand for it takes. All hosts go by one order of the engines, so
// that their choices agree as far as their knowledge does.
func markReaders(states []*engineState, demand float64) {
	backlog := 0.0
	for _, st := range states {
		backlog += st.backlog.Seconds()
	}
	wanted := int(math.Ceil((demand + backlog/backlogSpan.Seconds()/2) / readerLoad))
	wanted = min(wanted, int(maxReaders*float64(len(states))))
	ordered := slices.Clone(states)
	slices.SortFunc(ordered, func(a, b *engineState) int { return cmp.Compare(rank(a), rank(b)) })
	for _, st := range ordered[:wanted] {
		st.reader = true
	}
}

// rank is an engine's place in the order that all hosts share.
func rank(st *engineState) uint64 { return xxhash.Sum64String(st.load.target.ID) }
