package suspect

import (
	"bytes"
	"encoding/hex"
	"slices"
	"time"
)

// Quarantine is a fingerprint in quarantine.
type Quarantine struct {
	Fingerprint Fingerprint
	Remaining   time.Duration // time until it may run again
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// Quarantined lists the fingerprints in quarantine, sorted by fingerprint.
func (t *Tracker) Quarantined() []Quarantine {
	var list []Quarantine
	now := t.clk.Now()
	for i := range t.shards {
		list = t.shards[i].quarantined(now, list)
	}
	slices.SortFunc(list, func(a, b Quarantine) int { return bytes.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	return list
}

// quarantined appends the shard's fingerprints in quarantine to list.
func (s *shard) quarantined(now time.Time, list []Quarantine) []Quarantine {
	s.mu.Lock()
	defer s.mu.Unlock()
	for fp, st := range s.states {
		st.dropExpired(now)
		if st.quarantined() {
			list = append(list, Quarantine{Fingerprint: fp, Remaining: st.deathsExpire.Sub(now)})
		}
	}
	return list
}
