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

// Outcomes of a reserve or release call to an engine.
const (
	callSucceeds = iota
	callRefused
	requestLost  // lost on the way to the engine
	responseLost // processed, but the response is lost
	responseLate // processed, but the response arrives after the call's timeout
	callHangs    // not processed, and the call times out
)

var callOutcomes = []int{callSucceeds, callSucceeds, callSucceeds, callSucceeds, callRefused, requestLost, responseLost, responseLate, callHangs}

var errNoResponse = errors.New("no response")

// lease is memory that an engine has reserved.
type lease struct {
	tokens  int
	expires time.Time
}

// fakeEngines is a transport that simulates the engines' leases and checks the
// reservation invariants.
type fakeEngines struct {
	*fakeTransport
	outcomes []int

	mu     sync.Mutex
	calls  int
	leases map[string]*lease
	inUse  map[string]context.Context // leases of attempts in progress
	// released holds the leases that the host has released, uncertain those
	// whose last call has an outcome that the host cannot know.
	released, uncertain map[string]bool
	violation           string
}

func (e *fakeEngines) failf(format string, args ...any) {
	if e.violation == "" {
		e.violation = fmt.Sprintf(format, args...)
	}
}

func (e *fakeEngines) nextOutcome() int {
	e.calls++
	return e.outcomes[e.calls%len(e.outcomes)]
}

// Reserve creates or renews a lease, depending on the outcome of the call.
func (e *fakeEngines) Reserve(ctx context.Context, target catalog.Target, id string, tokens int, leaseDuration time.Duration) error {
	e.mu.Lock()
	key := target.ID + "/" + id
	outcome := e.nextOutcome()
	if outcome == callRefused && e.leases[key] == nil {
		e.mu.Unlock()
		return relay.ErrNoMemory
	}
	switch outcome {
	case requestLost, callHangs, callRefused:
		e.uncertain[key] = true
	default:
		e.leases[key] = &lease{tokens: tokens, expires: time.Now().Add(leaseDuration)}
		e.uncertain[key] = outcome != callSucceeds
	}
	e.mu.Unlock()
	return respond(ctx, outcome)
}

// Release ends a lease, depending on the outcome of the call.
func (e *fakeEngines) Release(ctx context.Context, target catalog.Target, id string) error {
	e.mu.Lock()
	key := target.ID + "/" + id
	fate := e.nextOutcome()
	switch fate {
	case requestLost, callHangs, callRefused:
		e.uncertain[key] = true
	default:
		delete(e.leases, key)
	}
	e.released[key] = true
	e.mu.Unlock()
	return respond(ctx, fate)
}

func respond(ctx context.Context, outcome int) error {
	switch outcome {
	case callSucceeds:
		return nil
	case responseLate, callHangs:
		<-ctx.Done()
		return ctx.Err()
	}
	return errNoResponse
}

// Send checks that all memory of the attempt is reserved from its start to its
// end.
func (e *fakeEngines) Send(ctx context.Context, call relay.Call) (*relay.Response, error) {
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
	return e.fakeTransport.Send(ctx, call)
}

func (e *fakeEngines) begin(ctx context.Context, keys []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, key := range keys {
		e.inUse[key] = ctx
		if !e.valid(key) {
			e.failf("attempt started without the reservation %s", key)
		}
	}
}

func (e *fakeEngines) end(keys []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, key := range keys {
		delete(e.inUse, key)
	}
}

// inProgress reports whether a lease is used by an attempt that has not been
// cancelled.
func (e *fakeEngines) inProgress(key string) bool {
	ctx := e.inUse[key]
	return ctx != nil && ctx.Err() == nil
}

func (e *fakeEngines) valid(key string) bool {
	l := e.leases[key]
	return l != nil && time.Now().Before(l.expires)
}

