package server

import (
	"time"

	"github.com/plantainrun/plantainrun/internal/rules"
)

// Organisation returns the organisation of a bearer key and its partner.
func (s *Server) Organisation(key string) (rules.Organisation, string, bool) {
	org, ok := s.book().OrganisationByKey(key)
	return org, org.Partner(), ok
}

// ByName returns an organisation and its partner.
func (s *Server) ByName(name string) (rules.Organisation, string, bool) {
	org := rules.Organisation{Name: name}
	set := s.book().Set(org.Partner())
	if set == nil {
		return org, "", false
	}
	for _, known := range set.Organisations {
		if known.Name == name {
			return known, known.Partner(), true
		}
	}
	return org, "", false
}

// TimeLimit is the partner's cap for a class of prompt.
func (s *Server) TimeLimit(partner string, class rules.Class) time.Duration {
	return s.book().LimitFor(partner, class)
}

// Repeatable tells whether a service call may be repeated.
func (s *Server) Repeatable(partner, service, method, path string) bool {
	repeatable, _ := s.book().RetryPolicy(partner, service, method, path)
	return repeatable
}

// Dedupes tells whether the service recognises a repeated ticket.
func (s *Server) Dedupes(partner, service, method, path string) bool {
	_, dedupes := s.book().RetryPolicy(partner, service, method, path)
	return dedupes
}

func (s *Server) book() *rules.Book { return s.knowledge.Snapshot().Rules }

func ruleSets(book *rules.Book) []rules.Set {
	partners := book.Partners()
	sets := make([]rules.Set, 0, len(partners))
	for _, p := range partners {
		sets = append(sets, *book.Set(p))
	}
	return sets
}
