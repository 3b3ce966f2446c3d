package server

import (
	"time"

	"github.com/plantainrun/plantainrun/internal/rules"
)

// Organisation returns the organisation that a bearer key belongs to, and its partner.
func (s *Server) Organisation(key string) (rules.Organisation, string, bool) {
	org, ok := s.rulesIndex().OrganisationByKey(key)
	return org, org.Partner(), ok
}

// ByName returns the organisation with the given name, and its partner.
func (s *Server) ByName(name string) (rules.Organisation, string, bool) {
	org := rules.Organisation{Name: name}
	set := s.rulesIndex().Set(org.Partner())
	if set == nil {
		return org, "", false
	}
	for _, candidate := range set.Organisations {
		if candidate.Name == name {
			return candidate, candidate.Partner(), true
		}
	}
	return org, "", false
}

// TimeLimit returns the partner's time limit for a class of prompts.
func (s *Server) TimeLimit(partner string, class rules.Class) time.Duration {
	return s.rulesIndex().TimeLimitFor(partner, class)
}

// Repeatable reports whether a service call may safely be run more than once.
func (s *Server) Repeatable(partner, service, method, path string) bool {
	repeatable, _ := s.rulesIndex().RepeatPolicy(partner, service, method, path)
	return repeatable
}

// Dedupes reports whether the service deduplicates calls by their ticket, which is sent
// to it as the idempotency key.
func (s *Server) Dedupes(partner, service, method, path string) bool {
	_, dedupes := s.rulesIndex().RepeatPolicy(partner, service, method, path)
	return dedupes
}

func (s *Server) rulesIndex() *rules.Index { return s.knowledge.Snapshot().Rules }

func ruleSets(index *rules.Index) []rules.Set {
	partners := index.Partners()
	sets := make([]rules.Set, 0, len(partners))
	for _, p := range partners {
		sets = append(sets, *index.Set(p))
	}
	return sets
}
