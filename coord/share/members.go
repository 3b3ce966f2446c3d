package share

import (
	"slices"
	"time"
)

// Members tracks the hosts that share a limit. A host that disappears from the list without
// a graceful leave may still be running behind a network partition, so it still counts for
// MissingHostTTL after it disappeared. Members is not safe for concurrent use.
type Members struct {
	// MissingHostTTL is how long a missing host still counts; zero: not at all.
	MissingHostTTL time.Duration

	live         []string
	missingSince map[string]time.Time // when the host disappeared from the list
}

// Set replaces the list of live hosts. Hosts in left have left gracefully and no longer
// count.
func (m *Members) Set(now time.Time, live, left []string) {
	if m.missingSince == nil {
		m.missingSince = map[string]time.Time{}
	}
	for _, h := range m.live {
		if !slices.Contains(live, h) {
			m.missingSince[h] = now
		}
	}
	m.live = slices.Clone(live)
	for _, h := range live {
		delete(m.missingSince, h)
	}
	for _, h := range left {
		delete(m.missingSince, h)
	}
}

// Counted returns the hosts that count at now, sorted.
func (m *Members) Counted(now time.Time) []string {
	hosts := slices.Clone(m.live)
	for h, at := range m.missingSince {
		if now.Sub(at) >= m.MissingHostTTL {
			delete(m.missingSince, h)
			continue
		}
		hosts = append(hosts, h)
	}
	slices.Sort(hosts)
	return slices.Compact(hosts)
}
