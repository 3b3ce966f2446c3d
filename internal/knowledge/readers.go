package knowledge

import (
	"slices"
	"time"

	"github.com/plantainrun/plantainrun/coord/dissemination"
	"github.com/plantainrun/plantainrun/internal/topology"
)

// Hosts stand in for readers of which nobody hears any more. That keeps the
// number of readers bounded when the configuration service is down and no host
// hears of it.
const (
	// standInAfter is the age of knowledge at which the next hosts in the order
	// of readers stand in.
	standInAfter = 6 * time.Second
	// standInStep is the further age at which still more do.
	standInStep = 4 * time.Second
	// readerCheckInterval is the time between two looks at who the readers are.
	readerCheckInterval = 500 * time.Millisecond
	// maxReaderGroups bounds the readers, as a multiple of Config.Readers.
	maxReaderGroups = 4
)

// members returns the live hosts of this host's failure domain, as far as
// peers do not know better than the host list.
func (k *Replica) members() []string {
	var domain []string
	for _, h := range k.Snapshot().Hosts.Hosts {
		if h.State != topology.StateLive || h.Domain != k.cfg.Domain {
			continue
		}
		if h.ID == k.cfg.Host || k.cfg.Alive(h.ID) {
			domain = append(domain, h.ID)
		}
	}
	return domain
}

// isReader tells whether this host holds watches. Without a host list, or
// while it is not on the list, it does.
func (k *Replica) isReader() bool {
	domain := k.members()
	if !slices.Contains(domain, k.cfg.Host) {
		return true
	}
	count := k.cfg.Readers * k.readerGroups()
	return slices.Contains(dissemination.Readers(k.cfg.Domain, domain, count), k.cfg.Host)
}

// readerGroups is 1 while the readers are heard from.
func (k *Replica) readerGroups() int {
	late := k.oldest() - standInAfter
	if late < 0 {
		return 1
	}
	return int(min(maxReaderGroups, 2+late/standInStep))
}

// oldest returns about how long ago the service was last heard of, for the key
// for which that is longest.
func (k *Replica) oldest() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	at := time.Now()
	for _, f := range k.freshness {
		if f.heardAt.Before(at) {
			at = f.heardAt
		}
	}
	if at.Before(k.start.begun) {
		at = k.start.begun
	}
	return time.Since(at)
}
