package engine

import (
	"time"
)

// Bounds says how long a connection may make no progress. The bound of a wait
// is remaining/Share, at least Floor and at most Ceiling, and never longer
// than the remaining time limit. After a connection has gone silent the stream
// therefore goes on elsewhere within an eighth of what remains (with the
// default Share), at most Ceiling, plus one round trip.
type Bounds struct {
	Share   int           // parts of the remaining time limit
	Floor   time.Duration // at least, when so much time remains
	Ceiling time.Duration // at most, without the allowances below
	// UploadRate is the least rate, in bytes per second, at which an engine
	// takes a prompt in; the wait for the first answer is longer by the
	// prompt's size over this rate.
	UploadRate float64
	// TokenInterval is the longest usual time between two tokens; the wait for
	// the next token is at least TokenIntervals times this.
	TokenInterval time.Duration
}

// TokenIntervals is how many usual intervals without a token count as silence.
const TokenIntervals = 10

// DefaultBounds suits engines on the same network.
func DefaultBounds() Bounds {
	return Bounds{
		Share:         8,
		Floor:         250 * time.Millisecond,
		Ceiling:       5 * time.Second,
		UploadRate:    20e6,
		TokenInterval: 40 * time.Millisecond,
	}
}

// withDefaults replaces what is zero.
func (b Bounds) withDefaults() Bounds {
	d := DefaultBounds()
	if b.Share <= 0 {
		b.Share = d.Share
	}
	if b.Floor <= 0 {
		b.Floor = d.Floor
	}
	if b.Ceiling <= 0 {
		b.Ceiling = d.Ceiling
	}
	if b.UploadRate <= 0 {
		b.UploadRate = d.UploadRate
	}
	if b.TokenInterval <= 0 {
		b.TokenInterval = d.TokenInterval
	}
	return b
}

// Answer bounds the wait for the first byte of an answer to a request of size
// bytes.
func (b Bounds) Answer(remaining time.Duration, size int64) time.Duration {
	upload := time.Duration(float64(size) / b.UploadRate * float64(time.Second))
	return min(remaining, b.share(remaining)+upload)
}

// Token bounds the wait for the next token.
func (b Bounds) Token(remaining time.Duration) time.Duration {
	return min(remaining, max(b.share(remaining), TokenIntervals*b.TokenInterval))
}

func (b Bounds) share(remaining time.Duration) time.Duration {
	return min(max(remaining/time.Duration(b.Share), b.Floor), b.Ceiling)
}
