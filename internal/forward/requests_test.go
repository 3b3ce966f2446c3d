package forward_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/plantainrun/plantainrun/internal/forward"
	"github.com/plantainrun/plantainrun/internal/mesh"
	"github.com/plantainrun/plantainrun/internal/relay"
)

var errPeerClosed = errors.New("the peer has closed the stream")

// pipeStream is one end of a stream within the process.
type pipeStream struct {
	in, out    chan []byte // nil for the end of messages
	closed     chan struct{}
	peerClosed chan struct{}
}

func newPipe() (a, b *pipeStream) {
	x, y := make(chan []byte, 64), make(chan []byte, 64)
	aClosed, bClosed := make(chan struct{}), make(chan struct{})
	return &pipeStream{x, y, aClosed, bClosed}, &pipeStream{y, x, bClosed, aClosed}
}

func (s *pipeStream) Send(msg proto.Message) error {
	data, err := proto.Marshal(msg)
	if err != nil {
		return err
	}
	select {
	case s.out <- data: // also after the peer has closed its end: the close may be on its way
		return nil
	default:
		return errPeerClosed
	}
}

func (s *pipeStream) Recv(msg proto.Message) error {
	select {
	case data := <-s.in:
		return receive(data, msg)
	default:
	}
	select {
	case data := <-s.in:
		return receive(data, msg)
	case <-s.peerClosed:
	}
	select {
	case data := <-s.in: // sent before the close
		return receive(data, msg)
	default:
		return mesh.ErrAborted
	}
}

func receive(data []byte, msg proto.Message) error {
	if data == nil {
		return io.EOF
	}
	return proto.Unmarshal(data, msg)
}

func (s *pipeStream) CloseSend() error { s.out <- nil; return nil }

func (s *pipeStream) Close() error { close(s.closed); return nil }

func (s *pipeStream) SetDeadline(time.Time) error { return nil }

