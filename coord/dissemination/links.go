package dissemination

import (
	"slices"

	"github.com/plantainrun/plantainrun/coord/rendezvous"
)

// Readers returns the hosts that read from the publisher on behalf of their
// group, up to count, the first first. Hosts that know the same members
// choose the same.
func Readers(group string, members []string, count int) []string {
	return rendezvous.Top("readers/"+group, members, count)
}

// Neighbours returns the members that self exchanges values with: its
// successor on a ring, which keeps the graph of all members connected, and
// extra others, which keep its diameter small.
func Neighbours(self string, members []string, extra int) []string {
	next := successor(self, members)
	if next == "" {
		return nil
	}
	chosen := []string{next}
	for _, m := range rendezvous.Top("neighbours/"+self, members, extra+2) {
		if m != self && m != next && len(chosen) < extra+1 {
			chosen = append(chosen, m)
		}
	}
	return chosen
}

// successor returns the member after self in cyclic order, or "" if there is
// no other.
func successor(self string, members []string) string {
	var others []string
	for _, m := range members {
		if m != self {
			others = append(others, m)
		}
	}
	if len(others) == 0 {
		return ""
	}
	slices.Sort(others)
	at, _ := slices.BinarySearch(others, self)
	return others[at%len(others)]
}
