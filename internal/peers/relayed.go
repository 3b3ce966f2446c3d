package peers

import "github.com/plantainrun/plantainrun/internal/peers/peerspb"

// Relaying through hubs: a host sends its updates to one host of a large failure
// domain, the hub, which relays them to all other hosts there.

// relayToDomain queues a relayed update on all links within this host's failure
// domain.
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

// newRelayed returns the message that relays a host's update, or nil if the update
// reports nothing to relay and is not the first one of a connection.
func newRelayed(origin string, n *peerspb.News, first bool) *peerspb.Relayed {
	updates := len(n.GetStarted()) + len(n.GetRead()) + len(n.GetEnded()) + len(n.GetCrashes()) + len(n.GetRateLimits()) + len(n.GetAnswers()) + len(n.GetQuarantinedParts()) + len(n.GetColdTargets()) +
		len(n.GetRefusedPrompts()) + len(n.GetReturnedPrompts())
	if updates == 0 && !first {
		return nil
	}
	return &peerspb.Relayed{Origin: origin, First: first, News: &peerspb.News{
		Started: n.GetStarted(), Read: n.GetRead(), Ended: n.GetEnded(), Crashes: n.GetCrashes(),
		RateLimits: n.GetRateLimits(), Answers: n.GetAnswers(), QuarantinedParts: n.GetQuarantinedParts(),
		ColdTargets: n.GetColdTargets(), RefusedPrompts: n.GetRefusedPrompts(), ReturnedPrompts: n.GetReturnedPrompts(),
		UptimeMs: n.GetUptimeMs(),
	}}
}

// applyRelayed applies an update that a peer relays. Updates of an origin are
// accepted from one peer at a time, the one that most recently started to relay
// them.
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
	if r.GetFirst() {
		s.cfg.Placer.ForgetRefusedPrompts(origin)
	}
	s.applyJobs(origin, r.GetNews())
}

// forgetRelayed drops the jobs of the origins whose updates came through a peer.
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

// relaySnapshot returns, for the first message of a connection within the failure
// domain, the jobs in progress and the refused prompts of all origins that this host relays.
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
		for _, p := range s.cfg.Placer.RefusedPrompts(origin) {
			r.News.RefusedPrompts = append(r.News.RefusedPrompts, encodeRefusedPrompt(p))
		}
		out = append(out, r)
	}
	return out
}
