// Package httpserver runs an HTTP listener with the routes of go-zero's rest
// server. It takes over what go-zero otherwise controls (the listener, timeouts,
// size limits, load shedding and signal handling), so that callers cannot make
// the host hold more than its limits, and a graceful shutdown waits for every
// request.
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

	"github.com/plantainrun/plantainrun/internal/netlisten"
	"github.com/plantainrun/plantainrun/internal/signals"
)

// Timeouts of a connection and of the start of the listener. Requests have time
// limits of their own.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
)

// waitingPerConn is how many connections may wait for each that may be open.
const waitingPerConn = 3

// Server is one HTTP listener.
type Server struct {
	name       string
	restServer *rest.Server
	router     *prefixRouter
	addr       netip.AddrPort
	limits     Limits

	mu         sync.Mutex
	httpServer *http.Server
	listener   *limitListener
}

// New returns a server that listens on addr once it is started. Port 0 selects
// any free port.
func New(name string, addr netip.AddrPort, limits Limits) (*Server, error) {
	rt := &prefixRouter{Router: router.NewRouter()}
	conf := rest.RestConf{
		ServiceConf: service.ServiceConf{
			Name:     name,
			Mode:     service.ProMode,
			Log:      logx.LogConf{Mode: "console", Level: "error"},
			Shutdown: proc.ShutdownConf{WrapUpTime: signals.ShutdownDelay, WaitTime: 2 * signals.ShutdownDelay},
		},
		Host: addr.Addr().String(),
		Port: int(addr.Port()),
	}
	srv, err := rest.NewServer(conf, rest.WithRouter(rt))
	if err != nil {
		return nil, eris.Wrapf(err, "listener %s", name)
	}
	return &Server{name: name, restServer: srv, router: rt, addr: addr, limits: limits}, nil
}

// Handle registers h for a method and a path pattern of go-zero's router.
func (s *Server) Handle(method, path string, h http.HandlerFunc) {
	s.restServer.AddRoute(rest.Route{Method: method, Path: path, Handler: h})
}

// HandlePrefix registers h for all methods and all paths that begin with prefix.
func (s *Server) HandlePrefix(prefix string, h http.Handler) {
	s.router.add(prefix, h)
}

// SetFallback sets the handler for paths and methods without a route.
func (s *Server) SetFallback(h http.Handler) {
	s.router.SetNotAllowedHandler(h)
	s.router.SetNotFoundHandler(h)
}

// Start serves in the background. It returns once the address is bound, or an
// error if it cannot be bound.
func (s *Server) Start() error {
	routes, err := rest.NewServerless(s.restServer)
	if err != nil {
		return eris.Wrapf(err, "listener %s has invalid routes", s.name)
	}
	bound, err := netlisten.Listen(context.Background(), s.addr)
	if err != nil {
		return eris.Wrapf(err, "listener %s cannot bind %s; choose a free address", s.name, s.addr)
	}
	if s.limits.MaxConns > 0 {
		if err := netlisten.BoundWaiting(bound, waitingPerConn*s.limits.MaxConns); err != nil {
			logx.Errorf("listener %s: connections that wait are not bounded: %v", s.name, err)
		}
	}
	listener := &limitListener{Listener: bound, limits: s.limits, open: newConnSet()}
	server := &http.Server{
		Handler:           accountForHeads(routes.Serve),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeadBytes,
		ConnContext:       withConn,
	}
	s.mu.Lock()
	s.listener, s.httpServer = listener, server
	s.mu.Unlock()
	go s.serve(server, listener)
	return nil
}

func (s *Server) serve(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		logx.Severef("listener %s stopped: %v", s.name, err)
	}
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// accountForHeads tells the connection of each request when its head has been read and when
// the request is done.
func accountForHeads(serve http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(connKey{}).(*callerConn); ok {
			if !conn.headRead(r.Header, r.Body == http.NoBody) {
				panic(http.ErrAbortHandler)
			}
			defer conn.requestDone()
		}
		serve(w, r)
	})
}

// ConnsRefused returns the number of connections that were closed for the limit on open ones.
func (s *Server) ConnsRefused() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return 0
	}
	return s.listener.closed.Load()
}

// ConnsEvicted returns the number of connections that were closed for new ones.
func (s *Server) ConnsEvicted() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return 0
	}
	return s.listener.evicted.Load()
}

// Addr returns the bound address after Start, and the configured one before.
func (s *Server) Addr() netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return s.addr
	}
	a, err := netip.ParseAddrPort(s.listener.Addr().String())
	if err != nil {
		return s.addr
	}
	return a
}

// Shutdown closes the listener and waits until all requests have completed or
// ctx is done.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	server := s.httpServer
	s.mu.Unlock()
	if server == nil {
		return nil
	}
	if err := server.Shutdown(ctx); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrapf(err, "listener %s", s.name)
	}
	return nil
}

// prefixRouter adds path prefix routes to go-zero's router.
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

// ServeHTTP tries the prefix routes first, then the routes of go-zero's router.
func (p *prefixRouter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	for _, route := range p.prefixes {
		if strings.HasPrefix(r.URL.Path, route.prefix) {
			route.handler.ServeHTTP(w, r)
			return
		}
	}
	p.Router.ServeHTTP(w, r)
}
