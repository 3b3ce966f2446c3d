package e2e_test

import (
	"fmt"
	"regexp"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

const measureWindow = 10 * time.Second

// BenchmarkIdleHost measures the resources that one host uses without requests at
// today's deployment size, seven hosts: CPU time, resident memory, bytes exchanged
// with peers and calls to the platform.
func BenchmarkIdleHost(b *testing.B) {
	c := newCluster(b, 7, 7)
	h := c.hosts[0]
	for b.Loop() {
		before := h.metrics(b)
		time.Sleep(measureWindow)
		after := h.metrics(b)
		delta := func(name string) float64 { return metricValue(b, after, name) - metricValue(b, before, name) }
		b.ReportMetric(100*delta("process_cpu_seconds_total")/measureWindow.Seconds(), "%core")
		b.ReportMetric(metricValue(b, after, "process_resident_memory_bytes")/(1<<20), "MiB-resident")
		b.ReportMetric(delta("plantainrun_control_bytes_out_total")/measureWindow.Seconds(), "B/s-out")
		b.ReportMetric(delta("plantainrun_control_bytes_in_total")/measureWindow.Seconds(), "B/s-in")
		b.ReportMetric(delta("plantainrun_platform_calls_total")/measureWindow.Seconds(), "platform-calls/s")
	}
}

// Load of one host at the planned deployment size.
const (
	concurrentStreams = 230
	tokensPerAnswer   = 340
	warmUpWindow      = 5 * time.Second
)

// BenchmarkLoadedHost measures the CPU time and resident memory that one host uses
// for 230 concurrent streams of short prompts with 40 ms between tokens.
func BenchmarkLoadedHost(b *testing.B) {
	c := newCluster(b, 1, 4, "--decode-interval=40ms", "--memory-tokens=4000000", "--prefill-rate=1000000")
	h := c.hosts[0]
	streams := startLoad(concurrentStreams, func(caller, round int) string {
		_, err := prompt(h, fmt.Sprintf("caller %d round %d", caller, round), tokensPerAnswer, eventTimeout)
		if err != nil {
			return err.Error()
		}
		return ""
	})
	time.Sleep(warmUpWindow)
	for b.Loop() {
		before := h.metrics(b)
		time.Sleep(measureWindow)
		after := h.metrics(b)
		delta := func(name string) float64 { return metricValue(b, after, name) - metricValue(b, before, name) }
		b.ReportMetric(100*delta("process_cpu_seconds_total")/measureWindow.Seconds(), "%core")
		b.ReportMetric(metricValue(b, after, "process_resident_memory_bytes")/(1<<20), "MiB-resident")
		b.ReportMetric(metricValue(b, after, `plantainrun_requests_in_progress\{interface="prompts"\}`), "streams")
	}
	gomega.NewWithT(b).Expect(streams.stop()).To(gomega.BeEmpty())
}

// metricValue returns the value of the sample whose name and labels match the
// pattern.
func metricValue(b *testing.B, metrics, name string) float64 {
	b.Helper()
	found := regexp.MustCompile(`(?m)^` + name + ` (\S+)$`).FindStringSubmatch(metrics)
	gomega.NewWithT(b).Expect(found).NotTo(gomega.BeNil(), name)
	v, err := strconv.ParseFloat(found[1], 64)
	gomega.NewWithT(b).Expect(err).NotTo(gomega.HaveOccurred())
	return v
}
