package platform

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/plantainrun/plantainrun/internal/confservice"
)

// maxWatchWait limits how long a watch may wait.
const maxWatchWait = time.Minute

// PublishResponse is the response to a publication through the control endpoint.
type PublishResponse struct {
	Revision uint64 `json:"revision"`
}

// Handler returns the HTTP handler: the read-only API for hosts below /v1, and
// the control endpoint for tests below /control.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/values/{key...}", s.serveRead)
	mux.HandleFunc("GET /v1/watch", s.serveWatch)
	mux.HandleFunc("PUT /control/values/{key...}", s.servePublish)
	mux.HandleFunc("PUT /control/faults", s.serveFaults)
	mux.HandleFunc("GET /control/stats", s.serveStats)
	return mux
}

func (s *Service) serveRead(w http.ResponseWriter, r *http.Request) {
	v, err := s.Read(r.Context(), r.PathValue("key"))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, v)
}

func (s *Service) serveWatch(w http.ResponseWriter, r *http.Request) {
	q, err := parseWatchRequest(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	changes, err := s.Watch(r.Context(), q)
	switch {
	case err != nil:
		writeError(w, err)
	case len(changes) == 0:
		w.WriteHeader(http.StatusNoContent)
	default:
		writeJSON(w, confservice.WatchResponse{Changes: changes})
	}
}

func parseWatchRequest(r *http.Request) (confservice.WatchRequest, error) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		return confservice.WatchRequest{}, err
	}
	wait, err := time.ParseDuration(query.Get("wait"))
	if err != nil {
		return confservice.WatchRequest{}, err
	}
	keys := strings.Split(query.Get("keys"), ",")
	return confservice.WatchRequest{After: after, Keys: keys, Wait: min(wait, maxWatchWait)}, nil
}

func (s *Service) servePublish(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, confservice.MaxValueBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	revision, err := s.Publish(r.PathValue("key"), body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	writeJSON(w, PublishResponse{Revision: revision})
}

func (s *Service) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Service) serveStats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Stats())
}

func writeError(w http.ResponseWriter, err error) {
	var notFound *confservice.NotFoundError
	if errors.As(err, &notFound) {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	http.Error(w, err.Error(), http.StatusServiceUnavailable)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
