package httpwire

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// Reason is why what was received is no HTTP response.
type Reason string

// The reasons.
const (
	ReasonStatusLine Reason = "status line is malformed"
	ReasonStatus     Reason = "status is none of a final response"
	ReasonFieldName  Reason = "name of a field is malformed"
	ReasonFieldValue Reason = "value of a field holds a control byte"
	ReasonFolded     Reason = "line continues the value of a field"
)

// maxQuotedBytes limits what an error quotes of a malformed line.
const maxQuotedBytes = 80

// Error means that what was received is no HTTP response. The request may have run.
type Error struct {
	Reason Reason
	Line   string // the malformed line, shortened
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("no HTTP response was received, so the request may have run; check the sender: %s: %q", e.Reason, e.Line)
}

func newError(reason Reason, line []byte) *Error {
	return &Error{Reason: reason, Line: string(line[:min(len(line), maxQuotedBytes)])}
}

// head checks the head of a response line by line, as it is read, and those of the interim
// responses before it.
type head struct {
	expected bool   // what is read next belongs to a head
	partial  []byte // of a line that has not been read whole
	status   int    // 0 until the status line has been read
}

// check checks what is read next.
func (h *head) check(p []byte) error {
	for h.expected && len(p) > 0 {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			h.partial = append(h.partial, p...)
			return nil
		}
		line := p[:end]
		if len(h.partial) > 0 {
			line = append(h.partial, line...)
			h.partial = nil
		}
		if err := h.checkLine(bytes.TrimSuffix(line, []byte("\r"))); err != nil {
			return err
		}
		p = p[end+1:]
	}
	return nil
}

func (h *head) checkLine(line []byte) error {
	if h.status == 0 {
		var err error
		h.status, err = parseStatusLine(line)
		return err
	}
	if len(line) == 0 {
		*h = head{expected: interim(h.status)}
		return nil
	}
	return checkField(line)
}

// checkField checks one line with a field. A value that goes on in the next line is rejected: what
// follows a blank there may have been meant as a field.
func checkField(line []byte) error {
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch {
	case line[0] == ' ', line[0] == '\t':
		return newError(ReasonFolded, line)
	case !httpguts.ValidHeaderFieldName(string(name)):
		return newError(ReasonFieldName, line)
	case !httpguts.ValidHeaderFieldValue(string(value)):
		return newError(ReasonFieldValue, line)
	}
	return nil
}

// statusDigits is the length of a status.
const statusDigits = 3

// parseStatusLine returns the status of a response of HTTP/1, an interim or a final one.
func parseStatusLine(line []byte) (int, error) {
	version, rest, _ := strings.Cut(string(line), " ")
	digits, reason, _ := strings.Cut(rest, " ")
	major, _, known := http.ParseHTTPVersion(version)
	status, err := strconv.ParseUint(digits, 10, 16)
	if !known || major != 1 || err != nil || len(digits) != statusDigits || !httpguts.ValidHeaderFieldValue(reason) {
		return 0, newError(ReasonStatusLine, line)
	}
	if !interim(int(status)) && !ValidStatus(int(status)) {
		return 0, newError(ReasonStatus, line)
	}
	return int(status), nil
}

// interim reports whether another response follows that with the status. No client here asks
// for another protocol, so 101 is none.
func interim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// ValidStatus reports whether a response with the status can be the answer to a request.
func ValidStatus(status int) bool { return status >= http.StatusOK && status <= maxStatus }

// maxStatus is the largest status of HTTP.
const maxStatus = 599
