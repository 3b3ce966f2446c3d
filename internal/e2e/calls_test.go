package e2e_test

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/internal/engineapi"
	"github.com/plantainrun/plantainrun/internal/loopback"
	"github.com/plantainrun/plantainrun/internal/openai"
	"github.com/plantainrun/plantainrun/internal/standin/engine"
	"github.com/plantainrun/plantainrun/internal/standin/service"
)

func keyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func freeAddr(t testing.TB) netip.AddrPort {
	t.Helper()
	addr, err := loopback.FreeAddr()
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	return addr
}

// reply is an HTTP response whose body has been read completely.
type reply struct {
	status int
	header http.Header
	body   string
	err    openai.ErrorDetail
}

// callReservations makes a reservation at the service through h. It returns an
// error if no complete response was received.
func callReservations(h *host, ticket, body string) (reply, error) {
	req, err := http.NewRequest(http.MethodPost, h.url("/v1/services/enrolment/reservations"), strings.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	if ticket != "" {
		req.Header.Set("Idempotency-Key", ticket)
	}
	return readReply(req)
}

func readReply(req *http.Request) (reply, error) {
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{}, err
	}
	r := reply{status: resp.StatusCode, header: resp.Header, body: string(raw)}
	var failure openai.ErrorBody
	if json.Unmarshal(raw, &failure) == nil {
		r.err = failure.Error
	}
	return r, nil
}

// newTicket requests a ticket for the call from h.
func newTicket(t testing.TB, h *host, body string) string {
	t.Helper()
	g := gomega.NewWithT(t)
	r, err := callReservations(h, "", body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(r.status).To(gomega.Equal(http.StatusPreconditionRequired), r.body)
	return r.header.Get("Idempotency-Key")
}

// standinTimeout limits one request to a stand-in, which may stop answering on an
// open connection.
const standinTimeout = 5 * time.Second

// standinClient opens a new connection for each request to a stand-in.
var standinClient = &http.Client{Timeout: standinTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// runCount returns how often the service has run the call with the ticket, by its
// own count.
func runCount(t testing.TB, s process, ticket string) int {
	t.Helper()
	return runCounts(t, s)[ticket]
}

// runCounts returns how often the service has run the call with each ticket, by
// its own count.
func runCounts(t testing.TB, s process) map[string]int {
	t.Helper()
	g := gomega.NewWithT(t)
	resp, err := standinClient.Get("http://" + s.addr.String() + engineapi.PathStandinControl)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer resp.Body.Close()
	var counts service.Counts
	g.Expect(json.NewDecoder(resp.Body).Decode(&counts)).To(gomega.Succeed())
	return counts.RunsByTicket
}

// answer is the answer to a streamed prompt as far as it was received.
type answer struct {
	id       string
	status   int
	text     string
	tokens   int
	complete bool // the end marker was received
	err      openai.ErrorDetail
}

// prompt streams the answer to a prompt through h. Without a limit, the default
// time limit applies.
func prompt(h *host, text string, maxTokens int, limit time.Duration) (answer, error) {
	body, err := json.Marshal(struct {
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens"`
		Stream    bool   `json:"stream"`
	}{modelName, text, maxTokens, true})
	if err != nil {
		return answer{}, err
	}
	req, err := http.NewRequest(http.MethodPost, h.url("/v1/completions"), bytes.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	if limit > 0 {
		req.Header.Set("X-Time-Limit-Ms", formatInt(limit.Milliseconds()))
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	return readStream(resp)
}

func formatInt(n int64) string {
	raw, _ := json.Marshal(n)
	return string(raw)
}

func readStream(resp *http.Response) (answer, error) {
	a := answer{id: resp.Header.Get("X-Request-Id"), status: resp.StatusCode}
	if resp.StatusCode != http.StatusOK {
		var failure openai.ErrorBody
		err := json.NewDecoder(resp.Body).Decode(&failure)
		a.err = failure.Error
		return a, err
	}
	reader := bufio.NewReader(resp.Body)
	for {
		line, err := reader.ReadString('\n')
		if errors.Is(err, io.EOF) {
			return a, nil
		}
		if err != nil {
			return a, err
		}
		a.addLine(strings.TrimSpace(line))
	}
}

// addLine adds one line of the event stream to the answer.
func (a *answer) addLine(line string) {
	data, ok := strings.CutPrefix(line, "data: ")
	if !ok {
		return
	}
	if data == openai.DoneMarker {
		a.complete = true
		return
	}
	var event struct {
		openai.Response
		openai.ErrorBody
	}
	if json.Unmarshal([]byte(data), &event) != nil {
		return
	}
	if event.Error.Kind != "" {
		a.err = event.Error
	}
	for _, choice := range event.Choices {
		if choice.Text != nil && choice.FinishReason == nil {
			a.text += *choice.Text
			a.tokens++
		}
	}
}

// expectedText returns the complete answer of the stand-in engine to a prompt.
func expectedText(text string, tokens int) string { return engine.ResponseText(text, tokens) }
