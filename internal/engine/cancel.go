package engine

import (
	"container/heap"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/plantainrun/plantainrun/internal/topology"
)

// CancelOptions configures a Canceller. Zero values are replaced by defaults.
type CancelOptions struct {
	MaxPending     int           // limit on unacknowledged cancellations; further ones are left to the sweep
	MaxInFlight    int           // limit on concurrent requests; one target may use at most a quarter of them
	AttemptTimeout time.Duration // timeout of one request
	InitialBackoff time.Duration // after the first failed request; doubles with each retry, with jitter
	MaxBackoff     time.Duration
}

func (o CancelOptions) withDefaults() CancelOptions {
	if o.MaxPending <= 0 {
		o.MaxPending = 4096
	}
	if o.MaxInFlight <= 0 {
		o.MaxInFlight = 16
	}
	if o.AttemptTimeout <= 0 {
		o.AttemptTimeout = 2 * time.Second
	}
	if o.InitialBackoff <= 0 {
		o.InitialBackoff = 50 * time.Millisecond
	}
	if o.MaxBackoff <= 0 {
		o.MaxBackoff = 5 * time.Second
	}
	return o
}

// CancelStats holds the counters of a Canceller.
type CancelStats struct {
	Pending      int    // cancellations not yet acknowledged
	Acknowledged uint64 // the engine confirmed that it no longer holds the stream
	Retries      uint64
	Expired      uint64 // abandoned after the deadline, at which the engine drops the stream itself
	Dropped      uint64 // not queued because the queue was full or the canceller closed; left to the sweep
}

// SendFunc sends one cancel request and reports whether the engine held the stream.
type SendFunc func(ctx context.Context, target topology.Target, id string) (held bool, err error)

// Canceller cancels streams in the background. It retries each cancellation with
// exponential backoff and jitter until the engine acknowledges it or the stream's
// deadline passes. It is safe for concurrent use.
type Canceller struct {
	opts CancelOptions
	send SendFunc
	ctx  context.Context
	stop context.CancelFunc
	wake chan struct{}
	wg   sync.WaitGroup

	mu               sync.Mutex
	queue            cancelQueue
	inFlightByTarget map[string]int // by target id
	inFlight         int
	stats            CancelStats
	idle             chan struct{} // closed while nothing is pending
}

type pendingCancel struct {
	target          topology.Target
	id              string
	deadline        time.Time
	nextAttempt     time.Time
	attempts        int
	notFoundIsFinal bool // a response that the stream is unknown acknowledges the cancellation
}

// NewCanceller returns a Canceller that sends requests with send. Close stops its
// goroutines.
func NewCanceller(opts CancelOptions, send SendFunc) *Canceller {
	c := &Canceller{
		opts: opts.withDefaults(), send: send, wake: make(chan struct{}, 1),
		inFlightByTarget: make(map[string]int), idle: make(chan struct{}),
	}
	close(c.idle)
	c.ctx, c.stop = context.WithCancel(context.Background())
	c.wg.Add(1)
	go c.loop()
	return c
}

// Close abandons pending cancellations and waits for the requests in flight to
// return.
func (c *Canceller) Close() {
	c.stop()
	c.wg.Wait()
}

// Stats returns a snapshot of the counters.
func (c *Canceller) Stats() CancelStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats
}

// Cancel queues the cancellation of stream id, which the engine drops by itself at
// deadline. If the engine has not accepted the stream yet, the prompt may still be
// in transit, so the first response that the stream is unknown is not trusted and
// the cancellation is sent once more.
func (c *Canceller) Cancel(target topology.Target, id string, deadline time.Time, accepted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stats.Pending >= c.opts.MaxPending || c.ctx.Err() != nil {
		c.stats.Dropped++
		return
	}
	if c.stats.Pending == 0 {
		c.idle = make(chan struct{})
	}
	c.stats.Pending++
	heap.Push(&c.queue, &pendingCancel{target: target, id: id, deadline: deadline, nextAttempt: time.Now(), notFoundIsFinal: accepted})
	c.wakeLoop()
}

