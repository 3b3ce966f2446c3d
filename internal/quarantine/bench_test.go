package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/plantainrun/plantainrun/internal/quarantine"
)

// BenchmarkQuarantined measures the check of one prompt while broken answers have left
// many suspected parts behind.
func BenchmarkQuarantined(b *testing.B) {
	for _, suspects := range []int{0, 100, 1000} {
		b.Run(fmt.Sprint("suspects=", suspects), func(b *testing.B) {
			tr := quarantine.New(quarantine.Config{
				Now: time.Now, Report: func(quarantine.Answers) {}, HostCount: func() int { return 200 }, Log: zap.NewNop(),
			})
			for i := range suspects {
				part := fmt.Sprint("part-", i)
				tr.RecordAnswer([]string{part, part, part, part, part, part, part, part})
				for engine := range 8 {
					tr.RecordCrash(crashAt(engine, uint64(engine), part))
				}
			}
			for b.Loop() {
				tr.Quarantined([]string{"part-0", "part-1"})
			}
		})
	}
}
