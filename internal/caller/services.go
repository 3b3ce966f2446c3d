package caller

import (
	"context"
	"net/http"
	"strconv"
	"strings"

	"github.com/plantainrun/plantainrun/internal/apierror"
	"github.com/plantainrun/plantainrun/internal/membudget"
	"github.com/plantainrun/plantainrun/internal/rules"
)

// hopByHopHeaders apply to a single connection and are not forwarded (RFC 9110,
// section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func (h *Handler) service(w http.ResponseWriter, r *http.Request) {
	meta, err := h.authenticate(r)
	w.Header().Set(HeaderRequestID, meta.id)
	if err != nil {
		h.writeError(w, err)
		return
	}
	held := h.Memory.Hold(membudget.RequestBody)
	defer held.Release()
	call, err := h.parseServiceCall(w, r, meta, &held)
	if err != nil {
		h.writeError(w, err)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), call.Deadline)
	defer cancel()
	resp, err := h.Services.Call(ctx, call)
	if err != nil {
		h.writeError(w, err)
		return
	}
	writeServiceResponse(w, resp)
}

func (h *Handler) parseServiceCall(w http.ResponseWriter, r *http.Request, meta requestMeta, held *membudget.Holding) (ServiceCall, error) {
	name, path, ok := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), servicePrefix), "/")
	if !ok || name == "" {
		return ServiceCall{}, apierror.NotRun(apierror.KindNotFound, "call /v1/services/{service}/{path}", "%s names no service", r.URL.Path)
	}
	path = "/" + path
	if needsNormalization(path) {
		return ServiceCall{}, apierror.NotRun(apierror.KindBadRequest, "send the resolved path", "path %q has dot segments", path)
	}
	body, err := h.readBody(w, r, held)
	if err != nil {
		return ServiceCall{}, err
	}
	call := ServiceCall{
		ID: meta.id, Ticket: r.Header.Get(HeaderTicket), Partner: meta.partner, Organisation: meta.org.Name,
		Service: name, Method: r.Method, Path: path, Header: endToEndHeaders(r.Header), Body: body,
		Deadline:   meta.arrival.Add(h.effectiveTimeLimit(meta, rules.ClassShort)),
		Repeatable: h.Rules.Repeatable(meta.partner, name, r.Method, path),
	}
	if r.URL.RawQuery != "" {
		call.Path += "?" + r.URL.RawQuery
	}
	return call, nil
}

// needsNormalization reports whether path has dot segments, empty segments or escaped
// slashes. A target may resolve these to another path than the one that was
// looked up in the rules.
func needsNormalization(path string) bool {
	lower := strings.ReplaceAll(strings.ToLower(path), "%2e", ".")
	for _, segment := range strings.Split(lower, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return strings.Contains(lower, "%2f") || strings.Contains(lower, "//")
}

// endToEndHeaders returns a copy of in without hop-by-hop headers and the headers of
// this interface. The caller's key is not forwarded to the service.
func endToEndHeaders(in http.Header) http.Header {
	out := in.Clone()
	for _, option := range strings.Split(in.Get("Connection"), ",") {
		out.Del(strings.TrimSpace(option))
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	out.Del("Authorization")
	out.Del(HeaderTicket)
	out.Del(HeaderTimeLimit)
	out.Del(HeaderRequestID)
	return out
}

func writeServiceResponse(w http.ResponseWriter, resp ServiceResponse) {
	header := w.Header()
	for name, values := range endToEndHeaders(resp.Header) {
		header[name] = values
	}
	header.Set("Content-Length", strconv.Itoa(len(resp.Body)))
	w.WriteHeader(resp.Status)
	_, _ = w.Write(resp.Body)
}
