package engine_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/plantainrun/plantainrun/coord/outcome"
	"github.com/plantainrun/plantainrun/internal/engine"
	"github.com/plantainrun/plantainrun/internal/engineapi"
	standin "github.com/plantainrun/plantainrun/internal/standin/engine"
	"github.com/plantainrun/plantainrun/internal/topology"
)

// scriptedResponse is what a fake engine sends in response to any request on one
// connection.
type scriptedResponse struct {
	Lines    []responseLine
	MaxBytes int  // number of body bytes sent
	CleanEnd bool // the body ends without a transport error
	EchoID   bool // echo the request id; without it, the response belongs to another request
	Status   int  // 503: not run; 404: unknown stream; 0: the connection closes without a response
}

// responseLine is one line of a response body.
type responseLine struct {
	Kind   string
	Offset int
}

const scriptID, scriptPrompt = "r", "prompt"

func (l responseLine) text() string {
	hash := standin.PromptHash(scriptPrompt)
	chunk := engineapi.Chunk{ID: scriptID, Offset: l.Offset}
	switch l.Kind {
	case "token":
		chunk.Token = standin.Token(hash, l.Offset)
	case "end":
		chunk.End, chunk.Count, chunk.FinishReason = true, l.Offset, "stop"
	case "other":
		chunk.ID, chunk.Token = "other", " wrong"
	case "other_end":
		chunk.ID, chunk.End, chunk.Count, chunk.FinishReason = "other", true, l.Offset, "stop"
	case "dropped":
		chunk.End, chunk.Count, chunk.FinishReason = true, l.Offset, "cancelled"
	default:
		return l.Kind + "\n"
	}
	data, _ := json.Marshal(chunk)
	return string(data) + "\n"
}

func scriptedResponses() *rapid.Generator[scriptedResponse] {
	kinds := []string{"token", "token", "token", "end", "other", "other_end", "dropped", "", "{", "null", "{}"}
	return rapid.Custom(func(t *rapid.T) scriptedResponse {
		s := scriptedResponse{CleanEnd: rapid.Bool().Draw(t, "whole"), EchoID: rapid.IntRange(0, 9).Draw(t, "echo") > 0}
		s.Status = rapid.SampledFrom([]int{200, 200, 200, 200, 503, 404, 0}).Draw(t, "status")
		next := rapid.IntRange(0, 2).Draw(t, "from")
		for range rapid.IntRange(0, 8).Draw(t, "lines") {
			kind := rapid.SampledFrom(kinds).Draw(t, "kind")
			offset := max(0, next+rapid.SampledFrom([]int{0, 0, 0, 0, 1, -1}).Draw(t, "shift"))
			s.Lines = append(s.Lines, responseLine{Kind: kind, Offset: offset})
			if kind == "token" {
				next = offset + 1
			}
		}
		s.MaxBytes = rapid.OneOf(rapid.Just(1<<20), rapid.IntRange(0, 600)).Draw(t, "cut")
		return s
	})
}

// scriptedEngine serves the responses in order and records which end markers it sent in
// full.
type scriptedEngine struct {
	mu          sync.Mutex
	responses   []scriptedResponse
	ends        map[int]bool // token counts of the end markers sent in full
	refused     bool         // the first response was a refusal with the id of this request
	requests    int
	submissions int // number of times the prompt was sent
}

func (f *scriptedEngine) next(method string) (scriptedResponse, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests++
	if method == http.MethodPost {
		f.submissions++
	}
	if len(f.responses) == 0 {
		return scriptedResponse{}, false
	}
	s := f.responses[0]
	f.responses = f.responses[1:]
	return s, true
}

