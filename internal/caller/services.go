package caller

import (
	"context"
	"net/http"
	"strconv"
	"strings"

	"github.com/plantainrun/plantainrun/internal/apierror"
	"github.com/plantainrun/plantainrun/internal/rules"
)

// hopHeaders are meant for one connection only (RFC 9110, 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func (h *Handler) service(w http.ResponseWriter, r *http.Request) {
	who, err := h.identify(r)
	w.Header().Set(HeaderRequestID, who.id)
	if err != nil {
		h.fail(w, err)
		return
	}
	call, err := h.serviceCall(w, r, who)
	if err != nil {
		h.fail(w, err)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), call.Deadline)
	defer cancel()
	answer, err := h.Services.Call(ctx, call)
	if err != nil {
		h.fail(w, err)
		return
	}
	writeAnswer(w, answer)
}

func (h *Handler) serviceCall(w http.ResponseWriter, r *http.Request, who identity) (ServiceCall, error) {
	name, path, ok := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), servicePrefix), "/")
	if !ok || name == "" {
		return ServiceCall{}, apierror.NotRun(apierror.KindNotFound, "call /v1/services/{service}/{path}", "%s names no service", r.URL.Path)
	}
	path = "/" + path
	if hasDotSegment(path) {
		return ServiceCall{}, apierror.NotRun(apierror.KindBadRequest, "send the resolved path", "path %q has dot segments", path)
	}
	body, err := h.readBody(w, r)
	if err != nil {
		return ServiceCall{}, err
	}
	call := ServiceCall{
		ID: who.id, Ticket: r.Header.Get(HeaderTicket), Partner: who.partner, Organisation: who.org.Name,
		Service: name, Method: r.Method, Path: path, Header: endToEnd(r.Header), Body: body,
		Deadline:   who.arrival.Add(h.limitFor(who, rules.ClassShort)),
		Repeatable: h.Rules.Repeatable(who.partner, name, r.Method, path),
	}
	if r.URL.RawQuery != "" {
		call.Path += "?" + r.URL.RawQuery
	}
	return call, nil
}

// hasDotSegment recognises segments that a target may resolve to another path
// than the one that the rules were asked about.
func hasDotSegment(path string) bool {
	lower := strings.ReplaceAll(strings.ToLower(path), "%2e", ".")
	for _, segment := range strings.Split(lower, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return strings.Contains(lower, "%2f") || strings.Contains(lower, "//")
}

// endToEnd copies the headers that are meant for the service. The caller's key
// stays here.
func endToEnd(in http.Header) http.Header {
	out := in.Clone()
	for _, named := range strings.Split(in.Get("Connection"), ",") {
		out.Del(strings.TrimSpace(named))
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	out.Del("Authorization")
	out.Del(HeaderTicket)
	out.Del(HeaderTimeLimit)
	out.Del(HeaderRequestID)
	return out
}

func writeAnswer(w http.ResponseWriter, answer ServiceAnswer) {
	header := w.Header()
	for name, values := range endToEnd(answer.Header) {
		header[name] = values
	}
	header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}
