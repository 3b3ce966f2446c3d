package relay_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/coord/outcome"
	"github.com/plantainrun/plantainrun/internal/catalog"
	"github.com/plantainrun/plantainrun/internal/relay"
)

// The targets of a plain service, and the load on them.
const (
	plainTargets        = 3
	plainSlots          = 6
	plainQueue          = 24
	plainRunTime        = 60 * time.Millisecond
	limitedPeriod       = 20 * time.Second
	limitedKey          = "key-2"
	limitedOrganisation = "limited"
)

// busyTargets run requests in slots, and state that they did not run those that find no place.
// Some answer with a status alone that a request did not run.
type busyTargets struct {
	fakeTransport
	failsAlone func(call relay.Call) bool

	placeMu sync.Mutex
	placed  map[string]int // requests in slots and queues, by target
	slots   map[string]chan struct{}
}

func newBusyTargets(failsAlone func(call relay.Call) bool) *busyTargets {
	b := &busyTargets{failsAlone: failsAlone, placed: make(map[string]int), slots: make(map[string]chan struct{})}
	for i := range plainTargets {
		b.slots[fmt.Sprint("orders-", i)] = make(chan struct{}, plainSlots)
	}
	return b
}

func (b *busyTargets) place(target string, n int) bool {
	b.placeMu.Lock()
	defer b.placeMu.Unlock()
	if n > 0 && b.placed[target] >= plainSlots+plainQueue {
		return false
	}
	b.placed[target] += n
	return true
}

func (b *busyTargets) Send(ctx context.Context, call relay.Call) (*relay.Response, error) {
	resp := &relay.Response{Status: http.StatusOK, Header: http.Header{}, Authentic: true, Body: io.NopCloser(strings.NewReader("done"))}
	if b.failsAlone(call) {
		resp.Status = http.StatusTooManyRequests
		return resp, nil
	}
	if !b.place(call.Target.ID, 1) {
		resp.Status, resp.NotExecuted, resp.Authentic = http.StatusServiceUnavailable, true, false
		return resp, nil
	}
	defer b.place(call.Target.ID, -1)
	select {
	case b.slots[call.Target.ID] <- struct{}{}:
		defer func() { <-b.slots[call.Target.ID] }()
	case <-ctx.Done():
		return nil, &relay.SendError{MaybeSent: true, Cause: ctx.Err()}
	}
	time.Sleep(plainRunTime)
	return resp, nil
}

// Retries that a ratioBudget allows: a ratio of the first attempts, and a burst.
const (
	retryRatio = 0.2
	retryBurst = 10
)

// ratioBudget is a retry budget that does not forget.
type ratioBudget struct {
	mu             sync.Mutex
	first, retries int
}

func (r *ratioBudget) RecordFirstAttempt(string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.first++
}

func (r *ratioBudget) DecideRetry(string) relay.RetryDecision {
	r.mu.Lock()
	defer r.mu.Unlock()
	if float64(r.retries) >= retryRatio*float64(r.first)+retryBurst {
		return relay.RetryDecision{}
	}
	r.retries++
	return relay.RetryDecision{Allowed: true}
}

// callersCount counts requests of some callers.
type callersCount struct{ all, served, promised int }

func (c *callersCount) add(r *recordedResponse) {
	c.all++
	if r.status == http.StatusOK {
		c.served++
	}
	if outcome.PromisesNotRun(r.status) {
		c.promised++
	}
}

// playLimitedCaller plays requests of two organisations, half of which may be repeated, to a plain
// service, and counts those of one organisation and of all others.
func playLimitedCaller(t *testing.T, load, limitedShare float64, failsAlone func(relay.Call) bool) (limited, others callersCount) {
	source := newFakeSource()
	source.grow(plainTargets)
	source.config = catalog.NewConfig(3, catalog.Limits{BodyBytes: 1 << 20}, newRoutes(), []catalog.Service{{Name: "orders"}}, []catalog.KeyHolder{
		{Organisation: catalog.Organisation{Name: "school"}, Keys: []string{validKey}},
		{Organisation: catalog.Organisation{Name: limitedOrganisation}, Keys: []string{limitedKey}},
	})
	for i := range source.targets {
		source.targets[i].Slots = plainSlots
	}
	w := &harness{views: newStaticView(source)}
	w.startWithBudget(newBusyTargets(failsAlone), &ratioBudget{}, nil, nil)
	random := rand.New(rand.NewPCG(1, 2))
	perSecond := load * plainTargets * plainSlots / plainRunTime.Seconds()
	var mu sync.Mutex
	var requests sync.WaitGroup
	for start := time.Now(); time.Since(start) < limitedPeriod; time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))) {
		key, count := validKey, &others
		if random.Float64() < limitedShare {
			key, count = limitedKey, &limited
		}
		req := relay.Request{URI: []string{"/order/1", "/status/1"}[random.IntN(2)], Key: key, Body: []byte(fmt.Sprint(random.Int()))}
		requests.Go(func() {
			r := w.serve(t.Context(), req)
			mu.Lock()
			defer mu.Unlock()
			count.add(r)
		})
	}
	requests.Wait()
	return limited, others
}

// Guards against answering the load of a service whose targets fail with the status of a refusal
// in a way that costs sound requests: a target that fails so must not draw requests because it
// fails fast, and one that limits a single caller must not be lost to all the others.
func TestTargetsThatFailWithTheStatusOfARefusalCostOthersNoRequests(t *testing.T) {
	const minServed = 0.98 // of the requests of callers that are not limited
	for name, failsAlone := range map[string]func(relay.Call) bool{
		"one target limits a caller": func(c relay.Call) bool { return c.Organisation == limitedOrganisation && c.Target.ID == "orders-0" },
		"all targets limit a caller": func(c relay.Call) bool { return c.Organisation == limitedOrganisation },
		"one target fails":           func(c relay.Call) bool { return c.Target.ID == "orders-0" },
		"one target fails in one third": func(c relay.Call) bool {
			return c.Target.ID == "orders-0" && c.Request.Body[len(c.Request.Body)-1]%3 == 0
		},
	} {
		for _, load := range []float64{0.05, 0.4, 0.6} { // two of the three targets can bear it
			for _, share := range []float64{0.1, 0.5} {
				t.Run(fmt.Sprintf("%s, load %.2f, share %.1f", name, load, share), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						g := NewWithT(t)
						limited, others := playLimitedCaller(t, load, share, failsAlone)
						g.Expect(limited.promised + others.promised).To(BeZero())
						g.Expect(float64(others.served)).To(BeNumerically(">=", minServed*float64(others.all)), "of %d", others.all)
					})
				})
			}
		}
	}
}
