package rules

import (
	"crypto/sha256"
	"encoding/hex"
	"path"
	"slices"
	"strings"
	"time"
)

// DefaultObjective holds for a partner whose file names none.
const DefaultObjective = ObjectiveFirstToken

// Default time limits by class, for classes that no rule names.
const (
	DefaultShortLimit  = 30 * time.Second
	DefaultMediumLimit = 2 * time.Minute
	DefaultLongLimit   = 10 * time.Minute
)

const (
	anyMethod = "*"
	anyBelow  = "/**"
)

// Partner returns the partner that the organisation belongs to.
func (o Organisation) Partner() string {
	partner, _, _ := strings.Cut(o.Name, "/")
	return partner
}

// LimitFor returns the longest time that a request of the class may take.
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

// Book is the rules in force of all partners. A partner's rules bind only the
// calls of its own organisations, so neither partner can override the other.
// A Book never changes and is safe for concurrent use.
type Book struct {
	sets          map[string]*Set
	organisations map[string]map[string]Organisation // by partner and key hash
}

// NewBook returns the book of the given sets. Of two sets of one partner the
// last counts. The sets must not be changed any more.
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

// Partners returns the partners with rules in force, sorted.
func (b *Book) Partners() []string {
	names := make([]string, 0, len(b.sets))
	for name := range b.sets {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Set returns the rules of partner, or nil.
func (b *Book) Set(partner string) *Set { return b.sets[partner] }

// KeyHash returns the form in which rules name a bearer key.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// OrganisationByKey returns the organisation of a bearer key. A key begins
// with its partner's name and a dot, so that a partner's file can claim no
// key of the other.
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

// LimitFor returns the longest time that a request of the partner's
// organisations may take, by class.
func (b *Book) LimitFor(partner string, class Class) time.Duration {
	s := b.sets[partner]
	if s == nil {
		s = &Set{}
	}
	return s.LimitFor(class)
}

// Objective returns the measure that partner weighs most.
func (b *Book) Objective(partner string) Objective {
	if s := b.sets[partner]; s != nil {
		return s.Objective
	}
	return DefaultObjective
}

// Targets returns the patterns of targets that may serve model to the
// partner's organisations; false: the partner has no such model.
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

// ServedBy tells whether the target may serve model to the partner's organisations.
func (b *Book) ServedBy(partner, model, target string) bool {
	patterns, _ := b.Targets(partner, model)
	return slices.ContainsFunc(patterns, func(pattern string) bool {
		ok, err := path.Match(pattern, target)
		return ok && err == nil
	})
}

// RetryPolicy tells how a call of the partner's organisations on a plain
// service may be repeated. The most specific rule of the partner decides. A
// call that no rule names is repeatable only if its method is idempotent (RFC
// 9110, section 9.2.2).
func (b *Book) RetryPolicy(partner, service, method, callPath string) (repeatable, dedupes bool) {
	var best *ServicePath
	callPath = path.Clean("/" + callPath)
	if s := b.sets[partner]; s != nil {
		for i := range s.Services {
			sp := &s.Services[i]
			if sp.matches(service, method, callPath) && (best == nil || sp.before(best)) {
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
	parent, below := strings.CutSuffix(sp.Path, anyBelow)
	if !below {
		ok, err := path.Match(sp.Path, callPath)
		return ok && err == nil
	}
	return matchesBelow(parent, callPath)
}

// matchesBelow tells whether callPath is parent, a pattern, or lies below it.
func matchesBelow(parent, callPath string) bool {
	segments := strings.Split(callPath, "/")
	depth := strings.Count(parent, "/") + 1
	if len(segments) < depth {
		return false
	}
	ok, err := path.Match(parent, strings.Join(segments[:depth], "/"))
	return ok && err == nil
}

// before tells whether sp is more specific than other: a longer literal
// beginning of the path, then a single path before all below it, then a named
// method, then the stricter rule.
func (sp *ServicePath) before(other *ServicePath) bool {
	if a, b := sp.literal(), other.literal(); a != b {
		return a > b
	}
	if a, b := strings.HasSuffix(sp.Path, anyBelow), strings.HasSuffix(other.Path, anyBelow); a != b {
		return b
	}
	if a, b := sp.Method == anyMethod, other.Method == anyMethod; a != b {
		return b
	}
	return sp.strictness() > other.strictness()
}

// literal returns the length of the path before its first wildcard.
func (sp *ServicePath) literal() int {
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
