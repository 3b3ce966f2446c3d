package engine_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/plantainrun/plantainrun/internal/engine"
	"github.com/plantainrun/plantainrun/internal/engineapi"
	"github.com/plantainrun/plantainrun/internal/topology"
)

// For any request, the body decodes to the same request and has the announced content
// length.
func TestRequestBodyIsJSONEncodedRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		req := engineapi.GenerateRequest{
			ID: rapid.String().Draw(t, "id"), Prompt: rapid.String().Draw(t, "prompt"), Model: rapid.String().Draw(t, "model"),
			Stop:      rapid.SliceOf(rapid.SampledFrom([]string{`"prompt":""`, `prompt`, `\`})).Draw(t, "stop"),
			MaxTokens: rapid.Int().Draw(t, "max"),
		}
		if len(req.Stop) == 0 {
			req.Stop = nil
		}
		r, size, err := engine.RequestBody(req)
		if err != nil {
			t.Fatal(err)
		}
		data, err := io.ReadAll(iotest.OneByteReader(r))
		if err != nil || int64(len(data)) != size {
			t.Fatalf("%d bytes of %d, %v", len(data), size, err)
		}
		var got engineapi.GenerateRequest
		if err := json.Unmarshal(data, &got); err != nil {
			t.Fatal(err)
		}
		gomega.NewWithT(t).Expect(got).To(gomega.Equal(req))
	})
}

// An attempt must not copy the prompt: the bytes allocated per attempt are independent
// of the prompt's size.
func TestAttemptAllocationIndependentOfPromptSize(t *testing.T) {
	g := gomega.NewWithT(t)
	refuse := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(engineapi.HeaderRequestID, r.Header.Get(engineapi.HeaderRequestID))
		w.Header().Set(engineapi.HeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, `{"reason":"busy"}`)
	})
	server := httptest.NewServer(refuse)
	defer server.Close()
	c := engine.New(engine.Options{})
	defer c.Close()
	target := topology.Target{ID: "e", Addr: netip.MustParseAddrPort(server.Listener.Addr().String())}
	const promptBytes, attempts = 4 << 20, 6
	req := request("r", strings.Repeat("lang \"opgave\"\n", promptBytes/14), 1)
	allocated := func(attempts int) uint64 {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for range attempts {
			_, err := c.Generate(context.Background(), target, req, nil)
			g.Expect(err).To(gomega.MatchError(&engine.Error{Kind: engine.KindRefused}))
			time.Sleep(time.Millisecond)
		}
		runtime.ReadMemStats(&after)
		return after.TotalAlloc - before.TotalAlloc
	}
	allocated(2)
	perAttempt := allocated(attempts) / attempts
	t.Logf("%d bytes allocated per attempt of a prompt of %d bytes", perAttempt, len(req.Prompt))
	g.Expect(perAttempt).To(gomega.BeNumerically("<", promptBytes/8))
}
