// Package caller implements the callers' HTTP interface: OpenAI-compatible
// completion endpoints and a proxy for calls of plain services.
package caller

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/plantainrun/plantainrun/coord/clock"
	"github.com/plantainrun/plantainrun/coord/outcome"
	"github.com/plantainrun/plantainrun/internal/apierror"
	"github.com/plantainrun/plantainrun/internal/completion"
	"github.com/plantainrun/plantainrun/internal/httpserver"
	"github.com/plantainrun/plantainrun/internal/membudget"
	"github.com/plantainrun/plantainrun/internal/openai"
	"github.com/plantainrun/plantainrun/internal/rules"
)

// HTTP headers of the callers' interface.
const (
	// HeaderTimeLimit is the request's time limit in milliseconds.
	HeaderTimeLimit = "X-Time-Limit-Ms"
	// HeaderTicket carries the ticket of a service call that must not run twice.
	HeaderTicket = "Idempotency-Key"
	// HeaderRequestID carries the request id in responses.
	HeaderRequestID = "X-Request-Id"
)

const (
	servicePrefix = "/v1/services/"
	// bodyReadTimeout is how long a caller may take to send the request body.
	bodyReadTimeout = time.Minute
	// memoryRetryAfter is when a caller may try again whose body the host had no memory for.
	memoryRetryAfter = time.Second
)

// Rules looks up the partners' current rules.
type Rules interface {
	// Organisation returns the organisation that a bearer key belongs to, and
	// the organisation's partner. It returns false for an unknown key.
	Organisation(key string) (rules.Organisation, string, bool)
	// TimeLimit returns the partner's time limit for a class of prompts; zero if
	// the rules set none.
	TimeLimit(partner string, class rules.Class) time.Duration
	// Repeatable reports whether a service call may safely be run more than once.
	Repeatable(partner, service, method, path string) bool
}

// ServiceCall is a call of a plain service.
type ServiceCall struct {
	ID           string
	Ticket       string
	Organisation string
	Partner      string
	Service      string
	Method       string
	Path         string // with the query string
	Header       http.Header
	Body         []byte
	Deadline     time.Time
	Repeatable   bool
}

// ServiceResponse is the complete response of a service.
type ServiceResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// Services runs calls of plain services.
type Services interface {
	// Call runs one call. Its errors are of type *apierror.Error.
	Call(ctx context.Context, call ServiceCall) (ServiceResponse, error)
}

// Observer records errors, latencies and requests in progress for metrics.
// Implementations must be safe for concurrent use.
type Observer interface {
	// RecordError counts an error response.
	RecordError(kind apierror.Kind)
	// RecordTimeToFirstToken records the time from arrival to the first token.
	RecordTimeToFirstToken(class rules.Class, partner string, elapsed time.Duration)
	// RecordDuration records the time from arrival to the end of the response.
	RecordDuration(class rules.Class, partner string, elapsed time.Duration)
	// TrackRequest counts a request as in progress until the returned function is called.
	TrackRequest(iface string) func()
}

// Limits holds the limits on callers' requests and the defaults.
type Limits struct {
	MaxBodyBytes     int64
	DefaultTimeLimit time.Duration // if neither the caller nor the rules set one
	MaxTimeLimit     time.Duration
	MaxOutputTokens  int
	// DefaultBytesPerToken is used to estimate a prompt's tokens, which determine
	// its class. The ratio is the same for all models, so the class does not
	// depend on the model.
	DefaultBytesPerToken float64
}

// Handler serves the callers' interface. It is safe for concurrent use.
type Handler struct {
	Rules    Rules
	Runner   completion.Runner
	Services Services
	Observer Observer
	Limits   Limits
	// Memory accounts for the bodies of requests; nil for no limit.
	Memory *membudget.Budget
	Clock  clock.Clock
	NewID  func() string
}

// Register adds the routes of the callers' interface to srv.
func (h *Handler) Register(srv *httpserver.Server) {
	srv.Handle(http.MethodPost, "/v1/completions", h.withTracking("prompts", h.completions))
	srv.Handle(http.MethodPost, "/v1/chat/completions", h.withTracking("prompts", h.chat))
	srv.HandlePrefix(servicePrefix, h.withTracking("services", h.service))
	srv.SetFallback(http.HandlerFunc(h.notFound))
}

// withTracking counts the requests that next serves as in progress.
func (h *Handler) withTracking(iface string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		defer h.Observer.TrackRequest(iface)()
		next(w, r)
	}
}

// requestMeta identifies a request and its caller, with the requested time limit.
type requestMeta struct {
	id        string
	org       rules.Organisation
	partner   string
	arrival   time.Time
	timeLimit time.Duration // zero: the caller set no limit
}

