package relay_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/plantainrun/plantainrun/internal/catalog"
	"github.com/plantainrun/plantainrun/internal/relay"
)

// What becomes of an order to an engine.
const (
	orderDone = iota
	orderRefused
	orderLost   // on its way there
	answerLost  // on its way back
	answerLate  // so late that the host no longer waits
	orderStalls // nobody hears of it
)

var orderFates = []int{orderDone, orderDone, orderDone, orderDone, orderRefused, orderLost, answerLost, answerLate, orderStalls}

var errLost = errors.New("no answer")

// lease is memory that an engine has set aside.
type lease struct {
	tokens int
	until  time.Time
}

// engines is a transport to engines that keep leases, and the oracle.
type engines struct {
	*transport
	fates []int

	mu     sync.Mutex
	orders int
	leases map[string]*lease
	inUse  map[string]context.Context // leases of attempts in progress
	// released and excuses say of a lease that the host gave it up, and that it
	// cannot know what became of its last order.
	released, excuses map[string]bool
	fault             string
}

func (e *engines) failf(format string, args ...any) {
	if e.fault == "" {
		e.fault = fmt.Sprintf(format, args...)
	}
}

func (e *engines) fate() int {
	e.orders++
	return e.fates[e.orders%len(e.fates)]
}

// Reserve sets memory aside, or renews a lease.
func (e *engines) Reserve(ctx context.Context, target catalog.Target, id string, tokens int, hold time.Duration) error {
	e.mu.Lock()
	key := target.ID + "/" + id
	fate := e.fate()
	if fate == orderRefused && e.leases[key] == nil {
		e.mu.Unlock()
		return relay.ErrNoMemory
	}
	switch fate {
	case orderLost, orderStalls, orderRefused:
		e.excuses[key] = true
	default:
		e.leases[key] = &lease{tokens: tokens, until: time.Now().Add(hold)}
		e.excuses[key] = fate != orderDone
	}
	e.mu.Unlock()
	return answer(ctx, fate)
}

// Release ends a lease.
func (e *engines) Release(ctx context.Context, target catalog.Target, id string) error {
	e.mu.Lock()
	key := target.ID + "/" + id
	fate := e.fate()
	switch fate {
	case orderLost, orderStalls, orderRefused:
		e.excuses[key] = true
	default:
		delete(e.leases, key)
	}
	e.released[key] = true
	e.mu.Unlock()
	return answer(ctx, fate)
}

func answer(ctx context.Context, fate int) error {
	switch fate {
	case orderDone:
		return nil
	case answerLate, orderStalls:
		<-ctx.Done()
		return ctx.Err()
	}
	return errLost
}

// Send expects that all memory of the attempt is set aside, from its start to
// its end.
func (e *engines) Send(ctx context.Context, call relay.Call) (*relay.Response, error) {
	keys := make([]string, 0, len(call.Helpers))
	for _, h := range call.Helpers {
		if h.ReservationID != "" {
			keys = append(keys, h.Target.ID+"/"+h.ReservationID)
		}
	}
	e.begin(ctx, keys)
	defer e.end(keys)
	done := make(chan struct{})
	defer close(done)
	go e.watch(keys, done)
	return e.transport.Send(ctx, call)
}

func (e *engines) begin(ctx context.Context, keys []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, key := range keys {
		e.inUse[key] = ctx
		if !e.valid(key) {
			e.failf("an attempt begins without the memory of %s", key)
		}
	}
}

func (e *engines) end(keys []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, key := range keys {
		delete(e.inUse, key)
	}
}

// reading reports whether an attempt that nobody has ended uses a lease.
func (e *engines) reading(key string) bool {
	ctx := e.inUse[key]
	return ctx != nil && ctx.Err() == nil
}

func (e *engines) valid(key string) bool {
	l := e.leases[key]
	return l != nil && time.Now().Before(l.until)
}

// watch looks whether leases are renewed as long as the attempt goes on.
func (e *engines) watch(keys []string, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(100 * time.Millisecond):
		}
		e.mu.Lock()
		for _, key := range keys {
			if e.reading(key) && !e.valid(key) && !e.excuses[key] {
				e.failf("the lease of %s ran out while its prompt is read", key)
			}
			if e.reading(key) && e.released[key] {
				e.failf("%s is released while its prompt is read", key)
			}
		}
		e.mu.Unlock()
	}
}

// checkReleased expects that only what the host cannot know is still set aside.
func (e *engines) checkReleased() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for key := range e.leases {
		if e.valid(key) && !e.excuses[key] {
			e.failf("%s is held by nobody", key)
		}
	}
}

// hugeRequest is a prompt over the memory of one engine.
type hugeRequest struct {
	tokens int
	start  time.Duration
	script script
	leaves time.Duration // when its caller leaves, 0: never
}

func drawHuge(t *rapid.T) hugeRequest {
	scripts := []script{
		{status: 200, events: 3}, {status: 200, events: 3, breakAfter: 1}, {silent: true}, {shed: true, status: 503},
		{notSent: true}, {lost: true}, {status: 500, body: "failed"},
	}
	return hugeRequest{
		tokens: rapid.IntRange(240_000, 600_000).Draw(t, "tokens"),
		start:  time.Duration(rapid.IntRange(0, 2000).Draw(t, "start")) * time.Millisecond,
		script: rapid.SampledFrom(scripts).Draw(t, "script"),
		leaves: time.Duration(rapid.SampledFrom([]int{0, 0, 50, 700, 3500}).Draw(t, "leaves")) * time.Millisecond,
	}
}

// Orders to engines are refused, lost on either way or answered late, and
// attempts fail in all ways. No prompt is sent before all of its memory is set
// aside, none loses it while it is read, and afterwards nothing stays reserved
// that the host could know of.
func TestFuzzMemory(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fates := rapid.SliceOfN(rapid.SampledFrom(orderFates), 1, 30).Draw(rt, "fates")
		requests := rapid.SliceOfN(rapid.Custom(drawHuge), 1, 4).Draw(rt, "requests")
		var fault string
		synctest.Test(t, func(t *testing.T) { fault = playMemory(t.Context(), fates, requests) })
		if fault != "" {
			rt.Fatalf("%s", fault)
		}
	})
}

func playMemory(ctx context.Context, fates []int, requests []hugeRequest) string {
	scripts := make(map[string]script)
	e := &engines{
		transport: &transport{next: func(call relay.Call) script { return scripts[call.Request.URI] }},
		fates:     fates, leases: make(map[string]*lease), inUse: make(map[string]context.Context), released: make(map[string]bool), excuses: make(map[string]bool),
	}
	w := newWorldOver(e)
	for i, r := range requests {
		scripts[uri(i)] = r.script
	}
	var group sync.WaitGroup
	for i, r := range requests {
		group.Go(func() {
			time.Sleep(r.start)
			callCtx, cancel := context.WithCancel(ctx)
			defer cancel()
			if r.leaves > 0 {
				time.AfterFunc(r.leaves, cancel)
			}
			w.serve(callCtx, relay.Request{ID: fmt.Sprint("r", i), URI: uri(i), PromptTokens: r.tokens})
		})
	}
	group.Wait()
	w.relay.WaitForReleases(ctx)
	e.checkReleased()
	time.Sleep(2 * holdReservation)
	e.mu.Lock()
	defer e.mu.Unlock()
	for key := range e.leases {
		if e.valid(key) {
			e.failf("%s is renewed by nobody's host", key)
		}
	}
	return e.fault
}

func uri(i int) string { return fmt.Sprint("/chat/", i) }
