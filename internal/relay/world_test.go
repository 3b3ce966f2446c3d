package relay_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/plantainrun/plantainrun/internal/catalog"
	"github.com/plantainrun/plantainrun/internal/follow"
	"github.com/plantainrun/plantainrun/internal/placement"
	"github.com/plantainrun/plantainrun/internal/relay"
)

// source publishes one configuration and some targets.
type source struct {
	config  *catalog.Config
	targets []catalog.Target
}

func (s *source) List(context.Context) (follow.Response, error) {
	l := follow.Response{Revision: 1, Changes: []follow.Change{{Revision: 1, Config: s.config}}}
	for i := range s.targets {
		l.Changes = append(l.Changes, follow.Change{Revision: 1, TargetID: s.targets[i].ID, Target: &s.targets[i]})
	}
	return l, nil
}

func (s *source) Decode(e follow.Entry) follow.Change {
	return follow.Change{Entry: e, Revision: e.Revision}
}

func (s *source) Watch(ctx context.Context, _ follow.Revision, _ time.Duration) (follow.Response, error) {
	<-ctx.Done()
	return follow.Response{}, ctx.Err()
}

// knowledge is a view whose age a test sets.
type knowledge struct {
	view *follow.View
	mu   sync.Mutex
	age  time.Duration
}

func (k *knowledge) View() *follow.View { return k.view }
func (k *knowledge) Age() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.age
}
func (k *knowledge) setAge(age time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.age = age
}

func newKnowledge(s *source) *knowledge {
	f := follow.New(s, zap.NewNop())
	seen := make(chan *follow.View, 1)
	f.OnChanged(func(v *follow.View) { seen <- v })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.Run(ctx)
	return &knowledge{view: <-seen}
}

var engineFigures = catalog.Engine{
	Slots: 16, MemoryTokens: 232000, StepTime: time.Millisecond, PrefillRate: 206000, AttentionTimePerMPairs: 138 * time.Microsecond, StepsPerPass: 43,
}

const (
	// holdReservation is the lease of engine memory.
	holdReservation = 3 * time.Second

	goodKey = "key-1"
	timeout = 4 * time.Second
)

func published() *source {
	routes := []catalog.Route{
		{Name: "order", Host: "shop", PathPrefix: "/order/", Kind: catalog.NonIdempotent, Backends: []catalog.Backend{{Service: "orders", Weight: 1}}, Timeout: timeout, MaxAttempts: 2},
		{Name: "status", Host: "shop", PathPrefix: "/status/", Kind: catalog.Idempotent, Backends: []catalog.Backend{{Service: "orders", Weight: 1}}, Timeout: timeout, MaxAttempts: 2},
		{Name: "chat", Host: "shop", PathPrefix: "/chat/", Kind: catalog.Streaming, Resumable: true, Backends: []catalog.Backend{{Service: "llm", Weight: 1}}, Timeout: timeout, MaxAttempts: 3, Objective: 300 * time.Millisecond, MaxEventGap: 250 * time.Millisecond},
		{Name: "once", Host: "shop", PathPrefix: "/once/", Kind: catalog.Streaming, Backends: []catalog.Backend{{Service: "llm", Weight: 1}}, Timeout: timeout, MaxAttempts: 3, Objective: 300 * time.Millisecond},
		{Name: "patient", Host: "shop", PathPrefix: "/patient/", Kind: catalog.Streaming, Resumable: true, Backends: []catalog.Backend{{Service: "llm", Weight: 1}}, Timeout: 15 * time.Second, MaxAttempts: 3, Objective: 3 * time.Second},
		{Name: "open", Host: "shop", PathPrefix: "/open/", Kind: catalog.Idempotent, Public: true, Backends: []catalog.Backend{{Service: "orders", Weight: 1}}, Timeout: timeout, MaxAttempts: 1},
	}
	services := []catalog.Service{{Name: "orders"}, {Name: "llm", Engine: &engineFigures}}
	holders := []catalog.KeyHolder{{Organisation: catalog.Organisation{Name: "school"}, Keys: []string{goodKey}}}
	s := &source{config: catalog.NewConfig(3, catalog.Limits{BodyBytes: 1 << 20}, routes, services, holders)}
	for i := range 5 {
		for _, service := range []string{"orders", "llm"} {
			s.targets = append(s.targets, catalog.Target{
				TargetKey: catalog.TargetKey{ID: fmt.Sprint(service, "-", i), StartUnixMilli: 1}, Service: service, Domain: "north", Slots: 16,
				Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, byte(len(s.targets))}), 80),
			})
		}
	}
	return s
}

// script says what a target does with an attempt.
type script struct {
	notSent  bool // no connection
	shed     bool // refuses without running it
	lost     bool // runs it, and the answer is lost
	unsigned bool
	status   int
	body     string
	// from and events give a stream; it breaks off after breakAfter events if
	// that is above 0, within an event if torn is set.
	events     int
	breakAfter int
	torn       bool
	silent     bool   // never answers
	raw        string // a stream as it is
}

// transport plays scripts and notes what ran.
type transport struct {
	mu       sync.Mutex
	next     func(call relay.Call) script
	sends    int
	runs     int
	targets  []string
	reserved map[string]int
	orders   int
	noMemory func(target string) bool
}

