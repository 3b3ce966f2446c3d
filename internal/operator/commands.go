package operator

import (
	"net/http"

	"github.com/plantainrun/plantainrun/internal/apierror"
)

// Commands change the host's state.
type Commands interface {
	// Drain starts a graceful shutdown. It reports whether this call started
	// it; a second one changes nothing.
	Drain(who string) (started bool)
}

// DrainAnswer says what a drain command did.
type DrainAnswer struct {
	Started bool   `json:"started"`
	Message string `json:"message"`
}

func (i *Interface) drain(w http.ResponseWriter, r *http.Request) {
	who := r.Header.Get(HeaderWho)
	if who == "" {
		writeError(w, apierror.NotRun(apierror.KindBadRequest, "name yourself in "+HeaderWho, "the command names nobody for the audit trail"))
		return
	}
	if i.commands.Drain(who) {
		writeJSON(w, http.StatusAccepted, DrainAnswer{Started: true, Message: "the host finishes its requests and exits"})
		return
	}
	writeJSON(w, http.StatusAccepted, DrainAnswer{Message: "the host was already draining"})
}
