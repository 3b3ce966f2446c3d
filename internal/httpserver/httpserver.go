// Package httpserver runs one listener on go-zero's rest. It owns what rest
// would otherwise decide: time limits, body limits, load shedding and the
// reaction to signals, so that a graceful shutdown waits for every request.
package httpserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/proc"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/httpx"
	"github.com/zeromicro/go-zero/rest/router"

	"github.com/plantainrun/plantainrun/internal/signals"
)

// Bounds of one connection. Requests themselves carry their own time limits.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	startTimeout      = 10 * time.Second
)

// Server is one HTTP listener.
type Server struct {
	name   string
	rest   *rest.Server
	router *prefixRouter
	addr   netip.AddrPort

	mu    sync.Mutex
	http  *http.Server
	bound net.Addr
}

// New returns a server that will listen on addr. A zero port takes any free one.
func New(name string, addr netip.AddrPort) (*Server, error) {
	rt := &prefixRouter{Router: router.NewRouter()}
	conf := rest.RestConf{
		ServiceConf: service.ServiceConf{
			Name:     name,
			Mode:     service.ProMode,
			Log:      logx.LogConf{Mode: "console", Level: "error"},
			Shutdown: proc.ShutdownConf{WrapUpTime: signals.Hold, WaitTime: 2 * signals.Hold},
		},
		Host: addr.Addr().String(),
		Port: int(addr.Port()),
	}
	srv, err := rest.NewServer(conf, rest.WithRouter(rt))
	if err != nil {
		return nil, eris.Wrapf(err, "listener %s", name)
	}
	return &Server{name: name, rest: srv, router: rt, addr: addr}, nil
}

// Handle routes one method and path, in the form of go-zero's router.
func (s *Server) Handle(method, path string, h http.HandlerFunc) {
	s.rest.AddRoute(rest.Route{Method: method, Path: path, Handler: h})
}

// HandlePrefix routes every method and path below prefix.
func (s *Server) HandlePrefix(prefix string, h http.Handler) {
	s.router.add(prefix, h)
}

// SetFallback sets the handler of paths and methods that nothing else serves.
func (s *Server) SetFallback(h http.Handler) {
	s.router.SetNotAllowedHandler(h)
	s.router.SetNotFoundHandler(h)
}

// Start listens and serves in the background. It returns once the address is
// bound, or the reason why it cannot be.
func (s *Server) Start() error {
	probe, err := net.Listen("tcp", s.addr.String())
	if err != nil {
		return eris.Wrapf(err, "listener %s cannot bind %s, choose a free address", s.name, s.addr)
	}
	probe.Close()
	ready := make(chan struct{})
	go s.rest.StartWithOpts(func(svr *http.Server) { s.configure(svr, ready) })
	select {
	case <-ready:
		return nil
	case <-time.After(startTimeout):
		return eris.Errorf("listener %s did not start on %s within %s", s.name, s.addr, startTimeout)
	}
}

func (s *Server) configure(svr *http.Server, ready chan struct{}) {
	svr.ReadHeaderTimeout = readHeaderTimeout
	svr.IdleTimeout = idleTimeout
	svr.BaseContext = func(l net.Listener) context.Context {
		s.mu.Lock()
		s.bound = l.Addr()
		s.mu.Unlock()
		close(ready)
		return context.Background()
	}
	s.mu.Lock()
	s.http = svr
	s.mu.Unlock()
}

// Addr is the bound address, valid after Start.
func (s *Server) Addr() netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.bound == nil {
		return s.addr
	}
	a, err := netip.ParseAddrPort(s.bound.String())
	if err != nil {
		return s.addr
	}
	return a
}

// Shutdown closes the listener and waits until every request has ended or ctx is done.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	svr := s.http
	s.mu.Unlock()
	if svr == nil {
		return nil
	}
	if err := svr.Shutdown(ctx); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrapf(err, "listener %s", s.name)
	}
	return nil
}

// prefixRouter adds routes for whole subtrees to go-zero's router.
type prefixRouter struct {
	httpx.Router
	prefixes []prefixRoute
}

type prefixRoute struct {
	prefix  string
	handler http.Handler
}

func (p *prefixRouter) add(prefix string, h http.Handler) {
	p.prefixes = append(p.prefixes, prefixRoute{prefix: prefix, handler: h})
}

// ServeHTTP serves the subtrees first, then the exact routes.
func (p *prefixRouter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	for _, route := range p.prefixes {
		if strings.HasPrefix(r.URL.Path, route.prefix) {
			route.handler.ServeHTTP(w, r)
			return
		}
	}
	p.Router.ServeHTTP(w, r)
}