func (tr *transport) Send(ctx context.Context, call relay.Call) (*relay.Response, error) {
	tr.mu.Lock()
	s := tr.next(call)
	tr.sends++
	tr.targets = append(tr.targets, call.Target.ID)
	if !s.notSent && !s.shed {
		tr.runs++
	}
	tr.mu.Unlock()
	switch {
	case s.notSent:
		return nil, &relay.SendError{Cause: errors.New("refused")}
	case s.lost:
		return nil, &relay.SendError{MaybeSent: true, Cause: errors.New("reset")}
	case s.silent:
		<-ctx.Done()
		return nil, &relay.SendError{MaybeSent: true, Cause: ctx.Err()}
	}
	a := &relay.Response{Status: s.status, Header: http.Header{"X-From": {call.Target.ID}}, Authentic: !s.unsigned, NotExecuted: s.shed}
	a.Body = io.NopCloser(strings.NewReader(s.body))
	if s.raw != "" {
		a.Stream = true
		a.Body = io.NopCloser(strings.NewReader(s.raw))
	}
	if s.events > 0 {
		a.Stream = true
		a.Body = io.NopCloser(s.stream(call.LastEventID))
	}
	return a, nil
}

// stream is the events after the one that the caller has.
func (s script) stream(lastEvent string) io.Reader {
	last := 0
	_, _ = fmt.Sscan(lastEvent, &last) // empty: from the start
	var b strings.Builder
	for i := last + 1; i <= s.events; i++ {
		if s.breakAfter > 0 && i > last+s.breakAfter {
			if s.torn {
				fmt.Fprintf(&b, "id: %d\nda", i)
			}
			return io.MultiReader(strings.NewReader(b.String()), failingReader{})
		}
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return strings.NewReader(b.String())
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.New("connection reset") }

func (tr *transport) Reserve(_ context.Context, target catalog.Target, id string, tokens int, _ time.Duration) error {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.orders++
	if tr.noMemory != nil && tr.noMemory(target.ID) {
		return relay.ErrNoMemory
	}
	if tr.reserved == nil {
		tr.reserved = make(map[string]int)
	}
	tr.reserved[target.ID+"/"+id] = tokens
	return nil
}

func (tr *transport) Release(_ context.Context, target catalog.Target, id string) error {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	delete(tr.reserved, target.ID+"/"+id)
	return nil
}

func (tr *transport) held() int {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return len(tr.reserved)
}

// names are the reservations held.
func (tr *transport) names() []string {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return slices.Collect(maps.Keys(tr.reserved))
}

// reply notes what the caller gets.
type reply struct {
	refusal *relay.Refusal
	status  int
	header  http.Header
	body    strings.Builder
	aborted bool
	ended   bool
}

func (r *reply) WriteRefusal(refusal relay.Refusal) { r.refusal = &refusal; r.ended = true }
func (r *reply) WriteResponse(status int, header http.Header, body []byte) {
	r.status, r.header = status, header
	r.body.Write(body)
	r.ended = true
}
func (r *reply) WriteHeader(status int, header http.Header) { r.status, r.header = status, header }
func (r *reply) WriteChunk(p []byte) error                  { r.body.Write(p); return nil }
func (r *reply) Abort()                                     { r.aborted = true }

// budget allows a number of retries.
type budget struct{ left int }

func (b *budget) First(string) {}
func (b *budget) Retry(string) bool {
	b.left--
	return b.left >= 0
}

type silentObserver struct{}

func (silentObserver) Refused(relay.Reason)              {}
func (silentObserver) AttemptEnded(string, string)       {}
func (silentObserver) FirstEvent(string, time.Duration)  {}
func (silentObserver) Finished(string, time.Duration)    {}
func (silentObserver) AddActive(int)                     {}
func (silentObserver) Crashed(uint64, catalog.TargetKey) {}

// world is a relay with scripted targets.
type world struct {
	relay     *relay.Relay
	transport *transport
	knowledge *knowledge
	budget    *budget
	board     *placement.Placer
}

func newWorld(next func(relay.Call) script) *world {
	tr := &transport{next: next}
	w := newWorldOver(tr)
	w.transport = tr
	return w
}

// newWorldOver is a relay with targets behind another transport.
func newWorldOver(over relay.Transport) *world {
	w := &world{knowledge: newKnowledge(published()), budget: &budget{left: 100}, board: placement.NewPlacer(time.Now, 1)}
	w.relay = relay.New(relay.Config{
		Views: w.knowledge, Placer: w.board, Transport: over, RetryBudget: w.budget,
		Observer: silentObserver{}, Peers: silentObserver{}, Log: zap.NewNop(), HostID: "host",
		Settings: relay.Settings{MaxViewAge: 4 * time.Second, ReservationLease: holdReservation},
	})
	return w
}

func (w *world) serve(ctx context.Context, req relay.Request) *reply {
	if req.Host == "" {
		req.Host = "shop"
	}
	if req.Key == "" {
		req.Key = goodKey
	}
	req.Path, req.Arrived, req.Header = req.URI, time.Now(), http.Header{}
	r := &reply{}
	w.relay.Serve(ctx, &req, r)
	return r
}

// always gives every attempt the same script.
func always(s script) func(relay.Call) script { return func(relay.Call) script { return s } }

// inTurn gives the attempts their scripts one after the other, the last one again and again.
func inTurn(scripts ...script) func(relay.Call) script {
	i := 0
	return func(relay.Call) script {
		s := scripts[min(i, len(scripts)-1)]
		i++
		return s
	}
}

var ok = script{status: http.StatusOK, body: "done"}
