package membership

import (
	"time"

	"github.com/plantainrun/plantainrun/coord/identity"
)

// Kind tells hosts from targets.
type Kind uint8

// The kinds of member.
const (
	KindHost Kind = iota + 1
	KindTarget
)

// State is what is known of a member or of one incarnation of it.
type State uint8

// The states, in the order in which an incarnation moves through them. Unknown
// means that nothing reliable was heard.
const (
	Unknown State = iota
	Live
	Leaving
	Gone
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case Live:
		return "live"
	case Leaving:
		return "leaving"
	case Gone:
		return "gone"
	default:
		return "unknown"
	}
}

// Entry is one member on a published list.
type Entry struct {
	ID      string
	Domain  string // failure domain
	Leaving bool
}

// EventType tells what an Event says.
type EventType uint8

// The types of event.
const (
	// EventIncarnation gives the state of one incarnation.
	EventIncarnation EventType = iota + 1
	// EventList says that a list of some revision shows the member as leaving.
	EventList
	// EventRefused says that a member of unknown incarnation refused work since it leaves.
	EventRefused
	// EventSettled says that lists showed the member leaving or absent and then live again, so
	// that refusals until then no longer count.
	EventSettled
	// EventSuspect says that a host could not be reached.
	EventSuspect
)

// Event is one fact that hosts pass on to each other.
type Event struct {
	Type        EventType
	Kind        Kind
	ID          string
	Incarnation string // for EventIncarnation and EventSuspect
	// Timestamp grows with each incarnation of a member, for EventIncarnation: the Unix
	// time in milliseconds at which a host started or a target reported. For
	// EventRefused, EventSettled and EventSuspect it is the time of the observation.
	Timestamp int64
	State     State  // for EventIncarnation
	Revision  uint64 // of the list, for EventList
}

// HostEvent returns the event that gives the state of a host's process.
func HostEvent(inc identity.Incarnation, started time.Time, state State) Event {
	return Event{
		Type: EventIncarnation, Kind: KindHost, ID: inc.Host,
		Incarnation: inc.String(), Timestamp: started.UnixMilli(), State: state,
	}
}

// valid reports whether an event from a peer makes sense.
func (e Event) valid() bool {
	if e.ID == "" || len(e.ID) > maxNameBytes || len(e.Incarnation) > maxNameBytes {
		return false
	}
	if e.Kind != KindHost && e.Kind != KindTarget {
		return false
	}
	switch e.Type {
	case EventIncarnation:
		return e.Incarnation != "" && e.State >= Live && e.State <= Gone
	case EventList:
		return e.Revision > 0
	case EventRefused, EventSettled:
		return e.Timestamp > 0
	case EventSuspect:
		return e.Timestamp > 0 && e.Kind == KindHost
	}
	return false
}
