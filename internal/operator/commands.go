package operator

import (
	"net/http"

	"github.com/plantainrun/plantainrun/internal/apierror"
)

// Commands are the operations that change the host's state.
type Commands interface {
	// Drain starts a graceful shutdown on behalf of the named operator. It
	// reports whether this call started it; further calls have no effect.
	Drain(name string) (started bool)
}

// DrainResponse is the body of the response to a drain command.
type DrainResponse struct {
	Started bool   `json:"started"`
	Message string `json:"message"`
}

func (h *Handler) drain(w http.ResponseWriter, r *http.Request) {
	name := r.Header.Get(HeaderOperator)
	if name == "" {
		writeError(w, apierror.NotRun(apierror.KindBadRequest, "name yourself in "+HeaderOperator, "the command names nobody for the audit trail"))
		return
	}
	if h.commands.Drain(name) {
		writeJSON(w, http.StatusAccepted, DrainResponse{Started: true, Message: "the host finishes its requests and exits"})
		return
	}
	writeJSON(w, http.StatusAccepted, DrainResponse{Message: "the host was already draining"})
}
