package engine

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/plantainrun/plantainrun/internal/engineapi"
)

var (
	errCut   = errors.New("connection is cut by order")
	errShort = errors.New("answer is cut short by order")
)

// answerWriter writes the chunks of one answer, with its fault.
type answerWriter struct {
	w     http.ResponseWriter
	enc   *json.Encoder
	fault Fault
	held  *engineapi.Chunk // the late token
}

func newAnswerWriter(w http.ResponseWriter) *answerWriter {
	return &answerWriter{w: w, enc: json.NewEncoder(w)}
}

// token writes one token; each is flushed.
func (a *answerWriter) token(ctx context.Context, chunk engineapi.Chunk) error {
	if a.fault.Kind == FaultWrongID && chunk.Offset >= a.fault.At {
		chunk.ID = "crossed-" + chunk.ID
	}
	if chunk.Offset == a.fault.At {
		if stop, err := a.spoil(ctx, chunk); stop {
			return err
		}
	}
	if err := a.write(chunk); err != nil {
		return err
	}
	return a.writeHeld()
}

// spoil does what is wrong at the fault's token. It reports whether the token
// has been dealt with.
func (a *answerWriter) spoil(ctx context.Context, chunk engineapi.Chunk) (bool, error) {
	switch a.fault.Kind {
	case FaultDisconnect:
		return true, errCut
	case FaultTruncate:
		return true, errShort
	case FaultSkip:
		return true, nil
	case FaultReorder:
		a.held = &chunk
		return true, nil
	case FaultDuplicate:
		return false, a.write(chunk)
	case FaultDelay:
		pauseFor(ctx, time.Duration(a.fault.DelayMS)*time.Millisecond)
	}
	return false, nil
}

func (a *answerWriter) write(chunk engineapi.Chunk) error {
	if err := a.enc.Encode(chunk); err != nil {
		return err
	}
	flush(a.w)
	return nil
}

func (a *answerWriter) writeHeld() error {
	if a.held == nil {
		return nil
	}
	chunk := *a.held
	a.held = nil
	return a.write(chunk)
}

// end writes the end marker.
func (a *answerWriter) end(chunk engineapi.Chunk) error {
	if err := a.writeHeld(); err != nil {
		return err
	}
	switch a.fault.Kind {
	case FaultWrongCount:
		chunk.Count += 1 + a.fault.At
	case FaultWrongID:
		chunk.ID = "crossed-" + chunk.ID
	}
	return a.write(chunk)
}

func pauseFor(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
