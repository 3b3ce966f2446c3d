package retry

import (
	"math"
	"sync"
	"time"

	"github.com/plantainrun/plantainrun/coord/clock"
)

// earnedDecay is the time constant, as a fraction of the window, with which retries that first
// attempts have earned expire. It bounds what many hosts can have saved together.
const earnedDecay = 1. / 4

// FleetConfig configures a FleetBudget.
type FleetConfig struct {
	Ratio  float64       // retries per first attempt
	Burst  float64       // retries in a window beyond that, of all hosts together
	Window time.Duration // in which retries are bounded; must be positive
	// FillAfter is the time after the start from which the host's part of Burst becomes
	// available, so that the host has learned how many others there are.
	FillAfter time.Duration
	Clock     clock.Clock
	Random    func() float64 // in [0, 1); called by one goroutine at a time
}

// Decision is the answer to whether a retry is allowed.
type Decision struct {
	Allowed   bool
	Available float64 // retries that the host had left for the key before
}

// FleetBudget is one host's part of a bound on the retries of all hosts, which needs no messages
// between them. It has two parts for each key, each of up to half of the host's share of Burst.
// First attempts earn retries (one at least can be saved), which expire soon. A reserve fills
// within one window.
//
// Both parts are empty when a process starts, so a process that takes another one's place
// has nothing that the other one may have spent. If the shares of all hosts add up to one at
// most, they are therefore expected to make no more retries in a window, however often they
// restart, than Burst + Ratio * first attempts, where those shortly before the window count in part.
//
// The part of one host may be less than one retry. It then allows a retry with that
// probability. A FleetBudget is safe for concurrent use.
type FleetBudget struct {
	cfg       FleetConfig
	startedAt time.Time

	mu      sync.Mutex
	credits map[string]*credit
}

// credit is what a host has for one key.
type credit struct {
	earned    float64 // retries
	filled    float64 // fraction of the reserve, from 0 to 1
	updatedAt time.Time
}

// NewFleetBudget returns an empty budget. Its keys, such as services, are kept for good.
func NewFleetBudget(cfg FleetConfig) *FleetBudget {
	return &FleetBudget{cfg: cfg, startedAt: cfg.Clock.Now(), credits: make(map[string]*credit)}
}

// RecordFirstAttempt counts a first attempt for key.
func (b *FleetBudget) RecordFirstAttempt(key string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit(key).earned += b.cfg.Ratio
}

// Decide decides whether a retry is allowed for key, and counts the retry if so. share is the
// host's share of Burst, from 0 to 1.
func (b *FleetBudget) Decide(key string, share float64) Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.credit(key)
	capacity := share * b.cfg.Burst / 2
	c.earned = min(c.earned, max(capacity, 1))
	decision := Decision{Available: c.earned + c.filled*capacity}
	if decision.Available < 1 {
		decision.Allowed = b.cfg.Random() < decision.Available
		c.earned, c.filled = 0, 0
		return decision
	}
	decision.Allowed = true
	fromReserve := max(1-c.earned, 0)
	c.earned = max(c.earned-1, 0)
	if fromReserve > 0 {
		c.filled -= fromReserve / capacity
	}
	return decision
}

// credit returns the credit for key as of now. The caller holds mu.
func (b *FleetBudget) credit(key string) *credit {
	now := b.cfg.Clock.Now()
	c := b.credits[key]
	if c == nil {
		c = &credit{updatedAt: b.startedAt}
		b.credits[key] = c
	}
	c.earned *= math.Exp(-b.windows(c.updatedAt, now) / earnedDecay)
	c.filled = min(c.filled+b.windows(b.fillsFrom(c.updatedAt), now), 1)
	c.updatedAt = now
	return c
}

// fillsFrom returns the later of t and the time from which reserves fill.
func (b *FleetBudget) fillsFrom(t time.Time) time.Time {
	if begin := b.startedAt.Add(b.cfg.FillAfter); t.Before(begin) {
		return begin
	}
	return t
}

// windows returns the time from one moment to another in windows, 0 if it is negative.
func (b *FleetBudget) windows(from, to time.Time) float64 {
	return max(to.Sub(from).Seconds(), 0) / b.cfg.Window.Seconds()
}
