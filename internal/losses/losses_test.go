package losses_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/internal/losses"
)

// The second host serves request f for the first one.
var logs = map[string]string{
	"host-a": `{"ts":"2026-01-07T02:18:40.0Z","msg":"started","host":"host-a","domain":"north"}
{"ts":"2026-01-07T02:18:40.1Z","msg":"attempt","request":"a","route":"chat","organisation":"school","prompt_tokens":900,"sends":1}
{"ts":"2026-01-07T02:18:40.2Z","msg":"first event","request":"a","route":"chat","sends":1}
{"ts":"2026-01-07T02:18:40.3Z","msg":"attempt ended","request":"a","route":"chat","outcome":"done","sends":1}
{"ts":"2026-01-07T02:18:40.1Z","msg":"attempt","request":"b","route":"chat","prompt_tokens":5000,"sends":1}
{"ts":"2026-01-07T02:18:41.1Z","msg":"answer late","request":"b","route":"chat","sends":1,"first_event":900,"objective":300,"sent_after":2,"predicted_wait":700}
{"ts":"2026-01-07T02:18:41.1Z","msg":"attempt ended","request":"b","route":"chat","outcome":"done","sends":1}
{"ts":"2026-01-07T02:18:41.1Z","msg":"answer late","request":"c","route":"chat","sends":1,"first_event":900,"objective":300,"sent_after":2,"predicted_wait":150}
{"ts":"2026-01-07T02:18:41.1Z","msg":"attempt ended","request":"c","route":"chat","outcome":"done","sends":1}
{"ts":"2026-01-07T02:18:41.1Z","msg":"answer late","request":"d","route":"chat","sends":1,"first_event":200,"objective":300,"longest_pause":700,"max_pause":250}
{"ts":"2026-01-07T02:18:41.2Z","msg":"attempt ended","request":"d","route":"chat","outcome":"done","sends":1}
{"ts":"2026-01-07T02:18:41.1Z","msg":"answer late","request":"e","route":"chat","sends":2,"first_event":900,"objective":300,"sent_after":2,"predicted_wait":150}
{"ts":"2026-01-07T02:18:41.2Z","msg":"attempt ended","request":"e","route":"chat","outcome":"done","sends":2}
{"ts":"2026-01-07T02:18:41.1Z","msg":"attempt ended","request":"f","route":"order","outcome":"done","sends":1}
{"ts":"2026-01-07T02:18:42.1Z","msg":"request refused","request":"g","route":"chat","reason":"backlogged","prompt_tokens":90000}
{"ts":"2026-01-07T02:18:42.1Z","msg":"request refused","request":"h","reason":"no_route"}
{"ts":"2026-01-07T02:18:42.1Z","msg":"caller left","request":"i","route":"chat","sends":1}
{"ts":"2026-01-07T02:18:42.1Z","msg":"stream aborted","request":"j","route":"chat","sends":1}
{"ts":"2026-01-07T02:18:42.1Z","msg":"answer late","request":"k","route":"chat","sends":1,"first_event":900,"objective":300,"sent_after":500,"waited_for_memory":true}
{"ts":"2026-01-07T02:18:42.1Z","msg":"attempt ended","request":"k","route":"chat","outcome":"done","sends":1}
{"ts":"2026-01-07T02:18:42.2Z","msg":"attempt","request":"l","route":"chat","sends":1}
{"ts":"2026-01-07T02:18:42.1Z","msg":"placement rejected, engines would begin too late","request":"m","route":"chat","short_of":"promises","prompt_tokens":90000}
{"ts":"2026-01-07T02:18:42.1Z","msg":"request refused","request":"m","route":"chat","reason":"backlogged","prompt_tokens":90000}
not a line
`,
	"host-b": `  40.2 host-b {"ts":"2026-01-07T02:18:41.0Z","msg":"request of another host","request":"f"}
  40.2 host-b {"ts":"2026-01-07T02:18:41.0Z","msg":"request refused","request":"f","reason":"overloaded"}
`,
}

