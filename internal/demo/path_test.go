package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/plantainrun/plantainrun/internal/engineapi"
	"github.com/plantainrun/plantainrun/internal/logging"
)

func startDemo(tb testing.TB) *demo {
	tb.Helper()
	logging.RedirectGoZero(zap.NewNop())
	g := gomega.NewWithT(tb)
	s, err := startSystem(zap.NewNop())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	tb.Cleanup(s.close)
	d := &demo{system: s, out: io.Discard, client: &http.Client{Timeout: requestTimeout}}
	g.Expect(d.waitReady(context.Background())).To(gomega.Succeed())
	return d
}

func post(tb testing.TB, url string, header http.Header, body []byte) {
	tb.Helper()
	g := gomega.NewWithT(tb)
	req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	req.Header = header
	resp, err := http.DefaultClient.Do(req)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer resp.Body.Close()
	response, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusOK), string(response))
}

func (d *demo) sendViaHost(tb testing.TB, prompt string) {
	body, _ := json.Marshal(map[string]any{"model": model, "max_tokens": 1, "prompt": prompt})
	post(tb, "http://"+d.hosts[0].CallersAddr().String()+"/v1/completions", http.Header{"Authorization": {"Bearer " + callerKey}}, body)
}

func (d *demo) sendToEngine(tb testing.TB, id, prompt string) {
	body, _ := json.Marshal(engineapi.GenerateRequest{
		ID: id, Owner: "bench@1", DeadlineMS: time.Now().Add(time.Minute).UnixMilli(), Model: model, Prompt: prompt, MaxTokens: 1,
	})
	post(tb, "http://"+d.engines[0].Addr().String()+engineapi.PathGenerate, http.Header{engineapi.HeaderRequestID: {id}}, body)
}

// BenchmarkPath compares the latency of a short prompt through a host with that
// of the same prompt sent directly to the stand-in engine.
func BenchmarkPath(b *testing.B) {
	d := startDemo(b)
	var directTotal, hostTotal time.Duration
	n := 0
	for b.Loop() {
		n++
		prompt := fmt.Sprintf("short prompt %d", n)
		directStart := time.Now()
		d.sendToEngine(b, fmt.Sprint("direct-", n), prompt)
		hostStart := time.Now()
		d.sendViaHost(b, prompt)
		directTotal += hostStart.Sub(directStart)
		hostTotal += time.Since(hostStart)
	}
	b.ReportMetric(float64(hostTotal)/float64(directTotal), "ratio")
	b.ReportMetric(float64((hostTotal-directTotal).Microseconds())/float64(n), "added-us/op")
}

// maxCopies bounds the bytes that the whole process, caller and stand-in
// included, allocates for each byte of a large prompt.
const maxCopies = 24

func TestLargePromptIsCopiedABoundedNumberOfTimes(t *testing.T) {
	g := gomega.NewWithT(t)
	d := startDemo(t)
	prompt := strings.Repeat("word", 1<<18) // 262,144 tokens, which fit into one engine of the demonstration
	d.sendViaHost(t, prompt[:1<<10])
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	d.sendViaHost(t, prompt)
	runtime.ReadMemStats(&after)
	copies := float64(after.TotalAlloc-before.TotalAlloc) / float64(len(prompt))
	t.Logf("%.1f bytes allocated for each byte of the prompt, caller and stand-in included", copies)
	g.Expect(copies).To(gomega.BeNumerically("<", maxCopies))
}

func TestDemoPrintsCompleteStreamsAndOneServiceRun(t *testing.T) {
	g := gomega.NewWithT(t)
	var out strings.Builder
	g.Expect(Run(context.Background(), Options{Out: &out, Log: zap.NewNop()})).To(gomega.Succeed())
	g.Expect(strings.Count(out.String(), "whole: true")).To(gomega.Equal(5), out.String())
	g.Expect(out.String()).To(gomega.ContainSubstring("runs counted by the service: 1"))
}
