package logging

import (
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/time/rate"
)

const (
	// maxLinesPerSecond and lineBurst bound the volume under load.
	maxLinesPerSecond = 400
	lineBurst         = 1200
	// queuedLines is how many lines may wait for a slow reader.
	queuedLines = 2048
	// dropReportInterval is how often dropped lines are reported.
	dropReportInterval = time.Second
)

// Bounded writes lines in the background. Lines above a rate, or that find the
// queue full since nobody reads, are dropped and counted. It implements
// zapcore.WriteSyncer and is safe for concurrent use.
type Bounded struct {
	out     io.Writer
	limiter *rate.Limiter
	lines   chan []byte
	dropped atomic.Int64
}

// NewBounded returns a writer to out that never blocks.
func NewBounded(out io.Writer) *Bounded {
	b := &Bounded{out: out, limiter: rate.NewLimiter(maxLinesPerSecond, lineBurst), lines: make(chan []byte, queuedLines)}
	go b.run()
	return b
}

// Write queues one line or drops it. It never fails.
func (b *Bounded) Write(line []byte) (int, error) {
	if !b.limiter.Allow() {
		b.dropped.Add(1)
		return len(line), nil
	}
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Sync waits a moment for queued lines.
func (b *Bounded) Sync() error {
	for range 20 {
		if len(b.lines) == 0 {
			return nil
		}
		time.Sleep(5 * time.Millisecond)
	}
	return nil
}

// Dropped is the number of lines that were not written.
func (b *Bounded) Dropped() int64 { return b.dropped.Load() }

func (b *Bounded) run() {
	for line := range b.lines {
		if _, err := b.out.Write(line); err != nil {
			b.dropped.Add(1) // there is nowhere left to report it but the counter
		}
	}
}

// NewNonBlocking returns a JSON logger on out that never blocks the caller. It
// reports how many lines were dropped.
func NewNonBlocking(out io.Writer) *zap.Logger {
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.EncodeDuration = zapcore.MillisDurationEncoder
	writer := NewBounded(out)
	log := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(cfg), writer, zapcore.InfoLevel))
	go reportDrops(log, writer)
	return log
}

func reportDrops(log *zap.Logger, writer *Bounded) {
	var reported int64
	for range time.Tick(dropReportInterval) {
		if n := writer.Dropped(); n > reported {
			reported = n
			log.Warn("log lines dropped", zap.Int64("total", n))
		}
	}
}
