package service

import (
	"bytes"
	"cmp"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/plantainrun/plantainrun/internal/engineapi"
)

// EchoResponse is the response body of an executed call.
type EchoResponse struct {
	Path string `json:"path"`
	Echo []byte `json:"echo"` // the request's body
}

// respond writes the response of an executed call, with the fault of c.
func (s *Service) respond(w http.ResponseWriter, r *http.Request, c Control, body []byte) {
	response, _ := json.Marshal(EchoResponse{Path: r.URL.Path, Echo: body})
	switch c.Fault {
	case FaultDisconnect:
		panic(http.ErrAbortHandler)
	case FaultSlowResponse:
		s.hold(r, time.Duration(c.DelayMS)*time.Millisecond)
	case FaultWrongID:
		w.Header().Set(engineapi.HeaderRequestID, "crossed")
		response, _ = json.Marshal(EchoResponse{Path: r.URL.Path, Echo: []byte("of another request")})
	case FaultTruncate:
		s.writeTruncated(w, response)
	case FaultUnframed:
		s.writeUnframed(w, r, response)
		return
	case FaultLongBody:
		response = bytes.Repeat([]byte("x"), LongBodyBytes)
	case FaultUnstated:
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case FaultServerError:
		w.Header().Set("Retry-After", "7") // must not reach callers of a call that may have run
		w.WriteHeader(cmp.Or(c.Status, http.StatusInternalServerError))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(successStatus(r.Method))
	_, _ = w.Write(response)
}

func successStatus(method string) int {
	if method == http.MethodPost {
		return http.StatusCreated
	}
	return http.StatusOK
}

// writeTruncated declares the length of the complete response, sends half of it
// and closes the connection.
func (s *Service) writeTruncated(w http.ResponseWriter, response []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(response)))
	w.WriteHeader(http.StatusCreated)
	_, _ = w.Write(response[:len(response)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// writeUnframed sends half of the response as HTTP/1.0 without a length, so that
// the client cannot tell that the body is incomplete.
func (s *Service) writeUnframed(w http.ResponseWriter, r *http.Request, response []byte) {
	conn, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = rw.WriteString("HTTP/1.0 201 Created\r\n" + engineapi.HeaderRequestID + ": " + r.Header.Get(engineapi.HeaderRequestID) + "\r\n\r\n")
	_, _ = rw.Write(response[:len(response)/2])
	_ = rw.Flush()
}

// hold delays the call by d, or with zero until the client gives up. Release ends
// it early.
func (s *Service) hold(r *http.Request, d time.Duration) {
	var after <-chan time.Time
	if d > 0 {
		timer := time.NewTimer(d)
		defer timer.Stop()
		after = timer.C
	}
	select {
	case <-after:
	case <-s.released:
	case <-r.Context().Done():
	}
}

// sleepUnlessReleased sleeps for d and reports whether it elapsed before Release.
func (s *Service) sleepUnlessReleased(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.released:
		return false
	}
}
