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
	// maxLinesPerSecond and burstLines limit the log volume under load.
	maxLinesPerSecond = 400
	burstLines        = 1200
	// queueCapacity is the number of lines that may wait for a slow reader.
	queueCapacity = 2048
	// maxQueuedBytes is the size of these lines together: they quote what callers send.
	maxQueuedBytes = 4 << 20
	// dropReportInterval is the time between reports of dropped lines.
	dropReportInterval = time.Second
)

// BoundedWriter writes log lines in the background. Lines that exceed the rate
// limit, or that find the queue full because the reader is slow, are dropped
// and counted. It implements zapcore.WriteSyncer and is safe for concurrent
// use.
type BoundedWriter struct {
	out     io.Writer
	limiter *rate.Limiter
	queue   chan []byte
	queued  atomic.Int64 // bytes in the queue
	dropped atomic.Int64
}

// NewBoundedWriter returns a writer to out whose Write never blocks.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	b := &BoundedWriter{out: out, limiter: rate.NewLimiter(maxLinesPerSecond, burstLines), queue: make(chan []byte, queueCapacity)}
	go b.writeLoop()
	return b
}

// Write enqueues a line or drops it. It never blocks and never fails.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	if !b.limiter.Allow() {
		b.dropped.Add(1)
		return len(line), nil
	}
	size := int64(len(line))
	if b.queued.Add(size) > maxQueuedBytes {
		b.queued.Add(-size)
		b.dropped.Add(1)
		return len(line), nil
	}
	select {
	case b.queue <- append([]byte(nil), line...):
	default:
		b.queued.Add(-size)
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Sync waits up to 100 ms for the queue to empty.
func (b *BoundedWriter) Sync() error {
	for range 20 {
		if len(b.queue) == 0 {
			return nil
		}
		time.Sleep(5 * time.Millisecond)
	}
	return nil
}

// Dropped returns the number of lines that were not written.
func (b *BoundedWriter) Dropped() int64 { return b.dropped.Load() }

func (b *BoundedWriter) writeLoop() {
	for line := range b.queue {
		b.queued.Add(-int64(len(line)))
		if _, err := b.out.Write(line); err != nil {
			b.dropped.Add(1) // the log itself has failed, so only the counter can report it
		}
	}
}

// NewNonBlocking returns a JSON logger that writes to out and never blocks its
// callers. It logs the total number of dropped lines whenever it has grown.
func NewNonBlocking(out io.Writer) *zap.Logger {
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.EncodeDuration = zapcore.MillisDurationEncoder
	writer := NewBoundedWriter(out)
	log := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(cfg), writer, zapcore.InfoLevel))
	go reportDroppedLines(log, writer)
	return log
}

func reportDroppedLines(log *zap.Logger, writer *BoundedWriter) {
	var reported int64
	for range time.Tick(dropReportInterval) {
		if dropped := writer.Dropped(); dropped > reported {
			reported = dropped
			log.Warn("log lines dropped", zap.Int64("total", dropped))
		}
	}
}
