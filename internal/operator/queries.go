package operator

import (
	"net/http"
	"strconv"

	"github.com/plantainrun/plantainrun/internal/apierror"
	"github.com/plantainrun/plantainrun/internal/audit"
	"github.com/plantainrun/plantainrun/internal/status"
)

// Queries are the operations that read the host's state without changing it.
type Queries interface {
	// Ready returns nil if the host accepts requests, and otherwise the reason why not.
	Ready() error
	// Status returns the status report of the host.
	Status() status.Status
	// Audit returns the newest matching entries of the audit trail, oldest first.
	Audit(q audit.Query) []audit.Entry
}

func (h *Handler) health(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

func (h *Handler) ready(w http.ResponseWriter, _ *http.Request) {
	if err := h.queries.Ready(); err != nil {
		writeError(w, err)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (h *Handler) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, h.queries.Status())
}

func (h *Handler) audit(w http.ResponseWriter, r *http.Request) {
	q, err := auditQuery(r)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, h.queries.Audit(q))
}

func auditQuery(r *http.Request) (audit.Query, error) {
	var q audit.Query
	values := r.URL.Query()
	q.Subject = values.Get("subject")
	if limit := values.Get("limit"); limit != "" {
		n, err := strconv.Atoi(limit)
		if err != nil || n <= 0 {
			return q, apierror.NotRun(apierror.KindBadRequest, "give a whole number above zero", "limit is %q", limit)
		}
		q.Limit = n
	}
	return q, nil
}
