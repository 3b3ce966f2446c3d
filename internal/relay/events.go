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
	errTornEvent  = errors.New("the stream ended within an event")
	errEventGap   = errors.New("an event is missing from the stream")
	errLargeEvent = errors.New("an event is above the bound")
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
			return event{}, endOf(ev.raw, err)
		}
		if len(ev.raw) > maxEventBytes {
			return event{}, errLargeEvent
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return ev, nil
		}
		ev.readID(text)
	}
}

// endOf tells a clean end from one within an event.
func endOf(partial []byte, err error) error {
	if errors.Is(err, io.EOF) && len(partial) > 0 {
		return errTornEvent
	}
	return err
}

func (ev *event) readID(line []byte) {
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

// sequence checks the order of a stream's events across attempts.
type sequence struct {
	last  int64
	known bool
}

// startAfter sets the last event that the caller has, from its header.
func (s *sequence) startAfter(lastEvent string) {
	id, err := strconv.ParseInt(lastEvent, 10, 64)
	if err != nil {
		return // the caller has no events
	}
	s.last, s.known = id, true
}

// lastEvent is the id to resume after, empty if the caller has no events.
func (s *sequence) lastEvent() string {
	if !s.known {
		return ""
	}
	return strconv.FormatInt(s.last, 10)
}

// admit reports whether an event comes next. Events that the caller has are
// skipped; a gap is an error.
func (s *sequence) admit(ev event) (bool, error) {
	if !ev.hasID {
		return true, nil
	}
	if s.known && ev.id <= s.last {
		return false, nil
	}
	if s.known && ev.id != s.last+1 {
		return false, errEventGap
	}
	s.last, s.known = ev.id, true
	return true, nil
}