func (f *scriptedEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s, ok := f.next(r.Method)
	if ok && s.Status == 0 && r.Method != http.MethodDelete {
		panic(http.ErrAbortHandler)
	}
	if !ok || r.Method == http.MethodDelete {
		w.Header().Set(engineapi.HeaderRequestID, scriptID)
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if s.EchoID {
		w.Header().Set(engineapi.HeaderRequestID, scriptID)
	}
	if s.Status != http.StatusOK {
		f.refuse(w, s)
		return
	}
	remaining := s.MaxBytes
	for _, l := range s.Lines {
		text := l.text()
		if remaining < len(text) {
			_, _ = w.Write([]byte(text[:remaining]))
			break
		}
		remaining -= len(text)
		f.recordEnd(l)
		_, _ = w.Write([]byte(text))
	}
	_ = http.NewResponseController(w).Flush()
	if !s.CleanEnd {
		panic(http.ErrAbortHandler)
	}
}

func (f *scriptedEngine) refuse(w http.ResponseWriter, s scriptedResponse) {
	f.mu.Lock()
	f.refused = f.refused || s.EchoID && f.requests == 1
	f.mu.Unlock()
	if s.Status == http.StatusServiceUnavailable {
		w.Header().Set(engineapi.HeaderNotRun, "1")
	}
	w.WriteHeader(s.Status)
	_, _ = w.Write([]byte(`{"reason":"busy"}`))
}

func (f *scriptedEngine) recordEnd(l responseLine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l.Kind == "end" {
		f.ends[l.Offset] = true
	}
}

// For any response, truncated at any byte, the sink receives a prefix of the expected
// response, and a success has the token count of an end marker that was sent.
func TestGenerateAgainstArbitraryResponses(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		responses := rapid.SliceOfN(scriptedResponses(), 1, 6).Draw(rt, "scripts")
		var failure string
		synctest.Test(t, func(*testing.T) { failure = runScriptedEngine(responses) })
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

func runScriptedEngine(responses []scriptedResponse) string {
	f := &scriptedEngine{responses: responses, ends: make(map[int]bool)}
	p := newPipeListener()
	server := &http.Server{Handler: f}
	go func() { _ = server.Serve(p) }()
	defer server.Close()
	c := engine.New(engine.Options{Dial: p.dial})
	defer c.Close()
	target := topology.Target{ID: "fake", Addr: netip.MustParseAddrPort("127.0.0.1:1")}
	text, result, err := collect(c, target, request(scriptID, scriptPrompt, 100))
	switch {
	case text != standin.ResponseText(scriptPrompt, result.Tokens):
		return fmt.Sprintf("the sink received %q, the result reports %d tokens", text, result.Tokens)
	case err == nil && !f.ends[result.Tokens]:
		return fmt.Sprintf("success with %d tokens, end markers sent: %v", result.Tokens, f.ends)
	case f.submissions > 1 && responses[0].Status == 0:
		return fmt.Sprintf("the prompt was sent %d times to an engine that closed its connection", f.submissions)
	case result.Outcome == outcome.NotRun && !f.refused:
		return fmt.Sprintf("outcome is not run without a refusal: %v", err)
	}
	return ""
}

// Lines that were already received are not delivered after the caller has cancelled.
func TestNoTokenDeliveredAfterCallerCancels(t *testing.T) {
	g := gomega.NewWithT(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(engineapi.HeaderRequestID, r.Header.Get(engineapi.HeaderRequestID))
		var all strings.Builder
		for i := range 5 {
			all.WriteString(responseLine{Kind: "token", Offset: i}.text())
		}
		_, _ = w.Write([]byte(all.String()))
	}))
	defer server.Close()
	c := newClient(t)
	target := topology.Target{ID: "fake", Addr: netip.MustParseAddrPort(server.Listener.Addr().String())}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	result, err := c.Generate(ctx, target, request(scriptID, scriptPrompt, 5), func(engineapi.Chunk) error {
		cancel()
		return nil
	})
	g.Expect(err).To(gomega.MatchError(&engine.Error{Kind: engine.KindCancelled}))
	g.Expect(result.Tokens).To(gomega.Equal(1))
}

// The refusal of a prompt that was submitted twice does not tell whether the first
// submission ran, so the outcome must not be not run.
func TestRefusalOfResubmissionIsUnknown(t *testing.T) {
	truncated := scriptedResponse{Status: http.StatusOK}
	unknownStream := scriptedResponse{Status: http.StatusNotFound, EchoID: true}
	refused := scriptedResponse{Status: http.StatusServiceUnavailable, EchoID: true}
	synctest.Test(t, func(t *testing.T) {
		gomega.NewWithT(t).Expect(runScriptedEngine([]scriptedResponse{truncated, unknownStream, refused})).To(gomega.BeEmpty())
	})
}

// An engine that becomes unreachable is given up after three connections that could not
// be opened, and its process is not reported as exited.
func TestUnreachableEngineIsLostNotExited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := &scriptedEngine{responses: []scriptedResponse{{Status: http.StatusOK, EchoID: true, Lines: []responseLine{{Kind: "token"}}, MaxBytes: 1 << 20}}, ends: make(map[int]bool)}
		p := newPipeListener()
		server := &http.Server{Handler: f}
		go func() { _ = server.Serve(p) }()
		defer server.Close()
		dials := 0
		c := engine.New(engine.Options{Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
			if dials++; dials == 1 {
				return p.dial(ctx, network, addr)
			}
			<-ctx.Done()
			return nil, ctx.Err()
		}})
		defer c.Close()
		target := topology.Target{ID: "fake", Addr: netip.MustParseAddrPort("127.0.0.1:1")}
		_, result, err := collect(c, target, request(scriptID, scriptPrompt, 100))
		var engineErr *engine.Error
		g.Expect(errors.As(err, &engineErr)).To(gomega.BeTrue())
		g.Expect(engineErr.Kind).To(gomega.Equal(engine.KindLost))
		g.Expect(engineErr.ProcessExited).To(gomega.BeFalse())
		g.Expect(result.Resumes).To(gomega.Equal(3))
	})
}