func (s *pipeStream) CancelOnPeerClose(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	go func() {
		select {
		case <-s.peerClosed:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// handlerFunc serves requests of other hosts.
type handlerFunc func(ctx context.Context, req *relay.Request, w relay.ResponseWriter)

func (f handlerFunc) Serve(ctx context.Context, req *relay.Request, w relay.ResponseWriter) {
	f(ctx, req, w)
}

// helpers are hosts that serve requests of others, by id; a host without a handler cannot be
// reached.
type helpers struct {
	handlers map[string]handlerFunc
	opened   []string
	draining bool
}

func (h *helpers) open(_ context.Context, host, _ string) (forward.Stream, error) {
	h.opened = append(h.opened, host)
	handler := h.handlers[host]
	if handler == nil {
		return nil, &mesh.Error{Host: host, Op: "dial", NotSent: true, Err: mesh.ErrUnreachable}
	}
	near, far := newPipe()
	server := forward.NewRequestServer(handler, func() bool { return h.draining })
	go func() {
		if server.Serve(context.Background(), far) == nil {
			_ = far.CloseSend()
		}
		_ = far.Close()
	}()
	return near, nil
}

func (h *helpers) forwarder(hosts ...forward.HostInfo) *forward.RequestForwarder {
	return forward.NewRequestForwarder(forward.HostInfo{ID: "self", Domain: "north"}, h.open, func() []forward.HostInfo { return hosts }, zap.NewNop())
}

func newCall() relay.ForwardCall {
	return relay.ForwardCall{
		Request: &relay.Request{
			ID: "request", Method: http.MethodPost, URI: "/order/1?x=1", Path: "/order/1", Host: "shop", Header: http.Header{"X-A": {"b"}}, Body: []byte("two seats"),
			Arrived: time.Now().Add(-time.Second), Timeout: 4 * time.Second, Key: "key", PromptTokens: 7, SharedParts: []string{"5c1e"}, MaxOutputTokens: 8, ExpectedOutputTokens: 9,
		},
		Origin:      relay.Origin{Service: "orders", ConfigVersion: 3, TriedTargets: []string{"order-1"}, Resumes: true},
		LastEventID: "4",
	}
}

func answer(body string) handlerFunc {
	return func(_ context.Context, _ *relay.Request, w relay.ResponseWriter) {
		w.WriteResponse(http.StatusOK, http.Header{"X-Seal": {"signed"}}, []byte(body))
	}
}

func refuse(reason relay.Reason) handlerFunc {
	return func(_ context.Context, _ *relay.Request, w relay.ResponseWriter) {
		w.WriteRefusal(relay.NewRefusal(reason))
	}
}

func TestForwardedRequestArrivesWhole(t *testing.T) {
	g := NewWithT(t)
	var got *relay.Request
	h := &helpers{handlers: map[string]handlerFunc{"a": func(ctx context.Context, req *relay.Request, w relay.ResponseWriter) {
		got = req
		answer("done")(ctx, req, w)
	}}}
	call := newCall()
	out, err := h.forwarder(forward.HostInfo{ID: "a", Domain: "north"}).Forward(t.Context(), call)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(out.Host).To(Equal("a"))
	g.Expect(out.Response.Status).To(Equal(http.StatusOK))
	g.Expect(out.Response.Header.Get("X-Seal")).To(Equal("signed"))
	body, err := io.ReadAll(out.Response.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(body)).To(Equal("done"))

	want := *call.Request
	want.LastEventID = call.LastEventID
	want.Origin = &call.Origin
	want.Origin.Host = "self"
	g.Expect(got.Arrived).To(BeTemporally("~", want.Arrived, time.Second), "the time that has passed counts")
	got.Arrived = want.Arrived
	g.Expect(*got).To(Equal(want))
}

func TestNextHostIsAskedWhenOneCannotHelp(t *testing.T) {
	g := NewWithT(t)
	unable := []relay.Reason{relay.ReasonUnreachable, relay.ReasonOverloaded, relay.ReasonDraining, relay.ReasonConfigUnconfirmed}
	for _, reason := range unable {
		h := &helpers{handlers: map[string]handlerFunc{"near": refuse(reason), "far": answer("done")}}
		f := h.forwarder(forward.HostInfo{ID: "near", Domain: "north"}, forward.HostInfo{ID: "gone", Domain: "north"}, forward.HostInfo{ID: "far", Domain: "south"})
		out, err := f.Forward(t.Context(), newCall())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(out.Host).To(Equal("far"), string(reason))
		asked := len(h.opened)
		out, err = f.Forward(t.Context(), newCall())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(out.Host).To(Equal("far"))
		g.Expect(len(h.opened)-asked).To(BeNumerically("<=", 2), "those that could not help are not asked at once")
	}
}

func TestOtherRefusalsAreFinal(t *testing.T) {
	g := NewWithT(t)
	h := &helpers{handlers: map[string]handlerFunc{"a": refuse(relay.ReasonQuarantined), "b": refuse(relay.ReasonQuarantined)}}
	out, err := h.forwarder(forward.HostInfo{ID: "a", Domain: "north"}, forward.HostInfo{ID: "b", Domain: "north"}).Forward(t.Context(), newCall())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(out.Refusal.Reason).To(Equal(relay.ReasonQuarantined))
	g.Expect(out.Refusal.Status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(out.Refusal.RetryAfter).To(BeNumerically(">", 0))
	g.Expect(h.opened).To(HaveLen(1))
}

func TestNoHostCanHelp(t *testing.T) {
	g := NewWithT(t)
	h := &helpers{handlers: map[string]handlerFunc{"a": answer("done")}, draining: true}
	f := h.forwarder(forward.HostInfo{ID: "a", Domain: "north"}, forward.HostInfo{ID: "gone", Domain: "south"})
	_, err := f.Forward(t.Context(), newCall())
	g.Expect(err).To(MatchError(relay.ErrNoHost))
	_, err = (&helpers{}).forwarder().Forward(t.Context(), newCall())
	g.Expect(err).To(MatchError(relay.ErrNoHost))
}

// A response that its host gives up ends with an error, never like a whole one.
func TestUnfinishedResponseIsNoWholeResponse(t *testing.T) {
	for name, handler := range map[string]handlerFunc{
		"aborted": func(_ context.Context, _ *relay.Request, w relay.ResponseWriter) {
			w.WriteHeader(http.StatusOK, http.Header{"Content-Type": {"text/event-stream"}})
			_ = w.WriteChunk([]byte("id: 1\n\n"))
			w.Abort()
		},
		"nothing_written": func(context.Context, *relay.Request, relay.ResponseWriter) {},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := &helpers{handlers: map[string]handlerFunc{"a": handler}}
			out, err := h.forwarder(forward.HostInfo{ID: "a", Domain: "north"}).Forward(t.Context(), newCall())
			var lost *relay.SendError
			if err != nil {
				g.Expect(errors.As(err, &lost)).To(BeTrue())
				g.Expect(lost.MaybeSent).To(BeTrue())
				return
			}
			g.Expect(out.Response.Stream).To(BeTrue())
			body, err := io.ReadAll(out.Response.Body)
			g.Expect(err).To(HaveOccurred())
			g.Expect(string(body)).To(Equal("id: 1\n\n"))
		})
	}
}

// Guards against passing on what another host, maybe of an older version, took for an answer or a
// refusal: the request may have run there.
func TestMalformedAnswerOfAnotherHostIsNoAnswer(t *testing.T) {
	passOn := func(status int, name, value string) handlerFunc {
		return func(_ context.Context, _ *relay.Request, w relay.ResponseWriter) {
			w.WriteResponse(status, http.Header{name: {value}}, []byte("whole"))
		}
	}
	refuseWith := func(status int, reason relay.Reason) handlerFunc {
		return func(_ context.Context, _ *relay.Request, w relay.ResponseWriter) {
			w.WriteRefusal(relay.Refusal{Status: status, Reason: reason})
		}
	}
	for name, handler := range map[string]handlerFunc{
		"status 0":                   passOn(0, "X-Note", "a"),
		"status 20":                  passOn(20, "X-Note", "a"),
		"interim status":             passOn(http.StatusEarlyHints, "X-Note", "a"),
		"another protocol":           passOn(http.StatusSwitchingProtocols, "X-Note", "a"),
		"status 600":                 passOn(600, "X-Note", "a"),
		"negative status":            passOn(-200, "X-Note", "a"),
		"blank in a name":            passOn(http.StatusOK, "X Note", "a"),
		"control byte in a name":     passOn(http.StatusOK, "X-\x01Note", "a"),
		"no name":                    passOn(http.StatusOK, "", "a"),
		"line feed in a value":       passOn(http.StatusOK, "X-Note", "a\r\nX-Other: b"),
		"refusal of status 0":        refuseWith(0, relay.ReasonQuarantined),
		"refusal with a success":     refuseWith(http.StatusOK, relay.ReasonQuarantined),
		"refusal of an interim kind": refuseWith(http.StatusContinue, relay.ReasonDraining),
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := &helpers{handlers: map[string]handlerFunc{"a": handler, "b": handler}}
			out, err := h.forwarder(forward.HostInfo{ID: "a", Domain: "north"}, forward.HostInfo{ID: "b", Domain: "north"}).Forward(t.Context(), newCall())
			var lost *relay.SendError
			g.Expect(errors.As(err, &lost)).To(BeTrue(), "%+v, %v", out, err)
			g.Expect(lost.MaybeSent).To(BeTrue())
			g.Expect(h.opened).To(HaveLen(1))
		})
	}
}

