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
	// Retire is how long a vanished host still counts.
	Retire time.Duration

	seen map[string]time.Time // last time on the list
}

// Set takes a list of the hosts. Those that left gracefully no longer count.
func (m *Members) Set(now time.Time, live, left []string) {
	if m.seen == nil {
		m.seen = map[string]time.Time{}
	}
	for _, h := range live {
		m.seen[h] = now
	}
	for _, h := range left {
		delete(m.seen, h)
	}
}

// Counted returns the hosts that count at now, sorted.
func (m *Members) Counted(now time.Time) []string {
	hosts := make([]string, 0, len(m.seen))
	for h, at := range m.seen {
		if now.Sub(at) > m.Retire {
			delete(m.seen, h)
			continue
		}
		hosts = append(hosts, h)
	}
	slices.Sort(hosts)
	return hosts
}
