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
	errDisconnected = errors.New("connection closed by an injected fault")
	errTruncated    = errors.New("response truncated by an injected fault")
)

// responseWriter writes the chunks of one response and applies its fault.
type responseWriter struct {
	w       http.ResponseWriter
	enc     *json.Encoder
	fault   Fault
	delayed *engineapi.Chunk // held back by FaultReorder
}

func newResponseWriter(w http.ResponseWriter) *responseWriter {
	return &responseWriter{w: w, enc: json.NewEncoder(w)}
}

// writeToken writes and flushes one token.
func (rw *responseWriter) writeToken(ctx context.Context, chunk engineapi.Chunk) error {
	if rw.fault.Kind == FaultWrongID && chunk.Offset >= rw.fault.At {
		chunk.ID = "crossed-" + chunk.ID
	}
	if chunk.Offset == rw.fault.At {
		if handled, err := rw.applyFault(ctx, chunk); handled {
			return err
		}
	}
	if err := rw.write(chunk); err != nil {
		return err
	}
	return rw.writeDelayed()
}

// applyFault applies the fault at its token. It reports whether the caller must
// not write the token itself.
func (rw *responseWriter) applyFault(ctx context.Context, chunk engineapi.Chunk) (bool, error) {
	switch rw.fault.Kind {
	case FaultDisconnect:
		return true, errDisconnected
	case FaultTruncate:
		return true, errTruncated
	case FaultSkip:
		return true, nil
	case FaultReorder:
		rw.delayed = &chunk
		return true, nil
	case FaultDuplicate:
		return false, rw.write(chunk)
	case FaultDelay:
		sleep(ctx, time.Duration(rw.fault.DelayMS)*time.Millisecond)
	}
	return false, nil
}

func (rw *responseWriter) write(chunk engineapi.Chunk) error {
	if err := rw.enc.Encode(chunk); err != nil {
		return err
	}
	flush(rw.w)
	return nil
}

func (rw *responseWriter) writeDelayed() error {
	if rw.delayed == nil {
		return nil
	}
	chunk := *rw.delayed
	rw.delayed = nil
	return rw.write(chunk)
}

// writeEnd writes the end marker.
func (rw *responseWriter) writeEnd(chunk engineapi.Chunk) error {
	if err := rw.writeDelayed(); err != nil {
		return err
	}
	switch rw.fault.Kind {
	case FaultWrongCount:
		chunk.Count += 1 + rw.fault.At
	case FaultWrongID:
		chunk.ID = "crossed-" + chunk.ID
	}
	return rw.write(chunk)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
