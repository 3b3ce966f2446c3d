package relay

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// Errors of a stream of events.
var (
	errTruncatedEvent = errors.New("the stream ended within an event")
	errEventGap       = errors.New("an event is missing from the stream")
	errEventTooLarge  = errors.New("an event is above the bound")
)

// event is one whole event of a stream, with its blank line.
type event struct {
	raw   []byte
	id    int64
	hasID bool
}

// eventReader splits a stream into whole events.
type eventReader struct{ r *bufio.Reader }

func newEventReader(r io.Reader) *eventReader { return &eventReader{r: bufio.NewReaderSize(r, 8<<10)} }

// next returns the next event, io.EOF after the last one, or the reason why
// the stream broke off.
func (e *eventReader) next() (event, error) {
	var ev event
	for {
		line, err := e.r.ReadBytes('\n')
		ev.raw = append(ev.raw, line...)
		if err != nil {
			return event{}, streamEndError(ev.raw, err)
		}
		if len(ev.raw) > maxEventBytes {
			return event{}, errEventTooLarge
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return ev, nil
		}
		ev.parseID(text)
	}
}

// streamEndError tells a clean end from one within an event.
func streamEndError(partial []byte, err error) error {
	if errors.Is(err, io.EOF) && len(partial) > 0 {
		return errTruncatedEvent
	}
	return err
}

func (ev *event) parseID(line []byte) {
	value, ok := bytes.CutPrefix(line, []byte("id:"))
	if !ok {
		return
	}
	id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
	if err != nil {
		return // ids that are no numbers carry no order that could be checked
	}
	ev.id, ev.hasID = id, true
}

// eventSequence checks the order of a stream's events across attempts.
type eventSequence struct {
	last    int64
	hasLast bool
}

// resumeAfter sets the last event that the caller has, from its header.
func (s *eventSequence) resumeAfter(lastEventID string) {
	id, err := strconv.ParseInt(lastEventID, 10, 64)
	if err != nil {
		return // the caller has no events
	}
	s.last, s.hasLast = id, true
}

// lastEventID is the id to resume after, empty if the caller has no events.
func (s *eventSequence) lastEventID() string {
	if !s.hasLast {
		return ""
	}
	return strconv.FormatInt(s.last, 10)
}

// accept reports whether an event comes next. Events that the caller has are
// skipped; a gap is an error.
func (s *eventSequence) accept(ev event) (bool, error) {
	if !ev.hasID {
		return true, nil
	}
	if s.hasLast && ev.id <= s.last {
		return false, nil
	}
	if s.hasLast && ev.id != s.last+1 {
		return false, errEventGap
	}
	s.last, s.hasLast = ev.id, true
	return true, nil
}
