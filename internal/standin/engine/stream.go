package engine

import (
	"time"

	"github.com/plantainrun/plantainrun/internal/engineapi"
	"github.com/plantainrun/plantainrun/internal/standin/enginemodel"
)

// The end reasons of a stream. A crashed one has no end marker.
const (
	reasonLength    = "length"
	reasonCancelled = "cancelled"
	reasonCrashed   = "crashed"
)

// stream is one prompt that the engine took. Its fields are guarded by
// Engine.mu.
type stream struct {
	id           string
	promptHash   uint64
	promptTokens int // tokens
	cachedTokens int // of these
	outputTokens int // of the answer so far
	finishReason string
	endedAt      time.Time
	changed      chan struct{} // closed at the next change
}

func newStream(id string, promptHash uint64, promptTokens int) *stream {
	return &stream{id: id, promptHash: promptHash, promptTokens: promptTokens, changed: make(chan struct{})}
}

// event takes an event of the model in.
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

// endChunk is the end marker.
func (s *stream) endMarker() engineapi.Chunk {
	usage := &engineapi.Usage{PromptTokens: s.promptTokens, CachedTokens: s.cachedTokens, OutputTokens: s.outputTokens}
	return engineapi.Chunk{ID: s.id, Offset: s.outputTokens, End: true, Count: s.outputTokens, FinishReason: s.finishReason, Usage: usage}
}
