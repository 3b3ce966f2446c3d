package engine_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/plantainrun/plantainrun/internal/engine"
	"github.com/plantainrun/plantainrun/internal/engineapi"
	"github.com/plantainrun/plantainrun/internal/topology"
)

// BenchmarkGenerate measures one answer over loopback, and per token of it.
func BenchmarkGenerate(b *testing.B) {
	const tokens = 300
	var answer []byte
	for i := range tokens {
		answer = append(answer, line{Kind: "token", Offset: i}.text()...)
	}
	answer = append(answer, line{Kind: "end", Offset: tokens}.text()...)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(engineapi.HeaderRequestID, r.Header.Get(engineapi.HeaderRequestID))
		_, _ = w.Write(answer)
	}))
	defer server.Close()
	c := engine.New(engine.Options{})
	defer c.Close()
	target := topology.Target{ID: "e", Addr: netip.MustParseAddrPort(server.Listener.Addr().String())}
	req := request(scriptID, scriptPrompt, tokens)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Generate(context.Background(), target, req, func(engineapi.Chunk) error { return nil }); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*tokens), "ns/token")
}

// BenchmarkDecodeOnly is the part of it that the JSON library takes.
func BenchmarkDecodeOnly(b *testing.B) {
	data := []byte(line{Kind: "token", Offset: 17}.text())
	for b.Loop() {
		var chunk engineapi.Chunk
		if err := json.Unmarshal(data, &chunk); err != nil {
			b.Fatal(err)
		}
	}
}