func collect(g *WithT) *losses.Collector {
	c := losses.NewCollector()
	for host, text := range logs {
		g.Expect(c.Read(strings.NewReader(text), host)).To(Succeed())
	}
	return c
}

func TestEachRequestHasOneFateAndOneCause(t *testing.T) {
	g := NewWithT(t)
	got := make(map[string]string)
	for _, r := range collect(g).Requests() {
		got[r.ID] = strings.TrimSpace(fmt.Sprint(r.Fate, " ", r.Cause))
	}
	g.Expect(got).To(Equal(map[string]string{
		"a": "in time", "b": "late backlog", "c": "late slower_than_predicted", "d": "paused engine_paused", "e": "late retry", "f": "in time",
		"g": "refused backlogged", "h": "denied", "i": "left no_first_event", "j": "broken connection_lost", "k": "late memory_wait", "l": "unfinished", "m": "refused short_by_promises",
	}))
}

func TestReportAddsUpToAllRequests(t *testing.T) {
	g := NewWithT(t)
	requests := collect(g).Requests()
	report := losses.NewReport(requests)
	for name, groups := range map[string][]losses.Group{"route": report.ByRoute, "organisation": report.ByOrganisation, "domain": report.ByDomain, "second": report.BySecond} {
		sum := 0
		for _, group := range groups {
			fates := 0
			for _, f := range group.Fates {
				fates += f.Requests
			}
			g.Expect(fates).To(Equal(group.Requests), name)
			sum += group.Requests
		}
		g.Expect(sum).To(Equal(len(requests)), name)
	}
	lost := 0
	for _, c := range report.Total.Causes {
		lost += c.Requests
	}
	g.Expect(lost).To(Equal(9))
	g.Expect(report.ByDomain[0].Name).To(Equal("north"))
	var text, js bytes.Buffer
	g.Expect(report.WriteText(&text)).To(Succeed())
	g.Expect(text.String()).To(ContainSubstring("backlogged"))
	g.Expect(report.WriteJSON(&js)).To(Succeed())
	g.Expect(js.String()).To(ContainSubstring(`"by_second"`))
}

// A million lines are to be read in less than ten seconds, with less than 200 MB.
func BenchmarkMillionLines(b *testing.B) {
	const requests = 250_000
	var text bytes.Buffer
	for i := range requests {
		id := fmt.Sprintf("%016x", i)
		fmt.Fprintf(&text, `{"level":"info","ts":"2026-01-07T02:%02d:40.1Z","msg":"attempt","organisation":"o%d","target":"i-6ff3cfb769","domain":"north","predicted_wait":68,"late":false,"helpers":[],"prompt_tokens":4281,"view_age":1976,"request":"%s","route":"chat","service":"llm","sends":1,"elapsed":0}`+"\n", i%60, i%24, id)
		fmt.Fprintf(&text, `{"level":"info","ts":"2026-01-07T02:18:40.2Z","msg":"first event","target":"i-6ff3cfb769","predicted_wait":68,"request":"%s","route":"chat","service":"llm","sends":1,"elapsed":28}`+"\n", id)
		fmt.Fprintf(&text, `{"level":"info","ts":"2026-01-07T02:18:40.2Z","msg":"answer late","first_event":900,"objective":300,"longest_pause":20,"max_pause":250,"sent_after":1,"predicted_wait":68,"request":"%s","route":"chat","service":"llm","sends":1,"elapsed":28}`+"\n", id)
		fmt.Fprintf(&text, `{"level":"info","ts":"2026-01-07T02:18:40.3Z","msg":"attempt ended","outcome":"done","target":"i-6ff3cfb769","request":"%s","route":"chat","service":"llm","sends":1,"elapsed":128}`+"\n", id)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		c := losses.NewCollector()
		if err := c.Read(bytes.NewReader(text.Bytes()), "host"); err != nil {
			b.Fatal(err)
		}
		losses.NewReport(c.Requests())
	}
}
