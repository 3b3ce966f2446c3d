package rules

import (
	"crypto/sha256"
	"encoding/hex"
	"path"
	"slices"
	"strings"
	"time"
)

// DefaultObjective applies to a partner whose file sets no objective.
const DefaultObjective = ObjectiveFirstToken

// Default time limits of the classes that no rule names.
const (
	DefaultShortLimit  = 30 * time.Second
	DefaultMediumLimit = 2 * time.Minute
	DefaultLongLimit   = 10 * time.Minute
)

const (
	anyMethod     = "*"   // matches every method
	subtreeSuffix = "/**" // path suffix that matches a path and all paths below it
)

// Partner returns the partner that the organisation belongs to.
func (o Organisation) Partner() string {
	partner, _, _ := strings.Cut(o.Name, "/")
	return partner
}

// TimeLimitFor returns the time limit of requests of the class.
func (s *Set) TimeLimitFor(class Class) time.Duration {
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

// Index gives access to the current rules of all partners. A partner's rules
// apply only to the calls of its own organisations, so neither partner can
// override the other. An Index is immutable and safe for concurrent use.
type Index struct {
	sets          map[string]*Set
	organisations map[string]map[string]Organisation // by partner, then key hash
}

// NewIndex returns an index of the given sets. Of two sets of one partner the last
// one takes effect. The sets must not be modified afterwards.
func NewIndex(sets ...*Set) *Index {
	x := &Index{sets: make(map[string]*Set), organisations: make(map[string]map[string]Organisation)}
	for _, s := range sets {
		byKey := make(map[string]Organisation, len(s.Organisations))
		for _, o := range s.Organisations {
			for _, hash := range o.KeyHashes {
				byKey[hash] = o
			}
		}
		x.sets[s.Partner] = s
		x.organisations[s.Partner] = byKey
	}
	return x
}

// Partners returns the names of the partners that have rules, sorted.
func (x *Index) Partners() []string {
	names := make([]string, 0, len(x.sets))
	for name := range x.sets {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Set returns the rules of partner, or nil.
func (x *Index) Set(partner string) *Set { return x.sets[partner] }

// KeyHash returns the lower-case hexadecimal SHA-256 sum by which rules refer to
// a bearer key.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// OrganisationByKey returns the organisation of a bearer key. A key begins
// with its partner's name and a dot, so that a partner's file cannot claim a
// key of the other partner.
func (x *Index) OrganisationByKey(key string) (Organisation, bool) {
	partner, secret, ok := strings.Cut(key, ".")
	if !ok || secret == "" {
		return Organisation{}, false
	}
	return x.Organisation(partner, KeyHash(key))
}

// Organisation returns the organisation of partner with the given key hash.
func (x *Index) Organisation(partner, keyHash string) (Organisation, bool) {
	o, ok := x.organisations[partner][keyHash]
	return o, ok
}

// TimeLimitFor returns the longest time that a request of the partner's
// organisations may take, by class.
func (x *Index) TimeLimitFor(partner string, class Class) time.Duration {
	s := x.sets[partner]
	if s == nil {
		s = &Set{}
	}
	return s.TimeLimitFor(class)
}

// Objective returns the objective of partner.
func (x *Index) Objective(partner string) Objective {
	if s := x.sets[partner]; s != nil {
		return s.Objective
	}
	return DefaultObjective
}

// TargetPatterns returns the patterns of targets that may serve model to the
// partner's organisations, or false if the partner has no such model.
func (x *Index) TargetPatterns(partner, model string) ([]string, bool) {
	s := x.sets[partner]
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

// ServedBy reports whether target may serve model to the partner's organisations.
func (x *Index) ServedBy(partner, model, target string) bool {
	patterns, _ := x.TargetPatterns(partner, model)
	return slices.ContainsFunc(patterns, func(pattern string) bool {
		ok, err := path.Match(pattern, target)
		return ok && err == nil
	})
}

// RepeatPolicy returns how a call of the partner's organisations on a plain
// service may be repeated. The most specific rule of the partner decides. A
// call that no rule names is repeatable only if its method is idempotent (RFC
// 9110, section 9.2.2).
func (x *Index) RepeatPolicy(partner, service, method, callPath string) (repeatable, dedupes bool) {
	var best *ServicePath
	callPath = path.Clean("/" + callPath)
	if s := x.sets[partner]; s != nil {
		for i := range s.Services {
			sp := &s.Services[i]
			if sp.matches(service, method, callPath) && (best == nil || sp.moreSpecific(best)) {
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

// matchesSubtree reports whether callPath matches the pattern parent or lies below a
// path that does.
func matchesSubtree(parent, callPath string) bool {
	segments := strings.Split(callPath, "/")
	depth := strings.Count(parent, "/") + 1
	if len(segments) < depth {
		return false
	}
	ok, err := path.Match(parent, strings.Join(segments[:depth], "/"))
	return ok && err == nil
}

// moreSpecific reports whether sp takes precedence over other. In this order, the
// longer literal prefix of the path wins, then a single path over a subtree, then
// a named method over any method, then the stricter rule.
func (sp *ServicePath) moreSpecific(other *ServicePath) bool {
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

// literalPrefixLen returns the length of the path before its first wildcard, in bytes.
func (sp *ServicePath) literalPrefixLen() int {
	if i := strings.IndexAny(sp.Path, `*?[\`); i >= 0 {
		return i
	}
	return len(sp.Path)
}

// strictness ranks how far a rule restricts repeated calls: repeatable, then
// deduplicated by the service, then at most once.
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