// watch checks that leases are renewed while the attempt is in progress.
func (e *fakeEngines) watch(keys []string, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(100 * time.Millisecond):
		}
		e.mu.Lock()
		for _, key := range keys {
			if e.inProgress(key) && !e.valid(key) && !e.uncertain[key] {
				e.failf("the lease of %s expired during prefill", key)
			}
			if e.inProgress(key) && e.released[key] {
				e.failf("%s was released during prefill", key)
			}
		}
		e.mu.Unlock()
	}
}

// checkReleased checks that the only leases left are those whose last call has an
// outcome that the host cannot know.
func (e *fakeEngines) checkReleased() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for key := range e.leases {
		if e.valid(key) && !e.uncertain[key] {
			e.failf("lease %s was leaked", key)
		}
	}
}

// longPromptRequest is a request whose prompt exceeds the memory of one engine.
type longPromptRequest struct {
	tokens          int
	startAfter      time.Duration
	behaviour       behaviour
	disconnectAfter time.Duration // 0 if the caller stays connected
}

func drawLongPrompt(t *rapid.T) longPromptRequest {
	behaviours := []behaviour{
		{status: 200, events: 3}, {status: 200, events: 3, breakAfter: 1}, {unresponsive: true}, {refused: true, status: 503},
		{notSent: true}, {responseLost: true}, {status: 500, body: "failed"},
	}
	return longPromptRequest{
		tokens:          rapid.IntRange(240_000, 600_000).Draw(t, "tokens"),
		startAfter:      time.Duration(rapid.IntRange(0, 2000).Draw(t, "start")) * time.Millisecond,
		behaviour:       rapid.SampledFrom(behaviours).Draw(t, "script"),
		disconnectAfter: time.Duration(rapid.SampledFrom([]int{0, 0, 50, 700, 3500}).Draw(t, "leaves")) * time.Millisecond,
	}
}

// Reserve and release calls are refused, lost in either direction or answered
// late, and attempts fail in various ways. No prompt is sent before all of its
// memory is reserved, no reservation is lost during prefill, and afterwards no
// lease remains that the host could have released.
func TestFuzzReservations(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		outcomes := rapid.SliceOfN(rapid.SampledFrom(callOutcomes), 1, 30).Draw(rt, "fates")
		requests := rapid.SliceOfN(rapid.Custom(drawLongPrompt), 1, 4).Draw(rt, "requests")
		var violation string
		synctest.Test(t, func(t *testing.T) { violation = runReservations(t.Context(), outcomes, requests) })
		if violation != "" {
			rt.Fatalf("%s", violation)
		}
	})
}

func runReservations(ctx context.Context, outcomes []int, requests []longPromptRequest) string {
	behaviours := make(map[string]behaviour)
	e := &fakeEngines{
		fakeTransport: &fakeTransport{behaviourOf: func(call relay.Call) behaviour { return behaviours[call.Request.URI] }},
		outcomes:      outcomes, leases: make(map[string]*lease), inUse: make(map[string]context.Context), released: make(map[string]bool), uncertain: make(map[string]bool),
	}
	w := newHarnessWithTransport(e)
	for i, r := range requests {
		behaviours[uri(i)] = r.behaviour
	}
	var group sync.WaitGroup
	for i, r := range requests {
		group.Go(func() {
			time.Sleep(r.startAfter)
			callCtx, cancel := context.WithCancel(ctx)
			defer cancel()
			if r.disconnectAfter > 0 {
				time.AfterFunc(r.disconnectAfter, cancel)
			}
			w.serve(callCtx, relay.Request{ID: fmt.Sprint("r", i), URI: uri(i), PromptTokens: r.tokens})
		})
	}
	group.Wait()
	w.relay.WaitForReleases(ctx)
	e.checkReleased()
	time.Sleep(2 * reservationLease)
	e.mu.Lock()
	defer e.mu.Unlock()
	for key := range e.leases {
		if e.valid(key) {
			e.failf("lease %s is still renewed after all requests have ended", key)
		}
	}
	return e.violation
}

func uri(i int) string { return fmt.Sprint("/chat/", i) }
