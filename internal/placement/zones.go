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
	maxReaders = 0.8
	// writerFill is the part of the slots that streams should take up on the
	// engines that are not kept for reading.
	writerFill = 0.75
	// streamTime is the expected duration of a short prompt's stream.
	streamTime = 2 * time.Second
	// backlogSpan is the time in which a backlog of long prompts should be read.
	backlogSpan = 1500 * time.Millisecond
	// writeOnReader is the cost of writing on an engine kept for reading, in
	// weights of the request.
	writeOnReader = 0.4
	// readOnWriter is the cost of a second of reading on an engine that is not
	// kept for it, in weights.
	readOnWriter = 1.0
)

// markReaders keeps as many engines for reading parts of long prompts as the
// present demand for it takes, but leaves enough for streams to write. All
// hosts go by one order of the engines, so that their choices agree as far as
// their knowledge does.
func markReaders(states []*engineState, slots int, reading, shortRate float64) {
	backlog, running := 0.0, 0.0
	for _, st := range states {
		backlog += st.backlog.Seconds()
		running += float64(st.running)
	}
	wanted := math.Ceil((reading + backlog/backlogSpan.Seconds()/2) / readerLoad)
	writing := max(running, shortRate*streamTime.Seconds())
	writers := math.Ceil(writing / (writerFill * float64(max(slots, 1))))
	n := float64(len(states))
	keep := int(max(0, min(wanted, maxReaders*n, n-writers)))
	ordered := slices.Clone(states)
	slices.SortFunc(ordered, func(a, b *engineState) int { return cmp.Compare(sharedOrder(a), sharedOrder(b)) })
	for _, st := range ordered[:keep] {
		st.reader = true
	}
}

// sharedOrder is an engine's place in the order that all hosts share.
func sharedOrder(st *engineState) uint64 { return xxhash.Sum64String(st.load.target.ID) }
