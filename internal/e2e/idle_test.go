package e2e_test

import (
	"fmt"
	"regexp"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

const idleWindow = 10 * time.Second

// BenchmarkIdleHost measures what a host of today's size spends while nobody
// calls: processor time, resident memory, and bytes to peers.
func BenchmarkIdleHost(b *testing.B) {
	c := newCluster(b, 7, 7)
	h := c.hosts[0]
	for b.Loop() {
		before := h.metrics(b)
		time.Sleep(idleWindow)
		after := h.metrics(b)
		spent := func(name string) float64 { return value(b, after, name) - value(b, before, name) }
		b.ReportMetric(100*spent("process_cpu_seconds_total")/idleWindow.Seconds(), "%core")
		b.ReportMetric(value(b, after, "process_resident_memory_bytes")/(1<<20), "MiB-resident")
		b.ReportMetric(spent("plantainrun_control_bytes_out_total")/idleWindow.Seconds(), "B/s-out")
		b.ReportMetric(spent("plantainrun_control_bytes_in_total")/idleWindow.Seconds(), "B/s-in")
		b.ReportMetric(spent("plantainrun_platform_calls_total")/idleWindow.Seconds(), "platform-calls/s")
	}
}

// The load of one host at the target size.
const (
	loadedStreams = 230
	loadedTokens  = 340 // of each answer
	settleWindow  = 5 * time.Second
)

// BenchmarkLoadedHost measures what one host spends on streams: 230 at a time
// with 40 ms between tokens, short prompts.
func BenchmarkLoadedHost(b *testing.B) {
	c := newCluster(b, 1, 4, "--decode-interval=40ms", "--memory-tokens=4000000", "--prefill-rate=1000000")
	h := c.hosts[0]
	streams := startLoad(loadedStreams, func(caller, round int) string {
		_, err := prompt(h, fmt.Sprintf("caller %d round %d", caller, round), loadedTokens, stateWait)
		if err != nil {
			return err.Error()
		}
		return ""
	})
	time.Sleep(settleWindow)
	for b.Loop() {
		before := h.metrics(b)
		time.Sleep(idleWindow)
		after := h.metrics(b)
		spent := func(name string) float64 { return value(b, after, name) - value(b, before, name) }
		b.ReportMetric(100*spent("process_cpu_seconds_total")/idleWindow.Seconds(), "%core")
		b.ReportMetric(value(b, after, "process_resident_memory_bytes")/(1<<20), "MiB-resident")
		b.ReportMetric(value(b, after, `plantainrun_requests_in_progress\{interface="prompts"\}`), "streams")
	}
	gomega.NewWithT(b).Expect(streams.end()).To(gomega.BeEmpty())
}

// value reads one sample.
func value(b *testing.B, metrics, name string) float64 {
	b.Helper()
	found := regexp.MustCompile(`(?m)^` + name + ` (\S+)$`).FindStringSubmatch(metrics)
	gomega.NewWithT(b).Expect(found).NotTo(gomega.BeNil(), name)
	v, err := strconv.ParseFloat(found[1], 64)
	gomega.NewWithT(b).Expect(err).NotTo(gomega.HaveOccurred())
	return v
}
