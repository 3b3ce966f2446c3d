package logging_test

import (
	"io"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/plantainrun/plantainrun/internal/logging"
)

// BenchmarkLine measures the time to log one line with the fields of an
// attempt. The line is written in the background, as in an entry host.
func BenchmarkLine(b *testing.B) {
	log := logging.NewNonBlocking(io.Discard).With(zap.String("request", "f4f8a37591515539"), zap.String("route", "chat"), zap.String("service", "llm"))
	b.ReportAllocs()
	for b.Loop() {
		log.Info("attempt", zap.String("target", "i-1f3adac32c"), zap.String("domain", "north"), zap.Duration("predicted_wait", 226*time.Millisecond),
			zap.Bool("late", false), zap.Strings("helpers", nil), zap.Int("prompt_tokens", 8469), zap.Duration("view_age", time.Second))
	}
}
