package placement

import "time"

// maxJobAge is how long a peer's job counts without news of its end.
const maxJobAge = 40 * time.Second

// LocalJobs returns the jobs of this host that are in progress.
func (b *Placer) LocalJobs() []Job {
	var jobs []Job
	for _, s := range b.all() {
		s.mu.Lock()
		for _, t := range s.local {
			jobs = append(jobs, t.Job)
		}
		s.mu.Unlock()
	}
	return jobs
}

// RemoteJobs returns the jobs of a peer that are in progress.
func (b *Placer) RemoteJobs(host string) []Job {
	var jobs []Job
	for _, s := range b.all() {
		s.mu.Lock()
		for _, t := range s.remote[host] {
			jobs = append(jobs, t.Job)
		}
		s.mu.Unlock()
	}
	return jobs
}

// RemoteStarted counts a job that a peer has placed. One that is known already
// is not counted again.
func (b *Placer) RemoteStarted(host string, job Job) {
	now := b.now()
	s := b.shard(job.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	jobs := s.remote[host]
	if jobs == nil {
		jobs = make(map[JobID]*tracked)
		s.remote[host] = jobs
	}
	if _, known := jobs[job.ID]; known {
		return
	}
	t := &tracked{Job: job, host: host, at: now}
	jobs[job.ID] = t
	s.add(t, now)
}

// RemotePrefilled notes the first event of a peer's job.
func (b *Placer) RemotePrefilled(host string, id JobID) {
	b.withRemote(host, id, func(s *shard, t *tracked, now time.Time) { s.read(t, now) })
}

// RemoteEnded notes the end of a peer's job.
func (b *Placer) RemoteEnded(host string, id JobID) {
	b.withRemote(host, id, func(s *shard, t *tracked, now time.Time) {
		s.remove(t, now)
		delete(s.remote[host], id)
	})
}

func (b *Placer) withRemote(host string, id JobID, fn func(*shard, *tracked, time.Time)) {
	now := b.now()
	for _, s := range b.all() {
		s.mu.Lock()
		if t := s.remote[host][id]; t != nil {
			fn(s, t, now)
		}
		s.mu.Unlock()
	}
}

// ForgetHost drops all jobs of a peer.
func (b *Placer) ForgetHost(host string) {
	b.dropRemote(func(t *tracked, _ time.Time) bool { return t.host == host })
}

// ExpireRemoteJobs drops jobs whose end was never told.
func (b *Placer) ExpireRemoteJobs() {
	b.dropRemote(func(t *tracked, now time.Time) bool { return now.Sub(t.at) > maxJobAge })
}

func (b *Placer) dropRemote(drop func(*tracked, time.Time) bool) {
	now := b.now()
	for _, s := range b.all() {
		s.mu.Lock()
		for host, jobs := range s.remote {
			for id, t := range jobs {
				if drop(t, now) {
					s.remove(t, now)
					delete(jobs, id)
				}
			}
			if len(jobs) == 0 {
				delete(s.remote, host)
			}
		}
		s.mu.Unlock()
	}
}
