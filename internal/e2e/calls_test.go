package e2e_test

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/internal/engineapi"
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
	l, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	defer l.Close()
	return netip.MustParseAddrPort(l.Addr().String())
}

// reply is an answer read to its end.
type reply struct {
	status int
	header http.Header
	body   string
	err    openai.ErrorDetail
}

// callService calls the reservations of the plain service through h. The
// error is set when no whole answer came.
func callService(h *host, ticket, body string) (reply, error) {
	req, err := http.NewRequest(http.MethodPost, h.url("/v1/services/enrolment/reservations"), strings.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	if ticket != "" {
		req.Header.Set("Idempotency-Key", ticket)
	}
	return roundTrip(req)
}

func roundTrip(req *http.Request) (reply, error) {
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

// newTicket takes a ticket from h.
func newTicket(t testing.TB, h *host, body string) string {
	t.Helper()
	g := gomega.NewWithT(t)
	r, err := callService(h, "", body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(r.status).To(gomega.Equal(http.StatusPreconditionRequired), r.body)
	return r.header.Get("Idempotency-Key")
}

// askTimeout bounds one question to a stand-in, whose connection may go silent.
const askTimeout = 5 * time.Second

// standins asks stand-ins, on a new connection each time.
var standins = &http.Client{Timeout: askTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// runs is the service's own count of a ticket.
func runs(t testing.TB, s process, ticket string) int {
	t.Helper()
	return allRuns(t, s)[ticket]
}

// allRuns is the service's own count of all tickets.
func allRuns(t testing.TB, s process) map[string]int {
	t.Helper()
	g := gomega.NewWithT(t)
	resp, err := standins.Get("http://" + s.addr.String() + engineapi.PathStandinControl)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer resp.Body.Close()
	var counts service.Counts
	g.Expect(json.NewDecoder(resp.Body).Decode(&counts)).To(gomega.Succeed())
	return counts.RunsByTicket
}

// answer is a streamed answer.
type answer struct {
	id     string
	status int
	text   string
	tokens int
	whole  bool // with its end marker
	err    openai.ErrorDetail
}

// prompt streams a prompt through h.
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
		req.Header.Set("X-Time-Limit-Ms", jsonNumber(limit.Milliseconds()))
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	return readAnswer(resp)
}

func jsonNumber(n int64) string {
	raw, _ := json.Marshal(n)
	return string(raw)
}

func readAnswer(resp *http.Response) (answer, error) {
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
		a.take(strings.TrimSpace(line))
	}
}

func (a *answer) take(line string) {
	data, ok := strings.CutPrefix(line, "data: ")
	if !ok {
		return
	}
	if data == openai.DoneMarker {
		a.whole = true
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

// wholeText is what the stand-in engine answers to a prompt.
func wholeText(text string, tokens int) string { return engine.ResponseText(text, tokens) }
