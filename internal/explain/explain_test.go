package explain_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/internal/explain"
)

const logA = `{"level":"info","ts":"2026-01-07T02:18:40.1Z","msg":"target no longer registered","target":"t1","revision":9}
not a line
{"level":"info","ts":"2026-01-07T02:18:40.2Z","msg":"attempt","request":"r1","target":"t1","predicted_wait":42}
{"level":"info","ts":"2026-01-07T02:18:40.3Z","msg":"attempt","request":"r2","target":"t2"}
{"level":"info","ts":"2026-01-07T02:18:40.3Z","msg":"target no longer registered","target":"t7"}
{"level":"info","ts":"2026-01-07T02:18:41.4Z","msg":"request refused","request":"r1","reason":"lost"}
{"level":"info","ts":"2026-01-07T02:19:41.4Z","msg":"store lost"}
`

func TestRequestHistory(t *testing.T) {
	g := NewWithT(t)
	lines, err := explain.Read(strings.NewReader(logA), "a.log")
	g.Expect(err).NotTo(HaveOccurred())
	other, err := explain.Read(strings.NewReader(`  40.2 host-b {"level":"info","ts":"2026-01-07T02:18:40.25Z","msg":"store lost"}`), "b.log")
	g.Expect(err).NotTo(HaveOccurred())
	history := explain.RequestHistory("r1", append(lines, other...))
	var messages []string
	for _, l := range history {
		messages = append(messages, l.Message)
	}
	g.Expect(messages).To(Equal([]string{"target no longer registered", "attempt", "request refused"}), "lines of other requests, targets and hosts, or outside the time window, are left out")
	var text strings.Builder
	g.Expect(explain.Write(&text, history)).To(Succeed())
	g.Expect(text.String()).To(ContainSubstring("predicted_wait=42"))
	g.Expect(text.String()).To(ContainSubstring("1.300 s"))
	g.Expect(other[0].Source).To(Equal("host-b"))
	g.Expect(explain.RequestHistory("r9", lines)).To(BeEmpty())
}
