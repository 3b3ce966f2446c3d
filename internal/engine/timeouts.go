package engine

import (
	"time"
)

// Timeouts configures how long a connection may make no progress before it is
// treated as stalled. The timeout of a wait is remaining/Divisor, clamped to the
// range from Min to Max, and never longer than the remaining time limit. A stream
// on a stalled connection is therefore resumed on another connection within one
// eighth of the remaining time (with the default Divisor), at most Max, plus one
// round trip.
type Timeouts struct {
	Divisor int           // the timeout is the remaining time limit divided by this
	Min     time.Duration // lower limit, unless less time remains
	Max     time.Duration // upper limit, before the extensions below
	// MinUploadRate is the lowest rate, in bytes per second, at which an engine
	// is expected to receive a prompt. The timeout for the first byte of the
	// response is extended by the request size divided by this rate.
	MinUploadRate float64
	// TokenInterval is the longest usual time between two tokens. The timeout for
	// the next token is at least StallTokenIntervals times this.
	TokenInterval time.Duration
}

// StallTokenIntervals is the smallest number of token intervals without a token
// after which a connection is treated as stalled.
const StallTokenIntervals = 10

// DefaultTimeouts returns timeouts for engines on the same network.
func DefaultTimeouts() Timeouts {
	return Timeouts{
		Divisor:       8,
		Min:           250 * time.Millisecond,
		Max:           5 * time.Second,
		MinUploadRate: 20e6,
		TokenInterval: 40 * time.Millisecond,
	}
}

// withDefaults replaces fields that are zero or negative by their defaults.
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

// FirstByte returns the timeout for the first byte of the response to a request
// of size bytes.
func (b Timeouts) FirstByte(remaining time.Duration, size int64) time.Duration {
	upload := time.Duration(float64(size) / b.MinUploadRate * float64(time.Second))
	return min(remaining, b.base(remaining)+upload)
}

// NextToken returns the timeout for the next token.
func (b Timeouts) NextToken(remaining time.Duration) time.Duration {
	return min(remaining, max(b.base(remaining), StallTokenIntervals*b.TokenInterval))
}

func (b Timeouts) base(remaining time.Duration) time.Duration {
	return min(max(remaining/time.Duration(b.Divisor), b.Min), b.Max)
}
