package relay

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/plantainrun/plantainrun/internal/membudget"
)

// maxEventBytes is the largest size of one event of a stream.
const maxEventBytes = 1 << 20

// eventBufferBytes is the size of a stream's read buffer.
const eventBufferBytes = 8 << 10

// Errors that end the reading of an event stream.
var (
	errTruncatedEvent = errors.New("stream ended in the middle of an event")
	errEventGap       = errors.New("event ids of the stream have a gap")
	errEventTooLarge  = errors.New("event exceeds the size limit")
)

// event is one complete server-sent event, including the blank line that ends it.
type event struct {
	raw   []byte
	id    int64
	hasID bool
}

// eventReader splits a stream into complete events. It holds one event at a time.
type eventReader struct {
	r    *bufio.Reader
	held membudget.Holding // of the latest event
}

func newEventReader(r io.Reader, held membudget.Holding) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, eventBufferBytes), held: held}
}

// release gives the memory of the latest event back.
func (e *eventReader) release() { e.held.Release() }

// next returns the next event, io.EOF after the last one, or the error that
// ended the stream prematurely. It reads little more than maxEventBytes of an event
// without end. An event is valid until the next call.
func (e *eventReader) next() (event, error) {
	e.release()
	var ev event
	for {
		line, err := e.line(&ev)
		if err != nil {
			return event{}, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return ev, nil
		}
		ev.parseID(text)
	}
}

// line appends the next line to the event and returns it.
func (e *eventReader) line(ev *event) ([]byte, error) {
	start := len(ev.raw)
	for {
		part, readErr := e.r.ReadSlice('\n')
		if len(ev.raw)+len(part) > maxEventBytes {
			return nil, errEventTooLarge
		}
		var err error
		if ev.raw, err = e.held.Append(ev.raw, part); err != nil {
			return nil, err
		}
		switch {
		case readErr == nil:
			return ev.raw[start:], nil
		case !errors.Is(readErr, bufio.ErrBufferFull):
			return nil, streamEndError(ev.raw, readErr)
		}
	}
}

// streamEndError replaces io.EOF by errTruncatedEvent if the stream ended in the
// middle of an event.
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
		return // the order of non-numeric ids cannot be checked
	}
	ev.id, ev.hasID = id, true
}

// eventSequence checks that event ids are consecutive across the attempts of one
// request.
type eventSequence struct {
	last    int64
	hasLast bool
}

// resumeAfter sets the last event that the caller has received, taken from its
// Last-Event-ID header.
func (s *eventSequence) resumeAfter(lastEventID string) {
	id, err := strconv.ParseInt(lastEventID, 10, 64)
	if err != nil {
		return // the caller has received no events
	}
	s.last, s.hasLast = id, true
}

// lastEventID returns the id to resume after, empty if the caller has received no
// events.
func (s *eventSequence) lastEventID() string {
	if !s.hasLast {
		return ""
	}
	return strconv.FormatInt(s.last, 10)
}

// accept reports whether an event is to be sent to the caller. It returns false
// for events that the caller has already received and an error for a gap.
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
