package engine

import (
	"time"
)

// Timeouts says how long a connection may make no progress. The bound of a wait
// is remaining/Share, at least Floor and at most Ceiling, and never longer
// than the remaining time limit. After a connection has gone silent the stream
// therefore goes on elsewhere within an eighth of what remains (with the
// default Share), at most Ceiling, plus one round trip.
type Timeouts struct {
	Divisor int           // parts of the remaining time limit
	Min     time.Duration // at least, when so much time remains
	Max     time.Duration // at most, without the allowances below
	// MinUploadRate is the least rate, in bytes per second, at which an engine
	// takes a prompt in; the wait for the first answer is longer by the
	// prompt's size over this rate.
	MinUploadRate float64
	// TokenInterval is the longest usual time between two tokens; the wait for
	// the next token is at least TokenIntervals times this.
	TokenInterval time.Duration
}

// StallTokenIntervals is how many usual intervals without a token count as silence.
const StallTokenIntervals = 10

// DefaultTimeouts suits engines on the same network.
func DefaultTimeouts() Timeouts {
	return Timeouts{
		Divisor:       8,
		Min:           250 * time.Millisecond,
		Max:           5 * time.Second,
		MinUploadRate: 20e6,
		TokenInterval: 40 * time.Millisecond,
	}
}

// withDefaults replaces what is zero.
func (b Timeouts) withDefaults() Timeouts {
	d := DefaultTimeouts()
	if b.Divisor <= 0 {
		b.Divisor = d.Divisor
	}
	if b.Min <= 0 {
		b.Min = d.Min
	}
	if b.Max <= 0 {
		b.Max = d.Max
	}
	if b.MinUploadRate <= 0 {
		b.MinUploadRate = d.MinUploadRate
	}
	if b.TokenInterval <= 0 {
		b.TokenInterval = d.TokenInterval
	}
	return b
}

// FirstByte bounds the wait for the first byte of an answer to a request of size
// bytes.
func (b Timeouts) FirstByte(remaining time.Duration, size int64) time.Duration {
	upload := time.Duration(float64(size) / b.MinUploadRate * float64(time.Second))
	return min(remaining, b.base(remaining)+upload)
}

// NextToken bounds the wait for the next token.
func (b Timeouts) NextToken(remaining time.Duration) time.Duration {
	return min(remaining, max(b.base(remaining), StallTokenIntervals*b.TokenInterval))
}

func (b Timeouts) base(remaining time.Duration) time.Duration {
	return min(max(remaining/time.Duration(b.Divisor), b.Min), b.Max)
}
