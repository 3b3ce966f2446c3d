// Package operator is the operators' HTTP interface: probes and metrics,
// queries, and commands apart from them. It has a listener of its own and
// wants a key for everything but the balancer's probes.
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

// Paths of the operators' interface.
const (
	PathHealth  = "/healthz"
	PathReady   = "/readyz"
	PathMetrics = "/metrics"
	PathStatus  = "/v1/status"
	PathAudit   = "/v1/audit"
	PathDrain   = "/v1/drain"
)

// HeaderWho names the operator in the audit trail.
const HeaderWho = "X-Operator"

// Interface is the operators' interface of one host.
type Interface struct {
	key      [sha256.Size]byte
	queries  Queries
	commands Commands
	metrics  http.Handler
}

// New returns an interface that accepts the given bearer key.
func New(key string, queries Queries, commands Commands, metrics http.Handler) *Interface {
	return &Interface{key: sha256.Sum256([]byte(key)), queries: queries, commands: commands, metrics: metrics}
}

// Register adds the operators' routes to srv.
func (i *Interface) Register(srv *httpserver.Server) {
	srv.Handle(http.MethodGet, PathHealth, i.health)
	srv.Handle(http.MethodGet, PathReady, i.ready)
	srv.Handle(http.MethodGet, PathMetrics, i.withKey(i.metrics.ServeHTTP))
	srv.Handle(http.MethodGet, PathStatus, i.withKey(i.status))
	srv.Handle(http.MethodGet, PathAudit, i.withKey(i.audit))
	srv.Handle(http.MethodPost, PathDrain, i.withKey(i.drain))
	srv.SetFallback(http.HandlerFunc(i.notFound))
}

func (i *Interface) withKey(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		sum := sha256.Sum256([]byte(strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")))
		if subtle.ConstantTimeCompare(sum[:], i.key[:]) != 1 {
			writeError(w, apierror.NotRun(apierror.KindUnauthorized, "send Authorization: Bearer and the operator key", "the operator key is missing or wrong"))
			return
		}
		next(w, r)
	}
}

func (i *Interface) notFound(w http.ResponseWriter, r *http.Request) {
	writeError(w, apierror.NotRun(apierror.KindNotFound, "see docs/OPERATIONS.md", "%s %s is not served", r.Method, r.URL.Path))
}

// Failure is the body of an error answer.
type Failure struct {
	Kind    string `json:"kind"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

func writeError(w http.ResponseWriter, err error) {
	e := apierror.From(err)
	writeJSON(w, e.HTTPStatus(), Failure{Kind: string(e.Kind), Message: e.Message, Remedy: e.Remedy})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
