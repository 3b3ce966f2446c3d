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

// CancelOptions configures a Canceller. Zero values take the defaults.
type CancelOptions struct {
	Queue        int           // cancels kept at most; further ones are left to the sweep
	InFlight     int           // sent at the same time
	Timeout      time.Duration // of one try
	FirstPause   time.Duration // after the first failed try; doubles, with jitter
	LongestPause time.Duration
}

func (o CancelOptions) withDefaults() CancelOptions {
	if o.Queue <= 0 {
		o.Queue = 4096
	}
	if o.InFlight <= 0 {
		o.InFlight = 16
	}
	if o.Timeout <= 0 {
		o.Timeout = 2 * time.Second
	}
	if o.FirstPause <= 0 {
		o.FirstPause = 50 * time.Millisecond
	}
	if o.LongestPause <= 0 {
		o.LongestPause = 5 * time.Second
	}
	return o
}

// CancelStats counts cancels.
type CancelStats struct {
	Pending      int    // not yet acknowledged
	Acknowledged uint64 // the engine said that the stream is gone
	Retries      uint64
	Expired      uint64 // given up at the deadline, when the engine drops the stream itself
	Overflow     uint64 // left to the sweep since the queue was full
}

// SendFunc sends one cancel and reports whether the engine held the stream.
type SendFunc func(ctx context.Context, target topology.Target, id string) (held bool, err error)

// Canceller cancels streams in the background. It tries again, with backoff
// and jitter, until the engine acknowledges or the stream's deadline passes.
// It is safe for concurrent use.
type Canceller struct {
	opts CancelOptions
	send SendFunc
	ctx  context.Context
	stop context.CancelFunc
	wake chan struct{}
	done sync.WaitGroup

	mu       sync.Mutex
	queue    cancelQueue
	inFlight map[string]int // by target
	flying   int
	stats    CancelStats
	idle     chan struct{} // closed while nothing is pending
}

type cancelItem struct {
	target    topology.Target
	id        string
	deadline  time.Time
	due       time.Time
	tries     int
	confirmed bool // the engine has said that it held the stream, so its not knowing it is final
}

// NewCanceller returns a canceller that sends with send. Close it to end its
// goroutines.
func NewCanceller(opts CancelOptions, send SendFunc) *Canceller {
	c := &Canceller{
		opts: opts.withDefaults(), send: send, wake: make(chan struct{}, 1),
		inFlight: make(map[string]int), idle: make(chan struct{}),
	}
	close(c.idle)
	c.ctx, c.stop = context.WithCancel(context.Background())
	c.done.Add(1)
	go c.loop()
	return c
}

// Close gives up what is pending and waits for the tries in flight.
func (c *Canceller) Close() {
	c.stop()
	c.done.Wait()
}

// Stats returns the counters.
func (c *Canceller) Stats() CancelStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats
}

// Cancel queues the cancel of stream id, which the engine drops by itself at
// deadline. An unconfirmed stream may still be on its way to the engine: that
// the engine does not know it is believed only the second time.
func (c *Canceller) Cancel(target topology.Target, id string, deadline time.Time, confirmed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stats.Pending >= c.opts.Queue || c.ctx.Err() != nil {
		c.stats.Overflow++
		return
	}
	if c.stats.Pending == 0 {
		c.idle = make(chan struct{})
	}
	c.stats.Pending++
	heap.Push(&c.queue, &cancelItem{target: target, id: id, deadline: deadline, due: time.Now(), confirmed: confirmed})
	c.poke()
}

// Drain waits until nothing is pending.
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
			return fmt.Errorf("%d cancels are not acknowledged; the sweep releases what they pin: %w", pending, ctx.Err())
		case <-c.ctx.Done():
			return errors.New("canceller is closed")
		case <-idle:
		}
	}
}

func (c *Canceller) poke() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *Canceller) loop() {
	defer c.done.Done()
	for {
		wait := c.launch(time.Now())
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

// launch starts the tries that are due and returns how long to wait for the next.
func (c *Canceller) launch(now time.Time) time.Duration {
	const noneDue = time.Hour
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.queue.Len() > 0 && c.flying < c.opts.InFlight {
		if wait := c.queue[0].due.Sub(now); wait > 0 {
			return wait
		}
		item := heap.Pop(&c.queue).(*cancelItem)
		if c.inFlight[item.target.ID] >= max(1, c.opts.InFlight/4) {
			item.due = now.Add(c.opts.FirstPause)
			heap.Push(&c.queue, item)
			continue
		}
		c.flying++
		c.inFlight[item.target.ID]++
		c.done.Add(1)
		go c.try(item)
	}
	return noneDue
}

func (c *Canceller) try(item *cancelItem) {
	defer c.done.Done()
	ctx, cancel := context.WithTimeout(c.ctx, c.opts.Timeout)
	held, err := c.send(ctx, item.target, item.id)
	cancel()
	c.settle(item, held, err, time.Now())
}

func (c *Canceller) settle(item *cancelItem, held bool, err error, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.landed(item.target.ID)
	switch {
	case err == nil && (held || item.confirmed):
		c.stats.Acknowledged++
		c.finish()
	case now.After(item.deadline):
		c.stats.Expired++
		c.finish()
	default:
		item.confirmed = item.confirmed || err == nil
		item.due = now.Add(c.pause(item.tries))
		item.tries++
		c.stats.Retries++
		heap.Push(&c.queue, item)
	}
	c.poke()
}

func (c *Canceller) landed(target string) {
	c.flying--
	c.inFlight[target]--
	if c.inFlight[target] == 0 {
		delete(c.inFlight, target)
	}
}

// finish counts an item out. The caller holds mu.
func (c *Canceller) finish() {
	c.stats.Pending--
	if c.stats.Pending == 0 {
		close(c.idle)
	}
}

// pause is a random time around FirstPause doubled tries times.
func (c *Canceller) pause(tries int) time.Duration {
	const most = 20 // doublings
	limit := min(c.opts.LongestPause, c.opts.FirstPause<<min(tries, most))
	return limit/2 + rand.N(limit/2+1)
}

// cancelQueue is a heap by the time at which an item is due.
type cancelQueue []*cancelItem

func (q cancelQueue) Len() int           { return len(q) }
func (q cancelQueue) Less(i, j int) bool { return q[i].due.Before(q[j].due) }
func (q cancelQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *cancelQueue) Push(x any) { *q = append(*q, x.(*cancelItem)) }

// Pop implements heap.Interface.
func (q *cancelQueue) Pop() any {
	old := *q
	item := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return item
}
