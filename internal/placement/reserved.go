package placement

import "github.com/plantainrun/plantainrun/internal/catalog"

// ReservedTargets returns the targets on which jobs in progress, of this host or of peers, have
// reserved memory, as far as this host knows their addresses.
func (pl *Placer) ReservedTargets() []catalog.Target {
	var targets []catalog.Target
	for _, s := range pl.allShards() {
		s.mu.Lock()
		for _, l := range s.loads {
			if l.hasReservation() && l.target.Addr.IsValid() {
				targets = append(targets, l.target)
			}
		}
		s.mu.Unlock()
	}
	return targets
}

// hasReservation reports whether a job in progress has reserved memory on the target.
func (l *targetLoad) hasReservation() bool {
	for _, t := range l.jobs {
		if t.reservesMemory() {
			return true
		}
	}
	return false
}

// reservesMemory reports whether the job has reserved memory on its targets: only then do
// several of them hold a part of the prompt.
func (j *Job) reservesMemory() bool {
	return len(j.Shares) > 1 && j.Shares[1].Tokens > 0
}
