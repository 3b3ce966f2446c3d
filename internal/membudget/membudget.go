// Package membudget accounts for the memory that a process holds for other parties, such as
// request bodies and buffered responses, and bounds the sum over all connections. A part that
// would exceed the bound is refused before it is stored.
package membudget

import (
	"errors"
	"runtime"
	"sync"
	"sync/atomic"

	"go.uber.org/zap/zapcore"
)

// Kind says what memory is held for.
type Kind uint8

// The kinds of held memory.
const (
	RequestHead   Kind = iota // heads of callers' requests
	RequestBody               // bodies of callers' requests
	ResponseHead              // heads of targets' responses
	ResponseBody              // responses that are buffered whole
	Event                     // events of streams
	HostMessage               // messages of other hosts
	StoreResponse             // responses of the store
	kinds
)

var kindNames = [kinds]string{"request_head", "request_body", "response_head", "response_body", "event", "host_message", "store_response"}

// String returns the name of the kind in logs and metrics.
func (k Kind) String() string { return kindNames[k] }

// Kinds returns all kinds.
func Kinds() []Kind {
	out := make([]Kind, 0, kinds)
	for k := range kinds {
		out = append(out, k)
	}
	return out
}

const (
	// smallHolding is the size in bytes up to which a holding may use the whole budget.
	smallHolding = 128 << 10
	// largeFraction is the fraction of the budget that larger holdings may fill, so that
	// ordinary requests are served beside some that fill what they can.
	largeFraction = 0.75
)

// ErrExhausted means that the process cannot hold more for others. It says nothing of the
// party whose bytes did not fit.
var ErrExhausted = errors.New("the memory for other parties is used up; try again later or at another host")

// Budget is the memory that a process may hold for others. A nil Budget has no limit and
// counts nothing. It is safe for concurrent use.
type Budget struct {
	limit   atomic.Int64 // bytes; 0 for none
	held    atomic.Int64
	byKind  [kinds]atomic.Int64
	refused [kinds]atomic.Int64

	uncollected atomic.Int64 // bytes given back since the latest collection of garbage began
	collecting  sync.Mutex
}

// New returns a budget of a number of bytes, or one that only counts if limit is 0.
func New(limit int64) *Budget {
	b := &Budget{}
	b.SetLimit(limit)
	return b
}

// SetLimit changes the limit. What is held already stays, also beyond it.
func (b *Budget) SetLimit(limit int64) {
	if b != nil {
		b.limit.Store(max(limit, 0))
	}
}

// Hold returns an empty holding.
func (b *Budget) Hold(kind Kind) Holding { return Holding{budget: b, kind: kind} }

// Usage returns what is held now.
func (b *Budget) Usage() Usage {
	if b == nil {
		return Usage{}
	}
	u := Usage{Limit: b.limit.Load(), Held: b.held.Load()}
	for k := range kinds {
		u.ByKind[k] = b.byKind[k].Load()
		u.Refused[k] = b.refused[k].Load()
	}
	return u
}

// take reserves bytes for a holding that will have the given size.
func (b *Budget) take(kind Kind, bytes, size int64) error {
	limit := b.limit.Load()
	if size > smallHolding {
		limit = int64(largeFraction * float64(limit))
	}
	if held := b.held.Add(bytes); limit > 0 && held > limit {
		b.held.Add(-bytes)
		b.refused[kind].Add(1)
		return ErrExhausted
	}
	b.byKind[kind].Add(bytes)
	if b.exceeds(limit) {
		b.collect(limit)
	}
	return nil
}

func (b *Budget) giveBack(kind Kind, bytes int64) {
	b.held.Add(-bytes)
	b.byKind[kind].Add(-bytes)
	b.uncollected.Add(bytes)
}

// exceeds reports whether what is held exceeds a limit together with what was given back and
// may still take memory.
func (b *Budget) exceeds(limit int64) bool {
	return limit > 0 && b.held.Load()+b.uncollected.Load() > limit
}

// collect makes those who take memory wait for the garbage collector, which otherwise comes to
// what was given back later the busier the machine is.
func (b *Budget) collect(limit int64) {
	b.collecting.Lock()
	defer b.collecting.Unlock()
	if !b.exceeds(limit) {
		return // collected meanwhile
	}
	garbage := b.uncollected.Load()
	runtime.GC()
	b.uncollected.Add(-garbage)
}

// Usage is a snapshot of a budget, in bytes. Refused counts the parts that did not fit.
type Usage struct {
	Limit   int64 // 0 for none
	Held    int64
	ByKind  [kinds]int64
	Refused [kinds]int64
}

// MarshalLogObject adds the limit, the sum and the kinds of which anything is held.
func (u Usage) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	enc.AddInt64("limit_bytes", u.Limit)
	enc.AddInt64("held_bytes", u.Held)
	for k, bytes := range u.ByKind {
		if bytes > 0 {
			enc.AddInt64(Kind(k).String()+"_bytes", bytes)
		}
	}
	return nil
}
