package knowledge

import (
	"slices"
	"time"

	"github.com/plantainrun/plantainrun/coord/dissemination"
	"github.com/plantainrun/plantainrun/internal/topology"
)

// Additional hosts become readers when a failure domain has no recent contact with the
// configuration service, since its readers may have failed. Their number grows in steps up
// to a limit, so that it stays bounded when the service itself is down.
const (
	// extraReadersAfter is the time without contact after which the next hosts in the
	// reader order become readers too.
	extraReadersAfter = 6 * time.Second
	// extraReadersStep is the further time without contact after which another group of
	// hosts becomes readers.
	extraReadersStep = 4 * time.Second
	// readerCheckInterval is the time between two checks of which hosts are readers.
	readerCheckInterval = 500 * time.Millisecond
	// maxReaderMultiplier bounds the number of readers, as a multiple of Config.ReadersPerDomain.
	maxReaderMultiplier = 4
)

// liveDomainHosts returns the hosts of this host's failure domain that the host list has
// as live, without those that Config.Alive reports as not alive.
func (r *Replica) liveDomainHosts() []string {
	var hosts []string
	for _, h := range r.Snapshot().Hosts.Hosts {
		if h.State != topology.StateLive || h.Domain != r.cfg.Domain {
			continue
		}
		if h.ID == r.cfg.Host || r.cfg.Alive(h.ID) {
			hosts = append(hosts, h.ID)
		}
	}
	return hosts
}

// isReader reports whether this host watches the configuration service. It does so as
// long as there is no host list, or the host is not a live host of the list.
func (r *Replica) isReader() bool {
	hosts := r.liveDomainHosts()
	if !slices.Contains(hosts, r.cfg.Host) {
		return true
	}
	count := r.cfg.ReadersPerDomain * r.readerMultiplier()
	return slices.Contains(dissemination.Readers(r.cfg.Domain, hosts, count), r.cfg.Host)
}

// readerMultiplier returns the factor on Config.ReadersPerDomain: 1 while there is recent
// contact with the service, more after that.
func (r *Replica) readerMultiplier() int {
	overdue := r.maxContactAge() - extraReadersAfter
	if overdue < 0 {
		return 1
	}
	return int(min(maxReaderMultiplier, 2+overdue/extraReadersStep))
}

// maxContactAge returns the approximate time since the last contact with the service, for
// the key with the oldest contact.
func (r *Replica) maxContactAge() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	oldest := time.Now()
	for _, f := range r.freshness {
		if f.lastContactAt.Before(oldest) {
			oldest = f.lastContactAt
		}
	}
	if oldest.Before(r.startup.startedAt) {
		oldest = r.startup.startedAt
	}
	return time.Since(oldest)
}
