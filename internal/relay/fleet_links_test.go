package relay_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/plantainrun/plantainrun/internal/relay"
)

// linkFault is a fault of a host's links to the targets of a service.
type linkFault uint8

const (
	linkUp        linkFault = iota
	linkReset               // open connections are reset, new ones refused
	linkSilent              // nothing arrives any more
	linkNoNewConn           // open connections live on, new ones are refused
)

func (f linkFault) String() string {
	return [...]string{"up", "reset", "silent", "no_new_connections"}[f]
}

const (
	// connectTimeout and unackedTimeout are after what a host gives up a connection
	// that is not established, or whose data are not acknowledged.
	connectTimeout = 700 * time.Millisecond
	unackedTimeout = 1200 * time.Millisecond
	// openConnShare is the share of requests that find an open connection.
	openConnShare = 0.3
)

// targetLinks are a host's links to the targets, by service.
type targetLinks struct {
	mu      sync.Mutex
	faults  map[string]linkFault
	changed chan struct{} // closed at the next change
}

func newTargetLinks() *targetLinks {
	return &targetLinks{faults: make(map[string]linkFault), changed: make(chan struct{})}
}

func (l *targetLinks) set(fault linkFault, services ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range services {
		l.faults[s] = fault
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *targetLinks) get(service string) (linkFault, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults[service], l.changed
}

// connect returns an error if a request cannot be sent.
func (l *targetLinks) connect(ctx context.Context, service string) error {
	fault, _ := l.get(service)
	switch {
	case fault == linkSilent:
		select {
		case <-ctx.Done():
		case <-time.After(connectTimeout):
		}
		return &relay.SendError{Cause: context.DeadlineExceeded}
	case fault == linkReset, fault == linkNoNewConn && rand.Float64() > openConnShare:
		return &relay.SendError{Cause: errConnectionReset}
	}
	return nil
}

// probe returns an error if no new connection can be opened.
func (l *targetLinks) probe(ctx context.Context, service string) error {
	fault, _ := l.get(service)
	switch fault {
	case linkUp:
		return nil
	case linkSilent:
		<-ctx.Done()
		return ctx.Err()
	}
	return errConnectionReset
}

// await waits for a target's next bytes, which take d. It returns an error if the link
// fails or ctx ends before they have arrived.
func (l *targetLinks) await(ctx context.Context, service string, d time.Duration) error {
	done := time.After(d)
	for {
		fault, changed := l.get(service)
		switch fault {
		case linkReset:
			return errConnectionReset
		case linkSilent:
			done = time.After(unackedTimeout)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-done:
			if fault == linkSilent {
				return errConnectionReset
			}
			return nil
		}
	}
}

// slowStream is a stream whose events arrive one after the other over a link.
type slowStream struct {
	ctx      context.Context
	links    *targetLinks
	service  string
	interval time.Duration
	next     int
	events   int
	buffered *strings.Reader
}

func (s *slowStream) Read(p []byte) (int, error) {
	if s.buffered.Len() > 0 {
		return s.buffered.Read(p)
	}
	if s.next > s.events {
		return 0, io.EOF
	}
	if err := s.links.await(s.ctx, s.service, s.interval); err != nil {
		return 0, err
	}
	s.buffered.Reset(eventText(s.next))
	s.next++
	return s.buffered.Read(p)
}

func (s *slowStream) Close() error { return nil }

// stream returns the events after the last one that the caller has received.
func (tr *fleetTransport) stream(ctx context.Context, call relay.Call) io.ReadCloser {
	last := 0
	_, _ = fmt.Sscan(call.LastEventID, &last) // empty: from the start
	return &slowStream{
		ctx: ctx, links: tr.host.links, service: call.Target.Service, interval: tr.host.fleet.targets.eventInterval,
		next: last + 1, events: streamEvents, buffered: strings.NewReader(""),
	}
}
