// Package operator implements the operators' HTTP interface: health probes,
// metrics, read-only queries and commands. It is served on a separate listener.
// Every request needs the operator key, except the load balancer's probes.
package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/plantainrun/plantainrun/internal/apierror"
	"github.com/plantainrun/plantainrun/internal/httpserver"
)

// URL paths of the operators' interface.
const (
	PathHealth  = "/healthz"
	PathReady   = "/readyz"
	PathMetrics = "/metrics"
	PathStatus  = "/v1/status"
	PathAudit   = "/v1/audit"
	PathDrain   = "/v1/drain"
)

// HeaderOperator is the request header with the operator's name for the audit trail.
const HeaderOperator = "X-Operator"

// Handler serves the operators' interface of one host.
type Handler struct {
	key      [sha256.Size]byte
	queries  Queries
	commands Commands
	metrics  http.Handler
}

// New returns a Handler that accepts key as the bearer token.
func New(key string, queries Queries, commands Commands, metrics http.Handler) *Handler {
	return &Handler{key: sha256.Sum256([]byte(key)), queries: queries, commands: commands, metrics: metrics}
}

// Register adds the routes of the operators' interface to srv.
func (h *Handler) Register(srv *httpserver.Server) {
	srv.Handle(http.MethodGet, PathHealth, h.health)
	srv.Handle(http.MethodGet, PathReady, h.ready)
	srv.Handle(http.MethodGet, PathMetrics, h.requireKey(h.metrics.ServeHTTP))
	srv.Handle(http.MethodGet, PathStatus, h.requireKey(h.status))
	srv.Handle(http.MethodGet, PathAudit, h.requireKey(h.audit))
	srv.Handle(http.MethodPost, PathDrain, h.requireKey(h.drain))
	srv.SetFallback(http.HandlerFunc(h.notFound))
}

func (h *Handler) requireKey(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		sum := sha256.Sum256([]byte(strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")))
		if subtle.ConstantTimeCompare(sum[:], h.key[:]) != 1 {
			writeError(w, apierror.NotRun(apierror.KindUnauthorized, "send Authorization: Bearer and the operator key", "the operator key is missing or wrong"))
			return
		}
		next(w, r)
	}
}

func (h *Handler) notFound(w http.ResponseWriter, r *http.Request) {
	writeError(w, apierror.NotRun(apierror.KindNotFound, "see docs/OPERATIONS.md", "%s %s is not served", r.Method, r.URL.Path))
}

// ErrorResponse is the body of an error response.
type ErrorResponse struct {
	Kind    string `json:"kind"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

func writeError(w http.ResponseWriter, err error) {
	e := apierror.From(err)
	writeJSON(w, e.HTTPStatus(), ErrorResponse{Kind: string(e.Kind), Message: e.Message, Remedy: e.Remedy})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
