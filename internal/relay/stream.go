package relay

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/plantainrun/plantainrun/internal/membudget"
	"github.com/plantainrun/plantainrun/internal/placement"
)

// stallTimeoutFraction is the fraction of the route's AbandonAfter for which a
// stream may produce no events before it is resumed at another target.
const stallTimeoutFraction = 0.9

// relayStream relays the events of one attempt to the caller.
func (j *job) relayStream(ctx context.Context, dest destination, resp *Response, watchdog *watchdog) (attemptResult, Reason) {
	events := newEventReader(resp.Body, j.relay.cfg.Memory.Hold(membudget.Event))
	defer events.release()
	first := true
	lastEventAt := time.Now()
	for {
		ev, err := events.next()
		if errors.Is(err, io.EOF) {
			return j.finishStream(dest, resp), ""
		}
		if err == nil {
			err = j.relayEvent(resp, ev)
			watchdog.reset(j.progressTimeout())
		}
		if err != nil {
			return j.handleBrokenResponse(ctx, dest, err)
		}
		if j.attemptEvents++; j.attemptEvents == clearingEvents {
			j.recordAnswer(dest)
		}
		now := time.Now()
		if first {
			first = false
			dest.FirstEvent()
			j.recordFirstEvent(dest)
		} else {
			j.longestEventGap = max(j.longestEventGap, now.Sub(lastEventAt))
		}
		lastEventAt = now
	}
}

// relayEvent sends one event to the caller unless it has already received it.
func (j *job) relayEvent(resp *Response, ev event) error {
	isNext, err := j.seq.accept(ev)
	if err != nil || !isNext {
		return err
	}
	if !j.responseStarted {
		j.responseStarted = true
		j.writer.WriteHeader(resp.Status, resp.Header)
	}
	return j.writer.WriteChunk(ev.raw)
}

func (j *job) recordFirstEvent(dest destination) {
	took := time.Since(j.req.Arrived)
	if j.firstEventAfter == 0 {
		j.firstEventAfter = took
	}
	j.relay.cfg.Observer.FirstEvent(j.route.Name, took)
	j.log("first event", dest.fields()...)
}

func (j *job) finishStream(dest destination, resp *Response) attemptResult {
	if !j.responseStarted {
		j.responseStarted = true
		j.writer.WriteHeader(resp.Status, resp.Header)
	}
	if j.attemptEvents < clearingEvents {
		j.recordAnswer(dest)
	}
	dest.End(placement.Served)
	j.logLateness(j.firstEventAfter)
	j.recordOutcome("done", dest, zap.String("last_event", j.seq.lastEventID()), zap.Duration("longest_pause", j.longestEventGap))
	return resultFinal
}

// watchdog cancels an attempt that makes no progress.
type watchdog struct {
	mu    sync.Mutex
	timer *time.Timer
	usage *usage // told of each progress; nil for none
}

func newWatchdog(cancel context.CancelFunc, after time.Duration, usage *usage) *watchdog {
	return &watchdog{timer: time.AfterFunc(after, cancel), usage: usage}
}

func (w *watchdog) reset(after time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Reset(after)
	if w.usage != nil {
		w.usage.seen()
	}
}

func (w *watchdog) stop() { w.timer.Stop() }
