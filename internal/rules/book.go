package rules

import (
	"crypto/sha256"
	"encoding/hex"
	"path"
	"slices"
	"strings"
	"time"
)

// DefaultObjective applies to a partner whose file has no objective.
const DefaultObjective = ObjectiveFirstToken

// Default time limits of the classes without a time-limit rule.
const (
	DefaultShortLimit  = 30 * time.Second
	DefaultMediumLimit = 2 * time.Minute
	DefaultLongLimit   = 10 * time.Minute
)

const (
	anyMethod     = "*"
	subtreeSuffix = "/**"
)

// Partner returns the partner that the organisation belongs to.
func (o Organisation) Partner() string {
	partner, _, _ := strings.Cut(o.Name, "/")
	return partner
}

// LimitFor returns the time limit of requests of the class.
func (s *Set) LimitFor(class Class) time.Duration {
	for _, l := range s.TimeLimits {
		if l.Class == class {
			return l.Limit
		}
	}
	switch class {
	case ClassShort:
		return DefaultShortLimit
	case ClassMedium:
		return DefaultMediumLimit
	default:
		return DefaultLongLimit
	}
}

// Book has the current rules of all partners. A partner's rules apply only to
// calls of its own organisations, so no partner can override another. A Book is
// immutable and safe for concurrent use.
type Book struct {
	sets          map[string]*Set
	organisations map[string]map[string]Organisation // by partner and key hash
}

// NewBook returns a Book with the given sets, which must not be modified
// afterwards. If a partner has more than one set, the last one applies.
func NewBook(sets ...*Set) *Book {
	b := &Book{sets: make(map[string]*Set), organisations: make(map[string]map[string]Organisation)}
	for _, s := range sets {
		byKey := make(map[string]Organisation, len(s.Organisations))
		for _, o := range s.Organisations {
			for _, hash := range o.KeyHashes {
				byKey[hash] = o
			}
		}
		b.sets[s.Partner] = s
		b.organisations[s.Partner] = byKey
	}
	return b
}

// Partners returns the partners that have rules, sorted.
func (b *Book) Partners() []string {
	names := make([]string, 0, len(b.sets))
	for name := range b.sets {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Set returns the rules of partner, or nil if it has none.
func (b *Book) Set(partner string) *Set { return b.sets[partner] }

// KeyHash returns the hash by which rules refer to a bearer key: its SHA-256 sum
// in lower-case hexadecimal.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// OrganisationByKey returns the organisation of a bearer key. A key begins with
// its partner's name and a dot, so that a partner's file cannot claim the key of
// another partner.
func (b *Book) OrganisationByKey(key string) (Organisation, bool) {
	partner, secret, ok := strings.Cut(key, ".")
	if !ok || secret == "" {
		return Organisation{}, false
	}
	return b.Organisation(partner, KeyHash(key))
}

// Organisation returns the organisation of partner with the given key hash.
func (b *Book) Organisation(partner, keyHash string) (Organisation, bool) {
	o, ok := b.organisations[partner][keyHash]
	return o, ok
}

// LimitFor returns the time limit of requests of the class by the partner's
// organisations.
func (b *Book) LimitFor(partner string, class Class) time.Duration {
	s := b.sets[partner]
	if s == nil {
		s = &Set{}
	}
	return s.LimitFor(class)
}

// Objective returns the metric that scheduling optimises for partner.
func (b *Book) Objective(partner string) Objective {
	if s := b.sets[partner]; s != nil {
		return s.Objective
	}
	return DefaultObjective
}

// Targets returns the patterns of the targets that may serve model to the
// partner's organisations. It returns false if the partner has no such model.
func (b *Book) Targets(partner, model string) ([]string, bool) {
	s := b.sets[partner]
	if s == nil {
		return nil, false
	}
	for _, m := range s.Models {
		if m.Name == model {
			return m.Targets, true
		}
	}
	return nil, false
}

// ServedBy reports whether the target may serve model to the partner's
// organisations.
func (b *Book) ServedBy(partner, model, target string) bool {
	patterns, _ := b.Targets(partner, model)
	return slices.ContainsFunc(patterns, func(pattern string) bool {
		ok, err := path.Match(pattern, target)
		return ok && err == nil
	})
}

// RetryPolicy returns whether a call of the partner's organisations to a service
// may be retried, and whether the service deduplicates it. The partner's most
// specific matching rule decides. Without one, a call is repeatable only if its
// method is idempotent (RFC 9110, section 9.2.2).
func (b *Book) RetryPolicy(partner, service, method, callPath string) (repeatable, dedupes bool) {
	var best *ServicePath
	callPath = path.Clean("/" + callPath)
	if s := b.sets[partner]; s != nil {
		for i := range s.Services {
			sp := &s.Services[i]
			if sp.matches(service, method, callPath) && (best == nil || sp.moreSpecificThan(best)) {
				best = sp
			}
		}
	}
	if best == nil {
		return isIdempotent(method), false
	}
	return best.Repeatable, best.Dedupes
}

func isIdempotent(method string) bool {
	return slices.Contains([]string{"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"}, method)
}

func (sp *ServicePath) matches(service, method, callPath string) bool {
	if sp.Service != service || (sp.Method != anyMethod && sp.Method != method) {
		return false
	}
	parent, isSubtree := strings.CutSuffix(sp.Path, subtreeSuffix)
	if !isSubtree {
		ok, err := path.Match(sp.Path, callPath)
		return ok && err == nil
	}
	return matchesSubtree(parent, callPath)
}

// matchesSubtree reports whether callPath matches the pattern parent or is below a
// path that matches it.
func matchesSubtree(parent, callPath string) bool {
	segments := strings.Split(callPath, "/")
	depth := strings.Count(parent, "/") + 1
	if len(segments) < depth {
		return false
	}
	ok, err := path.Match(parent, strings.Join(segments[:depth], "/"))
	return ok && err == nil
}

// moreSpecificThan reports whether sp takes precedence over other: the rule with
// the longer literal path prefix does, then the one without a subtree suffix, then
// the one for a single method, then the stricter one.
func (sp *ServicePath) moreSpecificThan(other *ServicePath) bool {
	if a, b := sp.literalPrefixLen(), other.literalPrefixLen(); a != b {
		return a > b
	}
	if a, b := strings.HasSuffix(sp.Path, subtreeSuffix), strings.HasSuffix(other.Path, subtreeSuffix); a != b {
		return b
	}
	if a, b := sp.Method == anyMethod, other.Method == anyMethod; a != b {
		return b
	}
	return sp.strictness() > other.strictness()
}

// literalPrefixLen returns the length in bytes of the path before its first wildcard.
func (sp *ServicePath) literalPrefixLen() int {
	if i := strings.IndexAny(sp.Path, `*?[\`); i >= 0 {
		return i
	}
	return len(sp.Path)
}

func (sp *ServicePath) strictness() int {
	switch {
	case sp.Repeatable:
		return 0
	case sp.Dedupes:
		return 1
	default:
		return 2
	}
}
