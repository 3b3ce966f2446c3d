package placement

import (
	"slices"
	"time"
)

// The return of refused callers. A caller whose prompt is refused for its backlog comes back
// when told, with another request id and mostly at another host. Hosts tell each other of
// refused prompts, so that each of them knows how long a returning caller has waited and
// whether it was promised room.

const (
	// maxRefusedPrompts bounds the refused prompts that are remembered for a service.
	maxRefusedPrompts = 1024
	// promiseGrace is how long after the time at which a caller should come back its prompt
	// still counts as work to come.
	promiseGrace = 300 * time.Millisecond
)

// PromptKey identifies the repetitions of one caller's prompt; 0 for none.
type PromptKey uint64

// RefusedPrompt is a prompt that was refused for its backlog, in the form that hosts exchange.
type RefusedPrompt struct {
	ID      uint64 // among the refusals of the same host
	Key     PromptKey
	Service string
	Waited  time.Duration // since the caller's first try
	Wait    time.Duration // until the caller should come back; negative if that time has passed
	Expires time.Duration // until the caller has given up
	Work    time.Duration // predicted prefill, added up over the engines
	// Promised means that hosts keep room for the prompt until its caller should come back.
	Promised bool
}

// refusedPrompt is a refused prompt whose caller has not come back yet.
type refusedPrompt struct {
	RefusedPrompt
	host string // that refused it; empty for this host
	at   time.Time
}

func (p *refusedPrompt) expired(now time.Time) bool { return now.Sub(p.at) > p.Expires }

// aged returns the refused prompt with its times as of now.
func (p *refusedPrompt) aged(now time.Time) RefusedPrompt {
	age := now.Sub(p.at)
	out := p.RefusedPrompt
	out.Waited, out.Wait, out.Expires = out.Waited+age, out.Wait-age, out.Expires-age
	return out
}

// refusedPrompts are the refused prompts of one service in the order of their refusals. A
// prompt stands there once for each caller that sent the same one.
type refusedPrompts struct{ list []refusedPrompt }

// add adds a refusal that is not known yet. The oldest one makes room for it if there are too
// many.
func (r *refusedPrompts) add(host string, p RefusedPrompt, now time.Time) {
	r.list = slices.DeleteFunc(r.list, func(e refusedPrompt) bool { return e.expired(now) })
	if slices.ContainsFunc(r.list, func(e refusedPrompt) bool { return e.host == host && e.ID == p.ID }) {
		return
	}
	if len(r.list) >= maxRefusedPrompts {
		r.list = slices.Delete(r.list, 0, 1)
	}
	r.list = append(r.list, refusedPrompt{RefusedPrompt: p, host: host, at: now})
}

// take removes the oldest refusal of a prompt and returns it, if there is one.
func (r *refusedPrompts) take(key PromptKey, now time.Time) (RefusedPrompt, bool) {
	i := slices.IndexFunc(r.list, func(e refusedPrompt) bool { return e.Key == key && !e.expired(now) })
	if key == 0 || i < 0 {
		return RefusedPrompt{}, false
	}
	p := r.list[i].aged(now)
	r.list = slices.Delete(r.list, i, i+1)
	return p, true
}

// promisedWork returns the prefill of the promised prompts whose callers are expected within a
// time.
func (r *refusedPrompts) promisedWork(within time.Duration, now time.Time) time.Duration {
	var sum time.Duration
	for i := range r.list {
		e := &r.list[i]
		if wait := e.Wait - now.Sub(e.at); e.Promised && wait <= within && wait >= -promiseGrace {
			sum += e.Work
		}
	}
	return sum
}

// RecordPeerRefused records a prompt that a peer has refused.
func (pl *Placer) RecordPeerRefused(peer string, p RefusedPrompt) {
	s := pl.shard(p.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused.add(peer, p, pl.now())
}

// RecordPeerReturned records that the caller of a refused prompt has come back to a peer.
func (pl *Placer) RecordPeerReturned(service string, key PromptKey) {
	s := pl.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused.take(key, pl.now())
}

// RefusedPrompts returns the prompts that a host has refused and whose callers have not come
// back; an empty host is this one.
func (pl *Placer) RefusedPrompts(host string) []RefusedPrompt {
	now := pl.now()
	var out []RefusedPrompt
	for _, s := range pl.allShards() {
		s.mu.Lock()
		for i := range s.refused.list {
			if e := &s.refused.list[i]; e.host == host && !e.expired(now) {
				out = append(out, e.aged(now))
			}
		}
		s.mu.Unlock()
	}
	return out
}

// ForgetRefusedPrompts forgets the prompts that a peer has refused, before it tells all of them
// again. When a peer is lost they stay: its callers come back to others.
func (pl *Placer) ForgetRefusedPrompts(peer string) {
	for _, s := range pl.allShards() {
		s.mu.Lock()
		s.refused.list = slices.DeleteFunc(s.refused.list, func(e refusedPrompt) bool { return e.host == peer })
		s.mu.Unlock()
	}
}

// Return is what is known of a caller who may have come back after a refusal.
type Return struct {
	Returned bool
	Waited   time.Duration // since the caller's first try
	Promised bool
}

// RecogniseReturn reports whether a prompt was refused before, and tells the peers if so. Each
// refusal is recognised once.
func (pl *Placer) RecogniseReturn(service string, key PromptKey) Return {
	s := pl.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	p, found := s.refused.take(key, pl.now())
	if !found {
		return Return{}
	}
	pl.observer.PromptReturned(service, key)
	return Return{Returned: true, Waited: p.Waited, Promised: p.Promised}
}

// recordRefused remembers a prompt that this host refuses and tells the peers. The caller
// holds the shard's lock.
func (pl *Placer) recordRefused(s *shard, req *Request, refusal *BacklogError, now time.Time) {
	if req.Key == 0 {
		return
	}
	p := RefusedPrompt{
		ID: pl.lastID.Add(1), Key: req.Key, Service: req.Service, Waited: req.Waited, Wait: refusal.RetryAfter, Expires: req.Patience,
		Work: req.Engine.PrefillTime(req.PromptTokens), Promised: refusal.Promised,
	}
	s.refused.add("", p, now)
	pl.observer.PromptRefused(p)
}
