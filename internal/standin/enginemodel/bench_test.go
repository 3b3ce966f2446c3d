package enginemodel_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/plantainrun/plantainrun/internal/standin/enginemodel"
)

// BenchmarkEngine measures the cost of one request with a long prompt and a long
// response on a busy engine.
func BenchmarkEngine(b *testing.B) {
	cfg := enginemodel.Config{
		MemoryTokens: 4_000_000, PrefillRate: 50_000, DecodeInterval: 25 * time.Millisecond, MaxBatch: 64,
		CacheTokens: 500_000, ReportLag: 5 * time.Second,
	}
	e := enginemodel.New(cfg, epoch, 1)
	now := epoch
	hashes := make([]uint64, 16)
	for i := 0; b.Loop(); i++ {
		now = now.Add(200 * time.Millisecond)
		for j := range hashes {
			hashes[j] = uint64(i%50*len(hashes) + j)
		}
		_ = e.Submit(now, enginemodel.Job{
			ID: strconv.Itoa(i), PromptTokens: 10_000, MaxTokens: 300, Priority: i % 4, Deadline: now.Add(time.Minute),
			PrefixHashes: hashes, BlockTokens: 512,
		})
		e.Advance(now)
		e.Load(now)
	}
}
