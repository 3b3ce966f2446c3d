// Package service is a small stand-in for a plain service. It counts the
// executions of calls by path, ticket and body, as the oracle of at-most-once
// execution in tests. Its control endpoint injects faults.
package service

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/plantainrun/plantainrun/internal/engineapi"
)

// Fault is a fault to inject into a call.
type Fault string

// The faults. Here, to run means to execute the call, which counts.
const (
	FaultNone         Fault = ""
	FaultRefuse       Fault = "refuse"    // do not run; respond with X-Not-Run
	FaultDisconnect   Fault = "drop"      // run, then close the connection without a response
	FaultSlowResponse Fault = "late"      // run, then respond after DelayMS
	FaultWrongID      Fault = "crossed"   // run, then respond with another request's id and body
	FaultTruncate     Fault = "cut"       // run, then declare the complete body and send half of it
	FaultHang         Fault = "silent"    // do not run and never respond
	FaultServerError  Fault = "fail"      // run, then respond with Status, or 500
	FaultUnstated     Fault = "unstated"  // run, then respond with status 429
	FaultLeaving      Fault = "leave"     // do not run; respond with X-Not-Run and X-Leaving
	FaultSlowRun      Fault = "slow_run"  // wait for DelayMS, then run and respond
	FaultUnframed     Fault = "unframed"  // run, then send half of the body without a length or chunked encoding
	FaultLongBody     Fault = "long_body" // run, then send a body of LongBodyBytes
)

// LongBodyBytes is the size of the response body under FaultLongBody, in bytes.
const LongBodyBytes = 64 << 10

// Control is the body of POST engineapi.PathStandinControl. The fault applies to
// the next Times calls; with 0, until another one is set.
type Control struct {
	Fault   Fault `json:"fault"`
	Times   int   `json:"times"`
	DelayMS int64 `json:"delay_ms"`
	Status  int   `json:"status"` // of the response, under FaultServerError and FaultRefuse; 0: the usual one
}

// Counts is the body of GET engineapi.PathStandinControl.
type Counts struct {
	RunsByPath   map[string]int `json:"calls"`  // runs by path
	RunsByTicket map[string]int `json:"ticket"` // runs by Idempotency-Key
	RunsByBody   map[string]int `json:"-"`      // runs by Idempotency-Key and body, see BodyKey
}

// BodyKey returns the key of a ticket and body in Counts.RunsByBody.
func BodyKey(ticket string, body []byte) string {
	sum := sha256.Sum256(body)
	return ticket + "/" + hex.EncodeToString(sum[:8])
}

// Service is the stand-in. It is an http.Handler and safe for concurrent use.
type Service struct {
	mux         *http.ServeMux
	mu          sync.Mutex
	fault       Control
	counts      Counts
	released    chan struct{}
	releaseOnce sync.Once
}

// New returns a stand-in without faults.
func New() *Service {
	s := &Service{
		mux:      http.NewServeMux(),
		counts:   Counts{RunsByPath: map[string]int{}, RunsByTicket: map[string]int{}, RunsByBody: map[string]int{}},
		released: make(chan struct{}),
	}
	for _, path := range []string{"/reservations", "/deposits", "/sample-orders"} {
		s.mux.HandleFunc("POST "+path, s.serve)
	}
	s.mux.HandleFunc("GET /datasheets/{id}", s.serve)
	s.mux.HandleFunc("POST "+engineapi.PathStandinControl, s.postControl)
	s.mux.HandleFunc("GET "+engineapi.PathStandinControl, s.getCounts)
	return s
}

// Listen serves the stand-in on a free port of 127.0.0.1 until stop is called.
func Listen() (s *Service, addr netip.AddrPort, stop func(), err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, netip.AddrPort{}, nil, err
	}
	s = New()
	server := &http.Server{Handler: s, ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = server.Serve(ln) }()
	stop = func() {
		s.Release()
		_ = server.Close()
	}
	return s, ln.Addr().(*net.TCPAddr).AddrPort(), stop, nil
}

const readHeaderTimeout = 10 * time.Second

// ServeHTTP implements http.Handler for calls and control requests.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Release ends the waits of calls under FaultHang, FaultSlowResponse and
// FaultSlowRun, now and later.
func (s *Service) Release() { s.releaseOnce.Do(func() { close(s.released) }) }

// SetFault replaces the fault that is injected.
func (s *Service) SetFault(c Control) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = c
}

// Runs returns how often calls with this ticket were executed.
func (s *Service) Runs(ticket string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts.RunsByTicket[ticket]
}

// BodyRuns returns how often calls with this ticket and body were executed.
func (s *Service) BodyRuns(ticket string, body []byte) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts.RunsByBody[BodyKey(ticket, body)]
}

// PathRuns returns how often calls of this path were executed.
func (s *Service) PathRuns(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts.RunsByPath[path]
}

func (s *Service) postControl(w http.ResponseWriter, r *http.Request) {
	var c Control
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFault(c)
	w.WriteHeader(http.StatusNoContent)
}

// getCounts returns the counts. If the query names a ticket, RunsByTicket contains
// only that ticket.
func (s *Service) getCounts(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.counts
	if ticket := r.URL.Query().Get("ticket"); ticket != "" {
		counts = Counts{RunsByPath: s.counts.RunsByPath, RunsByTicket: map[string]int{ticket: s.counts.RunsByTicket[ticket]}}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(counts)
}

// nextFault returns the fault for the next call and decrements Control.Times.
func (s *Service) nextFault() Control {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.fault
	if c.Times > 0 {
		s.fault.Times--
		if s.fault.Times == 0 {
			s.fault = Control{}
		}
	}
	return c
}

func (s *Service) recordRun(r *http.Request, body []byte) {
	ticket := r.Header.Get("Idempotency-Key")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.RunsByPath[r.URL.Path]++
	if ticket != "" {
		s.counts.RunsByTicket[ticket]++
		s.counts.RunsByBody[BodyKey(ticket, body)]++
	}
}

// serve executes one call with the fault that applies to it.
func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	c := s.nextFault()
	w.Header().Set(engineapi.HeaderRequestID, r.Header.Get(engineapi.HeaderRequestID))
	if s.rejectByFault(w, c) {
		return
	}
	switch c.Fault {
	case FaultHang:
		s.hold(r, 0)
		return
	case FaultSlowRun:
		// The delay does not end with the request context: the call has to run
		// even if the client has given up.
		if !s.sleepUnlessReleased(time.Duration(c.DelayMS) * time.Millisecond) {
			return
		}
	}
	s.recordRun(r, body)
	s.respond(w, r, c, body)
}

// rejectByFault responds without running the call if the fault is FaultRefuse or
// FaultLeaving. It reports whether it did.
func (s *Service) rejectByFault(w http.ResponseWriter, c Control) bool {
	if c.Fault != FaultRefuse && c.Fault != FaultLeaving {
		return false
	}
	if c.Fault == FaultLeaving {
		w.Header().Set(engineapi.HeaderLeaving, "1")
	}
	w.Header().Set(engineapi.HeaderNotRun, "1")
	w.WriteHeader(cmp.Or(c.Status, http.StatusServiceUnavailable))
	return true
}
