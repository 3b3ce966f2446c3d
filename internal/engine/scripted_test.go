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

// script is what a fake engine answers on one connection, whatever it is asked.
type script struct {
	Lines  []line
	Cut    int  // bytes that are sent
	Whole  bool // the body ends as if it were whole
	Echo   bool // of the request's id; without, the answer is to somebody else
	Status int  // 503 is not run, 404 does not know the stream; 0: the connection ends without an answer
}

// line is one line of an answer.
type line struct {
	Kind   string
	Offset int
}

const scriptID, scriptPrompt = "r", "prompt"

func (l line) text() string {
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

func scripts() *rapid.Generator[script] {
	kinds := []string{"token", "token", "token", "end", "other", "other_end", "dropped", "", "{", "null", "{}"}
	return rapid.Custom(func(t *rapid.T) script {
		s := script{Whole: rapid.Bool().Draw(t, "whole"), Echo: rapid.IntRange(0, 9).Draw(t, "echo") > 0}
		s.Status = rapid.SampledFrom([]int{200, 200, 200, 200, 503, 404, 0}).Draw(t, "status")
		next := rapid.IntRange(0, 2).Draw(t, "from")
		for range rapid.IntRange(0, 8).Draw(t, "lines") {
			kind := rapid.SampledFrom(kinds).Draw(t, "kind")
			offset := max(0, next+rapid.SampledFrom([]int{0, 0, 0, 0, 1, -1}).Draw(t, "shift"))
			s.Lines = append(s.Lines, line{Kind: kind, Offset: offset})
			if kind == "token" {
				next = offset + 1
			}
		}
		s.Cut = rapid.OneOf(rapid.Just(1<<20), rapid.IntRange(0, 600)).Draw(t, "cut")
		return s
	})
}

// fake serves the scripts in turn and notes which end markers it sent in full.
type fake struct {
	mu      sync.Mutex
	scripts []script
	ends    map[int]bool
	refused bool // the first answer was a refusal of this request
	answers int
	prompts int // how often the prompt was sent
}

func (f *fake) next(method string) (script, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answers++
	if method == http.MethodPost {
		f.prompts++
	}
	if len(f.scripts) == 0 {
		return script{}, false
	}
	s := f.scripts[0]
	f.scripts = f.scripts[1:]
	return s, true
}

func (f *fake) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s, ok := f.next(r.Method)
	if ok && s.Status == 0 && r.Method != http.MethodDelete {
		panic(http.ErrAbortHandler)
	}
	if !ok || r.Method == http.MethodDelete {
		w.Header().Set(engineapi.HeaderRequestID, scriptID)
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if s.Echo {
		w.Header().Set(engineapi.HeaderRequestID, scriptID)
	}
	if s.Status != http.StatusOK {
		f.refuse(w, s)
		return
	}
	left := s.Cut
	for _, l := range s.Lines {
		text := l.text()
		if left < len(text) {
			_, _ = w.Write([]byte(text[:left]))
			break
		}
		left -= len(text)
		f.note(l)
		_, _ = w.Write([]byte(text))
	}
	_ = http.NewResponseController(w).Flush()
	if !s.Whole {
		panic(http.ErrAbortHandler)
	}
}

func (f *fake) refuse(w http.ResponseWriter, s script) {
	f.mu.Lock()
	f.refused = f.refused || s.Echo && f.answers == 1
	f.mu.Unlock()
	if s.Status == http.StatusServiceUnavailable {
		w.Header().Set(engineapi.HeaderNotRun, "1")
	}
	w.WriteHeader(s.Status)
	_, _ = w.Write([]byte(`{"reason":"busy"}`))
}

func (f *fake) note(l line) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l.Kind == "end" {
		f.ends[l.Offset] = true
	}
}

// Whatever an engine sends, cut at any byte, the sink gets a prefix of the
// answer, and a success has the count of an end marker that was sent.
func TestGenerateAgainstAnyBytes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		all := rapid.SliceOfN(scripts(), 1, 6).Draw(rt, "scripts")
		var wrong string
		synctest.Test(t, func(*testing.T) { wrong = playScripts(all) })
		if wrong != "" {
			rt.Fatal(wrong)
		}
	})
}

func playScripts(all []script) string {
	f := &fake{scripts: all, ends: make(map[int]bool)}
	p := newPipes()
	server := &http.Server{Handler: f}
	go func() { _ = server.Serve(p) }()
	defer server.Close()
	c := engine.New(engine.Options{Dial: p.dial})
	defer c.Close()
	target := topology.Target{ID: "fake", Addr: netip.MustParseAddrPort("127.0.0.1:1")}
	text, result, err := collect(c, target, request(scriptID, scriptPrompt, 100))
	switch {
	case text != standin.Answer(scriptPrompt, result.Tokens):
		return fmt.Sprintf("the sink got %q as %d tokens", text, result.Tokens)
	case err == nil && !f.ends[result.Tokens]:
		return fmt.Sprintf("success with %d tokens, end markers sent: %v", result.Tokens, f.ends)
	case f.prompts > 1 && all[0].Status == 0:
		return fmt.Sprintf("the prompt was sent %d times to an engine that closed its connection", f.prompts)
	case result.Outcome == outcome.NotRun && !f.refused:
		return fmt.Sprintf("said to be not run: %v", err)
	}
	return ""
}

// Lines that have come already are not passed on once the caller has gone.
func TestNothingIsPassedOnAfterTheCallerHasGone(t *testing.T) {
	g := gomega.NewWithT(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(engineapi.HeaderRequestID, r.Header.Get(engineapi.HeaderRequestID))
		var all strings.Builder
		for i := range 5 {
			all.WriteString(line{Kind: "token", Offset: i}.text())
		}
		_, _ = w.Write([]byte(all.String()))
	}))
	defer server.Close()
	c := newClient(t)
	target := topology.Target{ID: "fake", Addr: netip.MustParseAddrPort(server.Listener.Addr().String())}
	ctx, leave := context.WithTimeout(t.Context(), time.Minute)
	result, err := c.Generate(ctx, target, request(scriptID, scriptPrompt, 5), func(engineapi.Chunk) error {
		leave()
		return nil
	})
	g.Expect(err).To(gomega.MatchError(&engine.Error{Kind: engine.KindCancelled}))
	g.Expect(result.Tokens).To(gomega.Equal(1))
}

// A refusal of a prompt that was sent twice says nothing about the first time.
func TestRefusalOfTheSecondTryIsUnknown(t *testing.T) {
	lost := script{Status: http.StatusOK}
	forgotten := script{Status: http.StatusNotFound, Echo: true}
	refused := script{Status: http.StatusServiceUnavailable, Echo: true}
	synctest.Test(t, func(t *testing.T) {
		gomega.NewWithT(t).Expect(playScripts([]script{lost, forgotten, refused})).To(gomega.BeEmpty())
	})
}

// An engine that can no longer be reached is given up after three connections
// that could not be opened, and is not taken for dead.
func TestEngineThatCannotBeReachedIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := &fake{scripts: []script{{Status: http.StatusOK, Echo: true, Lines: []line{{Kind: "token"}}, Cut: 1 << 20}}, ends: make(map[int]bool)}
		p := newPipes()
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
		var failed *engine.Error
		g.Expect(errors.As(err, &failed)).To(gomega.BeTrue())
		g.Expect(failed.Kind).To(gomega.Equal(engine.KindLost))
		g.Expect(failed.ProcessExited).To(gomega.BeFalse())
		g.Expect(result.Resumes).To(gomega.Equal(3))
	})
}
