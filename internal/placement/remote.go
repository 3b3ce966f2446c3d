package placement

import "time"

// maxJobAge is how long a peer's job counts when its end is not reported.
const maxJobAge = 40 * time.Second

// LocalJobs returns the jobs of this host that are in progress.
func (pl *Placer) LocalJobs() []Job {
	var jobs []Job
	for _, s := range pl.allShards() {
		s.mu.Lock()
		for _, t := range s.local {
			jobs = append(jobs, t.Job)
		}
		s.mu.Unlock()
	}
	return jobs
}

// RemoteJobs returns the jobs of a peer that are in progress.
func (pl *Placer) RemoteJobs(peer string) []Job {
	var jobs []Job
	for _, s := range pl.allShards() {
		s.mu.Lock()
		for _, t := range s.remote[peer] {
			jobs = append(jobs, t.Job)
		}
		s.mu.Unlock()
	}
	return jobs
}

// RemoteStarted adds a job that a peer has placed. A job that is already known is
// ignored.
func (pl *Placer) RemoteStarted(peer string, job Job) {
	now := pl.now()
	s := pl.shard(job.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	jobs := s.remote[peer]
	if jobs == nil {
		jobs = make(map[JobID]*trackedJob)
		s.remote[peer] = jobs
	}
	if _, known := jobs[job.ID]; known {
		return
	}
	t := &trackedJob{Job: job, peer: peer, placedAt: now}
	jobs[job.ID] = t
	s.add(t, now)
	s.countRequest(&job, pl.fleetView(), now)
}

// RemotePrefilled records the first event of a peer's job.
func (pl *Placer) RemotePrefilled(peer string, id JobID) {
	pl.withRemoteJob(peer, id, func(s *shard, t *trackedJob, now time.Time) { s.markPrefilled(t, now) })
}

// RemoteEnded removes a peer's job that has ended.
func (pl *Placer) RemoteEnded(peer string, id JobID) {
	pl.withRemoteJob(peer, id, func(s *shard, t *trackedJob, now time.Time) {
		s.remove(t, now)
		delete(s.remote[peer], id)
	})
}

func (pl *Placer) withRemoteJob(peer string, id JobID, fn func(*shard, *trackedJob, time.Time)) {
	now := pl.now()
	for _, s := range pl.allShards() {
		s.mu.Lock()
		if t := s.remote[peer][id]; t != nil {
			fn(s, t, now)
		}
		s.mu.Unlock()
	}
}

// ForgetHost removes all jobs of a peer.
func (pl *Placer) ForgetHost(peer string) {
	pl.dropRemoteJobs(func(t *trackedJob, _ time.Time) bool { return t.peer == peer })
}

// ExpireRemoteJobs removes peers' jobs older than maxJobAge, whose end was probably
// not reported.
func (pl *Placer) ExpireRemoteJobs() {
	pl.dropRemoteJobs(func(t *trackedJob, now time.Time) bool { return now.Sub(t.placedAt) > maxJobAge })
}

func (pl *Placer) dropRemoteJobs(matches func(*trackedJob, time.Time) bool) {
	now := pl.now()
	for _, s := range pl.allShards() {
		s.mu.Lock()
		for peer, jobs := range s.remote {
			for id, t := range jobs {
				if matches(t, now) {
					s.remove(t, now)
					delete(jobs, id)
				}
			}
			if len(jobs) == 0 {
				delete(s.remote, peer)
			}
		}
		s.mu.Unlock()
	}
}
