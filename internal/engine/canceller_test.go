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

// lossyEngine loses cancels and acknowledgements as told, then none.
type lossyEngine struct {
	mu      sync.Mutex
	fates   []int // of the next cancels: 0 goes through, 1 request lost, 2 acknowledgement lost
	held    map[string]bool
	arrives map[string]time.Time // prompts still on their way
}

func (e *lossyEngine) cancel(_ context.Context, _ topology.Target, id string) (bool, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fate := 0
	if len(e.fates) > 0 {
		fate, e.fates = e.fates[0], e.fates[1:]
	}
	if fate == 1 {
		return false, errors.New("request was lost")
	}
	held := e.held[id] && !time.Now().Before(e.arrives[id])
	if held {
		delete(e.held, id)
	}
	if fate == 2 {
		return false, errors.New("acknowledgement was lost")
	}
	return held, nil
}

// Cancels are retried until acknowledged, so that nothing stays held, not even
// a prompt that reached the engine after its first cancel.
func TestCancelsAreRetriedUntilAcknowledged(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fates := rapid.SliceOfN(rapid.IntRange(0, 2), 0, 30).Draw(rt, "fates")
		delays := rapid.SliceOfN(rapid.IntRange(0, 40), 1, 20).Draw(rt, "delays")
		var wrong string
		synctest.Test(t, func(*testing.T) { wrong = cancelAll(fates, delays) })
		if wrong != "" {
			rt.Fatal(wrong)
		}
	})
}

func cancelAll(fates, delays []int) string {
	e := &lossyEngine{fates: fates, held: make(map[string]bool), arrives: make(map[string]time.Time)}
	c := engine.NewCanceller(engine.CancelOptions{InitialBackoff: 100 * time.Millisecond}, e.cancel)
	defer c.Close()
	for i, d := range delays {
		id := fmt.Sprint(i)
		e.held[id], e.arrives[id] = true, time.Now().Add(time.Duration(d)*time.Millisecond)
	}
	for i, d := range delays {
		c.Cancel(topology.Target{ID: fmt.Sprint(i % 2)}, fmt.Sprint(i), time.Now().Add(time.Hour), d == 0)
	}
	ctx, stop := context.WithTimeout(context.Background(), 10*time.Minute)
	defer stop()
	if err := c.Drain(ctx); err != nil {
		return err.Error()
	}
	if len(e.held) > 0 {
		return fmt.Sprintf("%d streams are still held", len(e.held))
	}
	if s := c.Stats(); int(s.Acknowledged) != len(delays) || s.Expired+s.Dropped > 0 {
		return fmt.Sprintf("counters: %+v", s)
	}
	return ""
}
