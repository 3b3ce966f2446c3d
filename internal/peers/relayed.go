package peers

import "github.com/plantainrun/plantainrun/internal/peers/peerspb"

// News through hubs: a host tells one host of a large domain, which tells all
// others there.

// relayToDomain tells the own failure domain what a host said.
func (s *Service) relayToDomain(r *peerspb.Relayed) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.GetLost() {
		delete(s.relaying, r.GetOrigin())
	} else {
		s.relaying[r.GetOrigin()] = true
	}
	for _, l := range s.links {
		if l.route.domain == s.cfg.Domain {
			l.queue(false, func(n *peerspb.News) { n.Relayed = append(n.Relayed, r) })
		}
	}
}

// newRelayed makes the message for a host's news, nil if it says nothing of jobs.
func newRelayed(origin string, n *peerspb.News, first bool) *peerspb.Relayed {
	jobs := len(n.GetStarted()) + len(n.GetRead()) + len(n.GetEnded()) + len(n.GetCrashes())
	if jobs == 0 && !first {
		return nil
	}
	return &peerspb.Relayed{Origin: origin, First: first, News: &peerspb.News{
		Started: n.GetStarted(), Read: n.GetRead(), Ended: n.GetEnded(), Crashes: n.GetCrashes(),
	}}
}

// applyRelayed takes over news that a peer passes on. Each origin is heard
// through one peer at a time, the one that began last.
func (s *Service) applyRelayed(relayPeer string, r *peerspb.Relayed) {
	origin := r.GetOrigin()
	if origin == s.cfg.HostID {
		return
	}
	s.mu.Lock()
	if r.GetFirst() {
		s.relayedBy[origin] = relayPeer
	}
	current := s.relayedBy[origin] == relayPeer
	if current && r.GetLost() {
		delete(s.relayedBy, origin)
	}
	s.mu.Unlock()
	if !current {
		return
	}
	if r.GetFirst() || r.GetLost() {
		s.cfg.Placer.ForgetHost(origin)
	}
	s.applyJobs(origin, r.GetNews())
}

// forgetRelayed drops the origins that were heard through a peer.
func (s *Service) forgetRelayed(relayPeer string) {
	s.mu.Lock()
	var lost []string
	for origin, peer := range s.relayedBy {
		if peer == relayPeer {
			lost = append(lost, origin)
			delete(s.relayedBy, origin)
		}
	}
	s.mu.Unlock()
	for _, origin := range lost {
		s.cfg.Placer.ForgetHost(origin)
	}
}

// relaySnapshot is what a new connection within the domain begins with.
func (s *Service) relaySnapshot() []*peerspb.Relayed {
	s.mu.Lock()
	origins := make([]string, 0, len(s.relaying))
	for origin := range s.relaying {
		origins = append(origins, origin)
	}
	s.mu.Unlock()
	var out []*peerspb.Relayed
	for _, origin := range origins {
		r := &peerspb.Relayed{Origin: origin, First: true, News: &peerspb.News{}}
		for _, job := range s.cfg.Placer.RemoteJobs(origin) {
			r.News.Started = append(r.News.Started, encodeJob(job))
		}
		out = append(out, r)
	}
	return out
}
