package relay_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/plantainrun/plantainrun/internal/catalog"
	"github.com/plantainrun/plantainrun/internal/relay"
)

const (
	enginePrefill = 30 * time.Millisecond
	enginePass    = 45 * time.Millisecond // between two events
	engineEvents  = 20
	// crashDelay is the time from the start of an answer to a crashing prompt until the
	// engine ends, and restartTime the time until another process takes its place.
	crashDelay  = 60 * time.Millisecond
	restartTime = 3 * time.Second
)

// fleetEngine is an engine that ends when it begins to answer a prompt with a certain
// part or body. All answers in progress break off, and another process takes its place later.
type fleetEngine struct {
	targets     *fleetTargets
	crashesOn   string // shared part, or body, of the prompts that end it
	afterChange func()

	mu       sync.Mutex
	down     bool
	ended    chan struct{} // closed when the process ends
	startsAt int64         // start time of the process as Unix milliseconds
}

var errConnectionReset = errors.New("connection reset")

// answer runs a request and returns a response whose body grows with time.
func (e *fleetEngine) answer(call relay.Call) (*relay.Response, error) {
	e.mu.Lock()
	down, ended, sameProcess := e.down, e.ended, e.startsAt == call.Target.StartUnixMilli
	e.mu.Unlock()
	if down || !sameProcess {
		return nil, &relay.SendError{Cause: errConnectionReset}
	}
	select {
	case <-ended:
		return nil, &relay.SendError{MaybeSent: true, Cause: errConnectionReset}
	case <-time.After(enginePrefill):
	}
	if slices.Contains(call.Request.SharedParts, e.crashesOn) || string(call.Request.Body) == e.crashesOn {
		time.AfterFunc(crashDelay, func() { e.crash(ended) })
	}
	last := 0
	_, _ = fmt.Sscan(call.LastEventID, &last) // empty: from the start
	return &relay.Response{
		Status: http.StatusOK, Header: http.Header{}, Authentic: true, Stream: true,
		Body: io.NopCloser(&engineStream{ended: ended, last: last}),
	}, nil
}

// crash ends the process that answers until ended is closed, if it still runs.
func (e *fleetEngine) crash(process chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down || e.ended != process {
		return
	}
	e.down = true
	close(process)
	e.targets.recordCrash()
	time.AfterFunc(restartTime, e.restart)
}

func (e *fleetEngine) restart() {
	e.mu.Lock()
	e.down, e.ended = false, make(chan struct{})
	e.startsAt++
	e.mu.Unlock()
	e.afterChange()
}

func (e *fleetEngine) startTime() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.startsAt
}

// engineStream yields an event for each pass until the engine ends.
type engineStream struct {
	ended chan struct{}
	last  int
	text  string
}

func (s *engineStream) Read(p []byte) (int, error) {
	if s.text == "" {
		if s.last == engineEvents {
			return 0, io.EOF
		}
		select {
		case <-s.ended:
			return 0, errConnectionReset
		case <-time.After(enginePass):
		}
		s.last++
		s.text = fmt.Sprintf("id: %d\ndata: piece %d\n\n", s.last, s.last)
	}
	n := copy(p, s.text)
	s.text = s.text[n:]
	return n, nil
}

// useEngines replaces the fleet's targets by engines that end on prompts with a part or body.
// The hosts learn of an engine's new process when it starts.
func (f *fleet) useEngines(count int, crashesOn string) {
	f.targets.engines = make(map[string]*fleetEngine)
	f.source.targets = nil
	for i := range count {
		id := fmt.Sprint("engine-", i)
		f.targets.engines[id] = &fleetEngine{
			targets: f.targets, crashesOn: crashesOn, afterChange: f.publishEngines, ended: make(chan struct{}), startsAt: 1,
		}
	}
	f.publishEngines()
}

// publishEngines gives all hosts a view with the current processes of the engines.
func (f *fleet) publishEngines() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.source.targets = nil
	for id, e := range f.targets.engines {
		f.source.targets = append(f.source.targets, catalog.Target{
			TargetKey: catalog.TargetKey{ID: id, StartUnixMilli: e.startTime()}, Service: "llm", Domain: "north", Slots: engineModel.Slots,
		})
	}
	view := newStaticView(f.source).View()
	for _, h := range f.hosts {
		h.views.set(view)
	}
}

// recordCrash records that an engine has ended.
func (t *fleetTargets) recordCrash() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.crashes = append(t.crashes, time.Now())
}
