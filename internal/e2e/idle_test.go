package e2e_test

import (
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

// value reads one unlabelled sample.
func value(b *testing.B, metrics, name string) float64 {
	b.Helper()
	found := regexp.MustCompile(`(?m)^` + name + ` (\S+)$`).FindStringSubmatch(metrics)
	gomega.NewWithT(b).Expect(found).NotTo(gomega.BeNil(), name)
	v, err := strconv.ParseFloat(found[1], 64)
	gomega.NewWithT(b).Expect(err).NotTo(gomega.HaveOccurred())
	return v
}
