package relay

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/plantainrun/plantainrun/internal/placement"
)

// silenceShare is the part of the callers' patience after which a stream that
// has fallen silent is resumed at another target.
const silenceShare = 0.9

// takeStream hands on the events of an attempt.
func (j *job) takeStream(ctx context.Context, placed *placement.Placement, answer *Response, watchdog *watchdog) (step, Reason) {
	events := newEventReader(answer.Body)
	first := true
	last := time.Now()
	for {
		ev, err := events.next()
		if errors.Is(err, io.EOF) {
			return j.endStream(placed, answer), ""
		}
		if err == nil {
			err = j.handOn(answer, ev)
			watchdog.reset(j.patience())
		}
		if err != nil {
			return j.broken(ctx, placed, err)
		}
		now := time.Now()
		if first {
			first = false
			placed.FirstEvent()
			j.firstEvent(placed)
		} else {
			j.longestPause = max(j.longestPause, now.Sub(last))
		}
		last = now
	}
}

// handOn sends one event unless the caller has it.
func (j *job) handOn(answer *Response, ev event) error {
	next, err := j.seq.admit(ev)
	if err != nil || !next {
		return err
	}
	if !j.begun {
		j.begun = true
		j.reply.WriteHeader(answer.Status, answer.Header)
	}
	return j.reply.WriteChunk(ev.raw)
}

func (j *job) firstEvent(placed *placement.Placement) {
	took := time.Since(j.req.Arrived)
	j.relay.cfg.Observer.FirstEvent(j.route.Name, took)
	j.log("first event", zap.String("target", placed.Primary.ID), zap.Duration("predicted_wait", placed.PredictedWait))
}

func (j *job) endStream(placed *placement.Placement, answer *Response) step {
	if !j.begun {
		j.begun = true
		j.reply.WriteHeader(answer.Status, answer.Header)
	}
	placed.End(placement.Served)
	j.observe("done", placed, zap.String("last_event", j.seq.lastEvent()), zap.Duration("longest_pause", j.longestPause))
	return finished
}

// watchdog cancels an attempt that makes no progress.
type watchdog struct {
	mu    sync.Mutex
	timer *time.Timer
}

func newWatchdog(cancel context.CancelFunc, after time.Duration) *watchdog {
	return &watchdog{timer: time.AfterFunc(after, cancel)}
}

func (w *watchdog) reset(after time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Reset(after)
}

func (w *watchdog) stop() { w.timer.Stop() }
