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
func (t Timeouts) withDefaults() Timeouts {
	d := DefaultTimeouts()
	if t.Divisor <= 0 {
		t.Divisor = d.Divisor
	}
	if t.Min <= 0 {
		t.Min = d.Min
	}
	if t.Max <= 0 {
		t.Max = d.Max
	}
	if t.MinUploadRate <= 0 {
		t.MinUploadRate = d.MinUploadRate
	}
	if t.TokenInterval <= 0 {
		t.TokenInterval = d.TokenInterval
	}
	return t
}

// FirstByte returns the timeout for the first byte of the response to a request
// of size bytes.
func (t Timeouts) FirstByte(remaining time.Duration, size int64) time.Duration {
	upload := time.Duration(float64(size) / t.MinUploadRate * float64(time.Second))
	return min(remaining, t.base(remaining)+upload)
}

// NextToken returns the timeout for the next token.
func (t Timeouts) NextToken(remaining time.Duration) time.Duration {
	return min(remaining, max(t.base(remaining), StallTokenIntervals*t.TokenInterval))
}

// base returns the timeout without extensions.
func (t Timeouts) base(remaining time.Duration) time.Duration {
	return min(max(remaining/time.Duration(t.Divisor), t.Min), t.Max)
}
