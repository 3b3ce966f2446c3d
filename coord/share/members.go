package share

import (
	"slices"
	"time"
)

// Members counts the hosts that share a limit. A host that vanishes from the
// list without having left may still run behind a network partition, so it
// counts for Retire after it was last seen. Members is not safe for concurrent
// use.
type Members struct {
	// MissingHostTTL is how long a vanished host still counts.
	MissingHostTTL time.Duration

	live     []string
	vanished map[string]time.Time // when the host was no longer on the list
}

// Set takes a list of the hosts. Those that left gracefully no longer count.
func (m *Members) Set(now time.Time, live, left []string) {
	if m.vanished == nil {
		m.vanished = map[string]time.Time{}
	}
	for _, h := range m.live {
		if !slices.Contains(live, h) {
			m.vanished[h] = now
		}
	}
	m.live = slices.Clone(live)
	for _, h := range live {
		delete(m.vanished, h)
	}
	for _, h := range left {
		delete(m.vanished, h)
	}
}

// Counted returns the hosts that count at now, sorted.
func (m *Members) Counted(now time.Time) []string {
	hosts := slices.Clone(m.live)
	for h, at := range m.vanished {
		if now.Sub(at) >= m.MissingHostTTL {
			delete(m.vanished, h)
			continue
		}
		hosts = append(hosts, h)
	}
	slices.Sort(hosts)
	return slices.Compact(hosts)
}