// Drain waits until no cancellation is pending or ctx ends.
func (c *Canceller) Drain(ctx context.Context) error {
	for {
		c.mu.Lock()
		idle, pending := c.idle, c.stats.Pending
		c.mu.Unlock()
		if pending == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d cancellations are not acknowledged; the sweep will release the memory they pin: %w", pending, ctx.Err())
		case <-c.ctx.Done():
			return errors.New("canceller is closed")
		case <-idle:
		}
	}
}

func (c *Canceller) wakeLoop() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *Canceller) loop() {
	defer c.wg.Done()
	for {
		wait := c.startDue(time.Now())
		timer := time.NewTimer(wait)
		select {
		case <-c.ctx.Done():
			timer.Stop()
			return
		case <-c.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// startDue starts the requests that are due and returns the time until the next
// one is due.
func (c *Canceller) startDue(now time.Time) time.Duration {
	const idleWait = time.Hour
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.queue.Len() > 0 && c.inFlight < c.opts.MaxInFlight {
		if wait := c.queue[0].nextAttempt.Sub(now); wait > 0 {
			return wait
		}
		item := heap.Pop(&c.queue).(*pendingCancel)
		if c.inFlightByTarget[item.target.ID] >= max(1, c.opts.MaxInFlight/4) {
			item.nextAttempt = now.Add(c.opts.InitialBackoff)
			heap.Push(&c.queue, item)
			continue
		}
		c.inFlight++
		c.inFlightByTarget[item.target.ID]++
		c.wg.Add(1)
		go c.sendOnce(item)
	}
	return idleWait
}

func (c *Canceller) sendOnce(item *pendingCancel) {
	defer c.wg.Done()
	ctx, cancel := context.WithTimeout(c.ctx, c.opts.AttemptTimeout)
	held, err := c.send(ctx, item.target, item.id)
	cancel()
	c.handleResult(item, held, err, time.Now())
}

func (c *Canceller) handleResult(item *pendingCancel, held bool, err error, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releaseSlot(item.target.ID)
	switch {
	case err == nil && (held || item.notFoundIsFinal):
		c.stats.Acknowledged++
		c.removePending()
	case now.After(item.deadline):
		c.stats.Expired++
		c.removePending()
	default:
		item.notFoundIsFinal = item.notFoundIsFinal || err == nil
		item.nextAttempt = now.Add(c.backoff(item.attempts))
		item.attempts++
		c.stats.Retries++
		heap.Push(&c.queue, item)
	}
	c.wakeLoop()
}

func (c *Canceller) releaseSlot(target string) {
	c.inFlight--
	c.inFlightByTarget[target]--
	if c.inFlightByTarget[target] == 0 {
		delete(c.inFlightByTarget, target)
	}
}

// removePending decrements the number of pending cancellations. The caller holds
// mu.
func (c *Canceller) removePending() {
	c.stats.Pending--
	if c.stats.Pending == 0 {
		close(c.idle)
	}
}

// backoff returns the delay before the next retry: a random duration between half
// of and all of InitialBackoff doubled attempts times, capped at MaxBackoff.
func (c *Canceller) backoff(attempts int) time.Duration {
	const maxDoublings = 20
	limit := min(c.opts.MaxBackoff, c.opts.InitialBackoff<<min(attempts, maxDoublings))
	return limit/2 + rand.N(limit/2+1)
}

// cancelQueue is a min-heap ordered by nextAttempt.
type cancelQueue []*pendingCancel

func (q cancelQueue) Len() int           { return len(q) }
func (q cancelQueue) Less(i, j int) bool { return q[i].nextAttempt.Before(q[j].nextAttempt) }
func (q cancelQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *cancelQueue) Push(x any) { *q = append(*q, x.(*pendingCancel)) }

// Pop implements heap.Interface.
func (q *cancelQueue) Pop() any {
	old := *q
	item := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return item
}
