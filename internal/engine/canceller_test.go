package engine_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/plantainrun/plantainrun/internal/engine"
	"github.com/plantainrun/plantainrun/internal/topology"
)

// lossyEngine loses requests or acknowledgements as listed in deliveries, and none after
// that.
type lossyEngine struct {
	mu         sync.Mutex
	deliveries []int // of the next cancel requests: 0 succeeds, 1 loses the request, 2 loses the acknowledgement
	held       map[string]bool
	arrivesAt  map[string]time.Time // when the prompt of each stream reaches the engine
}

func (e *lossyEngine) cancel(_ context.Context, _ topology.Target, id string) (bool, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delivery := 0
	if len(e.deliveries) > 0 {
		delivery, e.deliveries = e.deliveries[0], e.deliveries[1:]
	}
	if delivery == 1 {
		return false, errors.New("request was lost")
	}
	held := e.held[id] && !time.Now().Before(e.arrivesAt[id])
	if held {
		delete(e.held, id)
	}
	if delivery == 2 {
		return false, errors.New("acknowledgement was lost")
	}
	return held, nil
}

// Cancellations are retried until acknowledged, so that no stream stays allocated, not
// even one whose prompt reaches the engine after the first cancel request.
func TestCancelsAreRetriedUntilAcknowledged(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		deliveries := rapid.SliceOfN(rapid.IntRange(0, 2), 0, 30).Draw(rt, "fates")
		arrivalDelays := rapid.SliceOfN(rapid.IntRange(0, 40), 1, 20).Draw(rt, "delays")
		var failure string
		synctest.Test(t, func(*testing.T) { failure = cancelAll(deliveries, arrivalDelays) })
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

func cancelAll(deliveries, arrivalDelays []int) string {
	e := &lossyEngine{deliveries: deliveries, held: make(map[string]bool), arrivesAt: make(map[string]time.Time)}
	c := engine.NewCanceller(engine.CancelOptions{InitialBackoff: 100 * time.Millisecond}, e.cancel)
	defer c.Close()
	for i, d := range arrivalDelays {
		id := fmt.Sprint(i)
		e.held[id], e.arrivesAt[id] = true, time.Now().Add(time.Duration(d)*time.Millisecond)
	}
	for i, d := range arrivalDelays {
		c.Cancel(topology.Target{ID: fmt.Sprint(i % 2)}, fmt.Sprint(i), time.Now().Add(time.Hour), d == 0)
	}
	ctx, stop := context.WithTimeout(context.Background(), 10*time.Minute)
	defer stop()
	if err := c.Drain(ctx); err != nil {
		return err.Error()
	}
	if len(e.held) > 0 {
		return fmt.Sprintf("engine still holds %d streams", len(e.held))
	}
	if s := c.Stats(); int(s.Acknowledged) != len(arrivalDelays) || s.Expired+s.Dropped > 0 {
		return fmt.Sprintf("unexpected counters: %+v", s)
	}
	return ""
}
