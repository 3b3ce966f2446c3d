package retry_test

import (
	"flag"
	"fmt"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/plantainrun/plantainrun/coord/retry"
)

func init() { _ = flag.Set("rapid.seed", "1") }

// The oracle counts first tries and allowed retries.
func TestRetriesStayWithinTheFraction(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		cfg := retry.Config{
			Ratio:   rapid.SampledFrom([]float64{0, 0.1, 0.25, 1}).Draw(t, "ratio"),
			Burst:   rapid.IntRange(0, 5).Draw(t, "burst"),
			MaxKeys: rapid.IntRange(2, 6).Draw(t, "max keys"),
			Shards:  2,
		}
		b, err := retry.New(cfg)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		first, allowed := map[string]int{}, map[string]int{}
		totalFirst, totalAllowed := 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			key := fmt.Sprint("key-", rapid.IntRange(0, 9).Draw(t, "key"))
			if rapid.Bool().Draw(t, "first") {
				b.RecordFirstAttempt(key)
				first[key]++
				totalFirst++
				continue
			}
			if b.AllowRetry(key) {
				allowed[key]++
				totalAllowed++
			}
			bound := float64(cfg.Burst*cfg.MaxKeys) + cfg.Ratio*float64(totalFirst)
			g.Expect(float64(totalAllowed)).To(gomega.BeNumerically("<=", bound+1e-9))
			if b.Stats().Evicted == 0 {
				own := float64(cfg.Burst) + cfg.Ratio*float64(first[key])
				g.Expect(float64(allowed[key])).To(gomega.BeNumerically("<=", own+1e-9))
			}
		}
	})
}

func ExampleBudget() {
	b, _ := retry.New(retry.Config{Ratio: 0.5, Burst: 1, MaxKeys: 16, Shards: 1})
	b.RecordFirstAttempt("target-1")
	fmt.Println(b.AllowRetry("target-1"), b.AllowRetry("target-1"))
	b.RecordFirstAttempt("target-1")
	b.RecordFirstAttempt("target-1")
	fmt.Println(b.AllowRetry("target-1"))
	// Output:
	// true false
	// true
}
