package membership

import (
	"time"

	"github.com/plantainrun/plantainrun/coord/identity"
)

// Kind distinguishes hosts from targets.
type Kind uint8

// The kinds of members.
const (
	KindHost Kind = iota + 1
	KindTarget
)

// State is the known state of a member or of one of its incarnations.
type State uint8

// The states, in the order in which an incarnation moves through them. Unknown
// means that there is no reliable information.
const (
	Unknown State = iota
	Live
	Leaving
	Gone
)

// String returns the name of the state in lower case.
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

// Entry is one member of a published list.
type Entry struct {
	ID      string
	Domain  string // failure domain
	Leaving bool
}

// EventType identifies the fact that an Event carries.
type EventType uint8

// The types of events.
const (
	// EventIncarnation carries the state of one incarnation.
	EventIncarnation EventType = iota + 1
	// EventListedLeaving says that the list with the given revision shows the member as leaving.
	EventListedLeaving
	// EventRefusal says that a member of unknown incarnation refused work because it is leaving.
	EventRefusal
	// EventRefusalsCleared says that lists showed the member as leaving or absent and then
	// as live again, which invalidates refusals up to that time.
	EventRefusalsCleared
	// EventSuspicion says that a host was unreachable.
	EventSuspicion
)

// Event is one fact about a member that hosts gossip to each other.
type Event struct {
	Type        EventType
	Kind        Kind
	ID          string
	Incarnation string // for EventIncarnation and EventSuspicion
	// Timestamp is a Unix time in milliseconds. For EventIncarnation it is the time at
	// which a host started or a target reported, and is higher for later incarnations of
	// a member. For EventRefusal, EventRefusalsCleared and EventSuspicion it is the time
	// of the observation.
	Timestamp int64
	State     State  // for EventIncarnation
	Revision  uint64 // of the list, for EventListedLeaving
}

// HostEvent returns an EventIncarnation with the state of a host's process.
func HostEvent(inc identity.Incarnation, started time.Time, state State) Event {
	return Event{
		Type: EventIncarnation, Kind: KindHost, ID: inc.Host,
		Incarnation: inc.String(), Timestamp: started.UnixMilli(), State: state,
	}
}

// valid reports whether an event from a peer is complete and consistent.
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
	case EventListedLeaving:
		return e.Revision > 0
	case EventRefusal, EventRefusalsCleared:
		return e.Timestamp > 0
	case EventSuspicion:
		return e.Timestamp > 0 && e.Kind == KindHost
	}
	return false
}
