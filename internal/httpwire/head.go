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
	ReasonFraming    Reason = "length or encoding of the body is ambiguous"
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
	return fmt.Sprintf("response is malformed, check the sender: %s: %q", e.Reason, e.Line)
}

func newError(reason Reason, line string) *Error {
	return &Error{Reason: reason, Line: line[:min(len(line), maxQuotedBytes)]}
}

// head checks the head of a response line by line, as it is read, and those of the interim
// responses before it.
type head struct {
	expected bool   // what is read next belongs to a head
	partial  []byte // of a line that has not been read whole
	started  bool   // the status line has been read
	err      error  // of a malformed line; what follows it belongs to no response
	statusLine
	framing

	closeDelimited bool // the head has been read, and the body ends with the connection
}

// check checks what is read next. After an error it returns the same one again: a reader of lines
// may take what came before the error for a whole line.
func (h *head) check(p []byte) error {
	for h.expected && h.err == nil && len(p) > 0 {
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
		h.err = h.checkLine(bytes.TrimSuffix(line, []byte("\r")))
		p = p[end+1:]
	}
	return h.err
}

func (h *head) checkLine(line []byte) error {
	var err error
	switch {
	case !h.started:
		h.started = true
		h.statusLine, err = parseStatusLine(line)
	case len(line) > 0:
		err = h.checkField(line)
	case h.ambiguous(h.statusLine):
		err = newError(ReasonFraming, "")
	default:
		*h = head{expected: interim(h.status), closeDelimited: h.delimitedByClose(h.statusLine)}
	}
	return err
}

// checkField checks one line with a field. A value that goes on in the next line is rejected: what
// follows a blank there may have been meant as a field.
func (h *head) checkField(line []byte) error {
	if line[0] == ' ' || line[0] == '\t' {
		return newError(ReasonFolded, string(line))
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	h.note(name, value)
	return checkNameAndValue(string(name), string(value))
}

func checkNameAndValue(name, value string) error {
	switch {
	case !httpguts.ValidHeaderFieldName(name):
		return newError(ReasonFieldName, name+":"+value)
	case !httpguts.ValidHeaderFieldValue(value):
		return newError(ReasonFieldValue, name+":"+value)
	}
	return nil
}

// CheckHead checks the head of a response that does not come over HTTP. The error is an *Error.
func CheckHead(status int, header http.Header) error {
	if !validStatus(status) {
		return newError(ReasonStatus, strconv.Itoa(status))
	}
	for name, values := range header {
		for _, value := range values {
			if err := checkNameAndValue(name, value); err != nil {
				return err
			}
		}
	}
	return nil
}

// framing is what a head says of the length of its body.
type framing struct {
	encoded  bool // in a transfer encoding
	measured bool // by a length
	hasBytes bool // the length is not 0
}

// note notes a field that tells how long the body is.
func (f *framing) note(name, value []byte) {
	switch {
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		f.encoded = true
	case bytes.EqualFold(name, []byte("Content-Length")):
		f.measured = true
		f.hasBytes = f.hasBytes || len(bytes.Trim(value, " \t0")) > 0
	}
}

// ambiguous reports whether the body could be taken for another one than the sender meant: it has
// a length and an encoding, an encoding that its version does not know, or its status allows none.
func (f framing) ambiguous(s statusLine) bool {
	if interim(s.status) || s.status == http.StatusNoContent {
		return f.encoded || f.hasBytes
	}
	return f.encoded && (f.measured || s.minor == 0)
}

// delimitedByClose reports whether only the end of the connection tells where the body ends.
func (f framing) delimitedByClose(s statusLine) bool {
	return s.status != http.StatusNoContent && s.status != http.StatusNotModified && !f.encoded && !f.measured
}

// statusDigits is the length of a status.
const statusDigits = 3

// statusLine is the first line of a response of HTTP/1.
type statusLine struct {
	minor  int // version
	status int // an interim or a final one
}

func parseStatusLine(line []byte) (statusLine, error) {
	version, rest, _ := strings.Cut(string(line), " ")
	digits, reason, _ := strings.Cut(rest, " ")
	major, minor, known := http.ParseHTTPVersion(version)
	status, err := strconv.ParseUint(digits, 10, 16)
	if !known || major != 1 || err != nil || len(digits) != statusDigits || !httpguts.ValidHeaderFieldValue(reason) {
		return statusLine{}, newError(ReasonStatusLine, string(line))
	}
	if !interim(int(status)) && !validStatus(int(status)) {
		return statusLine{}, newError(ReasonStatus, string(line))
	}
	return statusLine{minor: minor, status: int(status)}, nil
}

// interim reports whether another response follows that with the status. No client here asks
// for another protocol, so 101 is none.
func interim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// validStatus reports whether a response with the status can be the answer to a request.
func validStatus(status int) bool { return status >= http.StatusOK && status <= maxStatus }

// maxStatus is the largest status of HTTP.
const maxStatus = 599