func TestLeavingCallerEndsTheRequestAtTheOtherHost(t *testing.T) {
	g := NewWithT(t)
	ended := make(chan struct{})
	h := &helpers{handlers: map[string]handlerFunc{"a": func(ctx context.Context, _ *relay.Request, w relay.ResponseWriter) {
		w.WriteHeader(http.StatusOK, http.Header{})
		<-ctx.Done()
		close(ended)
	}}}
	ctx, cancel := context.WithCancel(t.Context())
	out, err := h.forwarder(forward.HostInfo{ID: "a", Domain: "north"}).Forward(ctx, newCall())
	g.Expect(err).NotTo(HaveOccurred())
	cancel()
	g.Eventually(ended, 20*time.Second).Should(BeClosed())
	time.Sleep(50 * time.Millisecond) // until the other host has sent its last messages
	_, err = io.ReadAll(out.Response.Body)
	g.Expect(err).To(HaveOccurred(), "a response that was given up is not whole, whatever the other host sends last")
	g.Expect(out.Response.Body.Close()).To(Succeed())
}

// Of three failure domains with a hundred hosts each, all but one of the first are cut off
// and pass on what they get. No host gets more than a twentieth of that.
func TestLoadOfADomainThatIsCutOffIsSpread(t *testing.T) {
	const (
		perDomain = 100
		requests  = 20 // of each host
	)
	g := NewWithT(t)
	var hosts []forward.HostInfo
	h := &helpers{handlers: make(map[string]handlerFunc)}
	served := make(map[string]int)
	for i := range 3 * perDomain {
		id := fmt.Sprint("host-", i)
		hosts = append(hosts, forward.HostInfo{ID: id, Domain: fmt.Sprint("domain-", i/perDomain)})
		h.handlers[id] = answer("done")
		if i > 0 && i < perDomain {
			h.handlers[id] = refuse(relay.ReasonUnreachable)
		}
	}
	for i := 1; i < perDomain; i++ {
		others := slices.Concat(hosts[:i], hosts[i+1:])
		f := forward.NewRequestForwarder(hosts[i], h.open, func() []forward.HostInfo { return others }, zap.NewNop())
		for range requests {
			out, err := f.Forward(t.Context(), newCall())
			g.Expect(err).NotTo(HaveOccurred())
			served[out.Host]++
			g.Expect(out.Response.Body.Close()).To(Succeed())
		}
	}
	for host, count := range served {
		g.Expect(count).To(BeNumerically("<=", requests*perDomain/20), host)
	}
	g.Expect(len(h.opened)).To(BeNumerically("<", 2*requests*perDomain), "hosts that cannot help are remembered")
}

