package engine

import (
	"time"

	"github.com/plantainrun/plantainrun/internal/engineapi"
	"github.com/plantainrun/plantainrun/internal/standin/enginemodel"
)

// The finish reasons of a stream. A crashed stream has no end marker.
const (
	reasonLength    = "length"
	reasonCancelled = "cancelled"
	reasonCrashed   = "crashed"
)

// stream is the state of one admitted request. Its fields are guarded by
// Engine.mu.
type stream struct {
	id           string
	promptHash   uint64
	promptTokens int
	cachedTokens int    // prompt tokens found in the prefix cache
	outputTokens int    // generated so far
	finishReason string // empty while the stream runs
	endedAt      time.Time
	changed      chan struct{} // closed at the next change
}

func newStream(id string, promptHash uint64, promptTokens int) *stream {
	return &stream{id: id, promptHash: promptHash, promptTokens: promptTokens, changed: make(chan struct{})}
}

// handleEvent applies an event of the simulation to the stream.
func (s *stream) handleEvent(ev enginemodel.Event, now time.Time) {
	switch ev.Kind {
	case enginemodel.FirstToken, enginemodel.Token:
		s.outputTokens += ev.Tokens
		s.cachedTokens += ev.CachedTokens
	case enginemodel.Finished:
		s.end(reasonLength, now)
		return
	case enginemodel.Dropped:
		s.end(reasonCancelled, now)
		return
	}
	s.notify()
}

func (s *stream) end(reason string, now time.Time) {
	s.finishReason, s.endedAt = reason, now
	s.notify()
}

func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// endMarker returns the last chunk of the stream.
func (s *stream) endMarker() engineapi.Chunk {
	usage := &engineapi.Usage{PromptTokens: s.promptTokens, CachedTokens: s.cachedTokens, OutputTokens: s.outputTokens}
	return engineapi.Chunk{ID: s.id, Offset: s.outputTokens, End: true, Count: s.outputTokens, FinishReason: s.finishReason, Usage: usage}
}