func (h *Handler) authenticate(r *http.Request) (requestMeta, error) {
	meta := requestMeta{id: h.NewID(), arrival: h.Clock.Now()}
	key, err := bearerKey(r)
	if err != nil {
		return meta, err
	}
	org, partner, ok := h.Rules.Organisation(key)
	if !ok {
		return meta, apierror.NotRun(apierror.KindUnauthorized, "use a key that your partner's rules name", "the bearer key belongs to no organisation")
	}
	meta.org, meta.partner = org, partner
	meta.timeLimit, err = parseTimeLimit(r)
	return meta, err
}

func bearerKey(r *http.Request) (string, error) {
	const scheme = "Bearer "
	value := r.Header.Get("Authorization")
	if len(value) <= len(scheme) || value[:len(scheme)] != scheme {
		return "", apierror.NotRun(apierror.KindUnauthorized, "send Authorization: Bearer and your organisation's key", "the request has no bearer key")
	}
	return value[len(scheme):], nil
}

func parseTimeLimit(r *http.Request) (time.Duration, error) {
	value := r.Header.Get(HeaderTimeLimit)
	if value == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms <= 0 || ms > math.MaxInt64/int64(time.Millisecond) {
		return 0, apierror.NotRun(apierror.KindBadRequest, "give a whole number of milliseconds above zero", "%s is %q", HeaderTimeLimit, value)
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// effectiveTimeLimit returns the caller's time limit or, without one, the
// partner's or the default. It is capped by the partner's limit or, without
// one, by MaxTimeLimit.
func (h *Handler) effectiveTimeLimit(meta requestMeta, class rules.Class) time.Duration {
	partnerCap := h.Rules.TimeLimit(meta.partner, class)
	limit := meta.timeLimit
	if limit == 0 {
		limit = partnerCap
	}
	if limit == 0 {
		limit = h.Limits.DefaultTimeLimit
	}
	if partnerCap > 0 {
		return min(limit, partnerCap)
	}
	return min(limit, h.Limits.MaxTimeLimit)
}

// readBody reads a body of at most MaxBodyBytes. It panics with http.ErrAbortHandler if its
// connection has been closed for another one meanwhile.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, held *membudget.Holding) ([]byte, error) {
	if r.ContentLength > h.Limits.MaxBodyBytes {
		return nil, h.tooLarge()
	}
	ctl := http.NewResponseController(w)
	_ = ctl.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	defer func() { _ = ctl.SetReadDeadline(time.Time{}) }()
	body, err := held.ReadAll(http.MaxBytesReader(w, r.Body, h.Limits.MaxBodyBytes), 0)
	var maxBytesErr *http.MaxBytesError
	switch {
	case errors.As(err, &maxBytesErr):
		return nil, h.tooLarge()
	case errors.Is(err, membudget.ErrExhausted):
		return nil, apierror.NotRun(apierror.KindOverloaded, "send the request again, or to another host", "this host holds as much for callers as it may").WithRetryAfter(memoryRetryAfter)
	case err != nil:
		return nil, apierror.NotRun(apierror.KindBadRequest, "send the body again", "the body ended early or took longer than %s", bodyReadTimeout)
	case !httpserver.RequestReceived(r):
		panic(http.ErrAbortHandler)
	}
	return body, nil
}

func (h *Handler) tooLarge() error {
	return apierror.NotRun(apierror.KindTooLarge, "send a smaller body", "the body is over the limit of %d bytes", h.Limits.MaxBodyBytes)
}

func (h *Handler) notFound(w http.ResponseWriter, r *http.Request) {
	h.writeError(w, apierror.NotRun(apierror.KindNotFound, "see the paths in the README", "%s %s is not served", r.Method, r.URL.Path))
}

// writeError writes err as the response.
func (h *Handler) writeError(w http.ResponseWriter, err error) {
	e := apierror.From(err)
	h.Observer.RecordError(e.Kind)
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	if e.Ticket != "" {
		w.Header().Set(HeaderTicket, e.Ticket)
	}
	writeJSON(w, e.HTTPStatus(), errorBody(e))
}

func errorBody(e *apierror.Error) openai.ErrorBody {
	return openai.ErrorBody{Error: openai.ErrorDetail{
		Kind:              string(e.Kind),
		Message:           e.Message,
		Remedy:            e.Remedy,
		Run:               e.Outcome.RunState(),
		RetryAfterSeconds: e.RetryAfter.Seconds(),
		Ticket:            e.Ticket,
	}}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		status = http.StatusInternalServerError
		body = []byte(`{"error":{"kind":"internal","message":"the answer cannot be encoded","run":"` + outcome.Unknown.RunState() + `"}}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