func TestHostTakesABoundedNumberOfRequestsOfOthers(t *testing.T) {
	g := NewWithT(t)
	release := make(chan struct{})
	server := forward.NewRequestServer(handlerFunc(func(_ context.Context, _ *relay.Request, w relay.ResponseWriter) {
		<-release
		w.WriteResponse(http.StatusOK, http.Header{}, nil)
	}), func() bool { return false })
	open := func(context.Context, string, string) (forward.Stream, error) {
		near, far := newPipe()
		go func() { _ = server.Serve(context.Background(), far); _ = far.Close() }()
		return near, nil
	}
	f := forward.NewRequestForwarder(forward.HostInfo{ID: "self"}, open, func() []forward.HostInfo { return []forward.HostInfo{{ID: "a"}} }, zap.NewNop())
	results := make(chan error, 100)
	for range cap(results) {
		go func() {
			_, err := f.Forward(context.Background(), newCall())
			results <- err
		}()
	}
	refused := 0
	for range cap(results) - 64 {
		g.Expect(<-results).To(MatchError(relay.ErrNoHost))
		refused++
	}
	close(release)
	for range 64 {
		g.Expect(<-results).NotTo(HaveOccurred())
	}
	g.Expect(refused).To(Equal(36))
}

func TestRequestIsOfferedOnlyInPermittedDomains(t *testing.T) {
	g := NewWithT(t)
	h := &helpers{handlers: map[string]handlerFunc{"a": answer("a"), "b": answer("b")}}
	f := h.forwarder(forward.HostInfo{ID: "a", Domain: "north"}, forward.HostInfo{ID: "b", Domain: "south"})
	call := newCall()
	call.Permits = func(domain string) bool { return domain == "south" }
	for range 5 {
		out, err := f.Forward(context.Background(), call)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(out.Host).To(Equal("b"))
	}
	call.Permits = func(string) bool { return false }
	_, err := f.Forward(context.Background(), call)
	g.Expect(err).To(MatchError(relay.ErrNoHost))
	g.Expect(h.opened).NotTo(ContainElement("a"))
}
