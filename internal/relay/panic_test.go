package relay_test

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/plantainrun/plantainrun/internal/placement"
	"github.com/plantainrun/plantainrun/internal/relay"
)

var errFaulty = errors.New("fault of the host")

// faultyWriter panics in one of its methods.
type faultyWriter struct {
	recordedResponse
	panicsIn string
}

func (f *faultyWriter) WriteResponse(status int, header http.Header, body []byte) {
	if f.panicsIn == "response" {
		panic(errFaulty)
	}
	f.recordedResponse.WriteResponse(status, header, body)
}

func (f *faultyWriter) WriteHeader(status int, header http.Header) {
	if f.panicsIn == "header" {
		panic(errFaulty)
	}
	f.recordedResponse.WriteHeader(status, header)
}

func (f *faultyWriter) WriteChunk(p []byte) error {
	if f.panicsIn == "chunk" {
		panic(errFaulty)
	}
	return f.recordedResponse.WriteChunk(p)
}

// jobCounter counts the jobs that hold a place at a target.
type jobCounter struct {
	placement.JobObserver // nil: nothing else is reported

	jobs int
}

func (c *jobCounter) JobStarted(placement.Job)     { c.jobs++ }
func (c *jobCounter) JobPrefilled(placement.JobID) {}
func (c *jobCounter) JobEnded(placement.JobID)     { c.jobs-- }

// Guards against a request whose handling panics: its caller's connection is closed without an
// answer, or the whole process ends if another host has passed the request on, and its place at the
// target is never given back.
func TestRequestThatPanicsIsAnsweredAndGivesEverythingBack(t *testing.T) {
	stream := behaviour{status: http.StatusOK, events: 8}
	for name, c := range map[string]struct {
		behaviour behaviour
		request   relay.Request
		aborted   bool // part of the answer was written
	}{
		"response": {success, relay.Request{URI: "/order/1"}, false},
		"header":   {stream, relay.Request{URI: "/chat/1"}, false},
		"chunk":    {stream, relay.Request{URI: "/chat/1"}, true},
		"memory":   {stream, relay.Request{URI: "/patient/1", PromptTokens: 300000}, false},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(g *WithT, ctx context.Context) {
				w := newHarness(always(c.behaviour))
				core, logs := observer.New(zap.ErrorLevel)
				w.log = zap.New(core)
				w.start(w.transport, nil, nil)
				jobs := &jobCounter{}
				w.placer.SetObserver(jobs)
				writer := &faultyWriter{panicsIn: name}
				if name == "memory" {
					writer.panicsIn = "header"
				}
				req := c.request
				req.Path, req.Host, req.Key, req.Arrived, req.Header = req.URI, "shop", validKey, time.Now(), http.Header{}
				w.relay.Serve(ctx, &req, writer)

				g.Expect(writer.aborted).To(Equal(c.aborted))
				if !c.aborted {
					g.Expect(writer.refusal.Status).To(Equal(http.StatusBadGateway), "the request may have run")
				}
				w.relay.WaitForReleases(ctx)
				g.Expect(jobs.jobs).To(BeZero())
				g.Expect(w.relay.Active()).To(BeZero())
				g.Expect(w.transport.reservationCount()).To(BeZero())
				g.Expect(logs.FilterField(zap.Any("panic", errFaulty)).Len()).To(Equal(1))
			})
		})
	}
}
