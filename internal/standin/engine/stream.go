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
	id      string
	hash    uint64
	prompt  int // tokens
	cached  int // of these
	tokens  int // of the answer so far
	reason  string
	endedAt time.Time
	changed chan struct{} // closed at the next change
}

func newStream(id string, hash uint64, promptTokens int) *stream {
	return &stream{id: id, hash: hash, prompt: promptTokens, changed: make(chan struct{})}
}

// event takes an event of the model in.
func (s *stream) event(ev enginemodel.Event, now time.Time) {
	switch ev.Kind {
	case enginemodel.FirstToken, enginemodel.Token:
		s.tokens += ev.Tokens
		s.cached += ev.Cached
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
	s.reason, s.endedAt = reason, now
	s.notify()
}

func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// endChunk is the end marker.
func (s *stream) endChunk() engineapi.Chunk {
	usage := &engineapi.Usage{PromptTokens: s.prompt, CachedTokens: s.cached, OutputTokens: s.tokens}
	return engineapi.Chunk{ID: s.id, Offset: s.tokens, End: true, Count: s.tokens, FinishReason: s.reason, Usage: usage}
}
