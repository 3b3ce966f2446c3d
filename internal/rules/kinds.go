package rules

import (
	"encoding/hex"
	"math"
	"path"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Bounds of the numbers in rules.
const (
	maxWeight          = 1_000.0
	maxTokensPerSecond = 1e9
	maxBurstTokens     = 1e12
	maxTimeLimit       = time.Hour
	minTimeLimit       = 10 * time.Millisecond
	// defaultBurst is how long an organisation without a burst may run at its
	// rate ahead of time.
	defaultBurst = time.Minute
	// defaultWeight is the share of an organisation without a weight.
	defaultWeight = 1.0
)

// keyHashPrefix marks the hash function of a key.
const keyHashPrefix = "sha256:"

// readers maps each kind of rule to its reader; words follow the kind.
var readers = map[string]func(p *parser, line int, words []string){
	"organisation": (*parser).organisation,
	"time-limit":   (*parser).timeLimit,
	"objective":    (*parser).objective,
	"model":        (*parser).model,
	"service":      (*parser).service,
}

func kindNames() string {
	names := make([]string, 0, len(readers))
	for name := range readers {
		names = append(names, name)
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

const organisationForm = "write: organisation <partner>/<name> key=sha256:<64 hexadecimal digits> [weight=<number>] [rate=<tokens per second>] [burst=<tokens>]"

func (p *parser) organisation(line int, words []string) {
	if len(words) == 0 {
		p.fail(line, organisationForm, "the organisation has no name")
		return
	}
	org := Organisation{Name: words[0], Weight: defaultWeight}
	ok := p.organisationName(line, org.Name)
	given := make(map[string]bool)
	for _, w := range words[1:] {
		name, value, _ := strings.Cut(w, "=")
		if given[name] && name != "key" {
			p.fail(line, organisationForm, "%s is given twice", name)
			ok = false
			continue
		}
		given[name] = true
		ok = p.organisationField(line, &org, name, value) && ok
	}
	if !given["key"] {
		p.fail(line, organisationForm, "organisation %s has no key", org.Name)
		return
	}
	if given["burst"] && org.TokensPerSecond == 0 {
		p.fail(line, "give a rate as well, or no burst", "organisation %s has a burst but no rate", org.Name)
		return
	}
	if !given["burst"] {
		org.BurstTokens = org.TokensPerSecond * defaultBurst.Seconds()
	}
	if ok {
		p.set.Organisations = append(p.set.Organisations, org)
	}
}

func (p *parser) organisationName(line int, name string) bool {
	partner, short, _ := strings.Cut(name, "/")
	if partner != p.set.Partner {
		p.fail(line, "name only organisations that begin with "+p.set.Partner+"/", "organisation %q is not of partner %s", name, p.set.Partner)
		return false
	}
	if !isName(short) {
		p.fail(line, organisationForm, "%q is no name of an organisation", name)
		return false
	}
	return p.once(line, "organisation "+name)
}

func (p *parser) organisationField(line int, org *Organisation, name, value string) bool {
	switch name {
	case "key":
		return p.key(line, org, value)
	case "weight":
		return p.number(line, name, value, maxWeight, &org.Weight)
	case "rate":
		return p.number(line, name, value, maxTokensPerSecond, &org.TokensPerSecond)
	case "burst":
		return p.number(line, name, value, maxBurstTokens, &org.BurstTokens)
	default:
		p.fail(line, organisationForm, "unknown field %q of an organisation", name)
		return false
	}
}

func (p *parser) key(line int, org *Organisation, value string) bool {
	digits, ok := strings.CutPrefix(value, keyHashPrefix)
	sum, err := hex.DecodeString(digits)
	if !ok || err != nil || len(sum) != 32 || digits != strings.ToLower(digits) {
		p.fail(line, "give the key's SHA-256 as key=sha256:<64 lower-case hexadecimal digits>, never the key itself", "the key is not a SHA-256 sum")
		return false
	}
	if !p.once(line, "key "+digits) {
		return false
	}
	org.KeyHashes = append(org.KeyHashes, digits)
	return true
}

// number reads a positive finite number up to limit.
func (p *parser) number(line int, name, value string, limit float64, into *float64) bool {
	n, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(n) || n <= 0 || n > limit {
		p.fail(line, "give a number above 0 and up to "+strconv.FormatFloat(limit, 'f', -1, 64), "%s=%s is no such number", name, value)
		return false
	}
	*into = n
	return true
}

func timeLimitSubject(c Class) string { return "time-limit " + string(c) }

func (p *parser) timeLimit(line int, words []string) {
	const form = "write: time-limit short|medium|long <duration such as 8s or 10m>"
	if len(words) != 2 {
		p.fail(line, form, "a time limit has a class and a duration")
		return
	}
	class := Class(words[0])
	if class != ClassShort && class != ClassMedium && class != ClassLong {
		p.fail(line, form, "unknown class %q", words[0])
		return
	}
	limit, err := time.ParseDuration(words[1])
	if err != nil || limit < minTimeLimit || limit > maxTimeLimit {
		p.fail(line, "give a duration from "+minTimeLimit.String()+" to "+maxTimeLimit.String(), "%q is no such duration", words[1])
		return
	}
	if p.once(line, timeLimitSubject(class)) {
		p.set.TimeLimits = append(p.set.TimeLimits, TimeLimit{Class: class, Limit: limit})
	}
}

func (p *parser) objective(line int, words []string) {
	if len(words) != 1 || (Objective(words[0]) != ObjectiveFirstToken && Objective(words[0]) != ObjectiveSlowdown) {
		p.fail(line, "write: objective first-token, or: objective slowdown", "unknown objective %q", strings.Join(words, " "))
		return
	}
	if p.once(line, "objective") {
		p.set.Objective = Objective(words[0])
	}
}

func (p *parser) model(line int, words []string) {
	const form = "write: model <name> targets=<pattern>[,<pattern>...]"
	if len(words) != 2 || !isName(words[0]) {
		p.fail(line, form, "a model has a name and patterns of targets")
		return
	}
	list, ok := strings.CutPrefix(words[1], "targets=")
	patterns := strings.Split(list, ",")
	if !ok || !allPatterns(patterns) {
		p.fail(line, form, "%q is no list of patterns", words[1])
		return
	}
	if p.once(line, "model "+words[0]) {
		p.set.Models = append(p.set.Models, Model{Name: words[0], Targets: patterns})
	}
}

// The words that say how a call may be repeated.
const (
	wordOnce       = "once"
	wordRepeatable = "repeatable"
	wordDedupes    = "dedupes"
)

func (p *parser) service(line int, words []string) {
	const form = "write: service <name> <METHOD or *> /<path> once|repeatable|dedupes"
	if len(words) != 4 || !isName(words[0]) {
		p.fail(line, form, "a service rule has a service, a method, a path and how calls may be repeated")
		return
	}
	sp := ServicePath{Service: words[0], Method: words[1], Path: words[2]}
	switch {
	case !isMethod(sp.Method):
		p.fail(line, form, "%q is no method", sp.Method)
		return
	case !strings.HasPrefix(sp.Path, "/") || !isPattern(strings.TrimSuffix(sp.Path, anyBelow)+"/"):
		p.fail(line, form, "%q is no path", sp.Path)
		return
	}
	switch words[3] {
	case wordOnce:
	case wordRepeatable:
		sp.Repeatable = true
	case wordDedupes:
		sp.Dedupes = true
	default:
		p.fail(line, form, "%q does not say how calls may be repeated", words[3])
		return
	}
	if p.once(line, strings.Join([]string{"service", sp.Service, sp.Method, sp.Path}, " ")) {
		p.set.Services = append(p.set.Services, sp)
	}
}

func isMethod(s string) bool {
	return s == anyMethod || (s != "" && !strings.ContainsFunc(s, func(r rune) bool { return r < 'A' || r > 'Z' }))
}

// isName tells whether s is made of letters, digits and -_.: only.
func isName(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(r rune) bool {
		letter := (r >= 'a' && r <= 'z') || (r >= 'A' && r <= 'Z') || (r >= '0' && r <= '9')
		return !letter && !strings.ContainsRune("-_.:", r)
	})
}

func isPattern(s string) bool {
	_, err := path.Match(s, "")
	return s != "" && err == nil
}

func allPatterns(list []string) bool {
	return !slices.ContainsFunc(list, func(s string) bool { return !isPattern(s) })
}
