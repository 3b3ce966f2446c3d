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

// Limits of the numbers in rules.
const (
	maxWeight          = 1_000.0
	maxTokensPerSecond = 1e9
	maxBurstTokens     = 1e12
	maxTimeLimit       = time.Hour
	minTimeLimit       = 10 * time.Millisecond
	// defaultBurst sets the burst of an organisation that gives none: the tokens
	// that its rate allows in this time.
	defaultBurst = time.Minute
	// defaultWeight is the weight of an organisation that gives none.
	defaultWeight = 1.0
)

// keyHashPrefix names the hash function of a key hash.
const keyHashPrefix = "sha256:"

// ruleParsers maps each kind of rule to the function that parses its arguments,
// the words after the kind.
var ruleParsers = map[string]func(p *parser, line int, words []string){
	"organisation": (*parser).parseOrganisation,
	"time-limit":   (*parser).parseTimeLimit,
	"objective":    (*parser).parseObjective,
	"model":        (*parser).parseModel,
	"service":      (*parser).parseService,
}

func ruleKinds() string {
	names := make([]string, 0, len(ruleParsers))
	for name := range ruleParsers {
		names = append(names, name)
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

const organisationUsage = "write: organisation <partner>/<name> key=sha256:<64 hexadecimal digits> [weight=<number>] [rate=<tokens per second>] [burst=<tokens>]"

func (p *parser) parseOrganisation(line int, words []string) {
	if len(words) == 0 {
		p.addError(line, organisationUsage, "the organisation has no name")
		return
	}
	org := Organisation{Name: words[0], Weight: defaultWeight}
	ok := p.checkOrganisationName(line, org.Name)
	seenFields := make(map[string]bool)
	for _, w := range words[1:] {
		name, value, _ := strings.Cut(w, "=")
		if seenFields[name] && name != "key" {
			p.addError(line, organisationUsage, "%s is given twice", name)
			ok = false
			continue
		}
		seenFields[name] = true
		ok = p.parseOrganisationField(line, &org, name, value) && ok
	}
	if !seenFields["key"] {
		p.addError(line, organisationUsage, "organisation %s has no key", org.Name)
		return
	}
	if seenFields["burst"] && org.TokensPerSecond == 0 {
		p.addError(line, "give a rate as well, or no burst", "organisation %s has a burst but no rate", org.Name)
		return
	}
	if !seenFields["burst"] {
		org.BurstTokens = org.TokensPerSecond * defaultBurst.Seconds()
	}
	if ok {
		p.set.Organisations = append(p.set.Organisations, org)
	}
}

func (p *parser) checkOrganisationName(line int, name string) bool {
	partner, orgName, _ := strings.Cut(name, "/")
	if partner != p.set.Partner {
		p.addError(line, "name only organisations that begin with "+p.set.Partner+"/", "organisation %q is not of partner %s", name, p.set.Partner)
		return false
	}
	if !isName(orgName) {
		p.addError(line, organisationUsage, "%q is no name of an organisation", name)
		return false
	}
	return p.claimSubject(line, "organisation "+name)
}

func (p *parser) parseOrganisationField(line int, org *Organisation, name, value string) bool {
	switch name {
	case "key":
		return p.parseKey(line, org, value)
	case "weight":
		return p.parseNumber(line, name, value, maxWeight, &org.Weight)
	case "rate":
		return p.parseNumber(line, name, value, maxTokensPerSecond, &org.TokensPerSecond)
	case "burst":
		return p.parseNumber(line, name, value, maxBurstTokens, &org.BurstTokens)
	default:
		p.addError(line, organisationUsage, "unknown field %q of an organisation", name)
		return false
	}
}

func (p *parser) parseKey(line int, org *Organisation, value string) bool {
	digits, ok := strings.CutPrefix(value, keyHashPrefix)
	sum, err := hex.DecodeString(digits)
	if !ok || err != nil || len(sum) != 32 || digits != strings.ToLower(digits) {
		p.addError(line, "give the key's SHA-256 as key=sha256:<64 lower-case hexadecimal digits>, never the key itself", "the key is not a SHA-256 sum")
		return false
	}
	if !p.claimSubject(line, "key "+digits) {
		return false
	}
	org.KeyHashes = append(org.KeyHashes, digits)
	return true
}

// parseNumber parses a positive finite number of at most limit into out.
func (p *parser) parseNumber(line int, name, value string, limit float64, out *float64) bool {
	n, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(n) || n <= 0 || n > limit {
		p.addError(line, "give a number above 0 and up to "+strconv.FormatFloat(limit, 'f', -1, 64), "%s=%s is no such number", name, value)
		return false
	}
	*out = n
	return true
}

func timeLimitSubject(c Class) string { return "time-limit " + string(c) }

func (p *parser) parseTimeLimit(line int, words []string) {
	const usage = "write: time-limit short|medium|long <duration such as 8s or 10m>"
	if len(words) != 2 {
		p.addError(line, usage, "a time limit has a class and a duration")
		return
	}
	class := Class(words[0])
	if class != ClassShort && class != ClassMedium && class != ClassLong {
		p.addError(line, usage, "unknown class %q", words[0])
		return
	}
	limit, err := time.ParseDuration(words[1])
	if err != nil || limit < minTimeLimit || limit > maxTimeLimit {
		p.addError(line, "give a duration from "+minTimeLimit.String()+" to "+maxTimeLimit.String(), "%q is no such duration", words[1])
		return
	}
	if p.claimSubject(line, timeLimitSubject(class)) {
		p.set.TimeLimits = append(p.set.TimeLimits, TimeLimit{Class: class, Limit: limit})
	}
}

func (p *parser) parseObjective(line int, words []string) {
	if len(words) != 1 || (Objective(words[0]) != ObjectiveFirstToken && Objective(words[0]) != ObjectiveSlowdown) {
		p.addError(line, "write: objective first-token, or: objective slowdown", "unknown objective %q", strings.Join(words, " "))
		return
	}
	if p.claimSubject(line, "objective") {
		p.set.Objective = Objective(words[0])
	}
}

func (p *parser) parseModel(line int, words []string) {
	const usage = "write: model <name> targets=<pattern>[,<pattern>...]"
	if len(words) != 2 || !isName(words[0]) {
		p.addError(line, usage, "a model has a name and patterns of targets")
		return
	}
	list, ok := strings.CutPrefix(words[1], "targets=")
	patterns := strings.Split(list, ",")
	if !ok || !allPatterns(patterns) {
		p.addError(line, usage, "%q is no list of patterns", words[1])
		return
	}
	if p.claimSubject(line, "model "+words[0]) {
		p.set.Models = append(p.set.Models, Model{Name: words[0], Targets: patterns})
	}
}

// The keywords that say how a call may be repeated.
const (
	keywordOnce       = "once"
	keywordRepeatable = "repeatable"
	keywordDedupes    = "dedupes"
)

func (p *parser) parseService(line int, words []string) {
	const usage = "write: service <name> <METHOD or *> /<path> once|repeatable|dedupes"
	if len(words) != 4 || !isName(words[0]) {
		p.addError(line, usage, "a service rule has a service, a method, a path and how calls may be repeated")
		return
	}
	sp := ServicePath{Service: words[0], Method: words[1], Path: words[2]}
	switch {
	case !isMethod(sp.Method):
		p.addError(line, usage, "%q is no method", sp.Method)
		return
	case !strings.HasPrefix(sp.Path, "/") || !isPattern(strings.TrimSuffix(sp.Path, subtreeSuffix)+"/"):
		p.addError(line, usage, "%q is no path", sp.Path)
		return
	}
	switch words[3] {
	case keywordOnce:
	case keywordRepeatable:
		sp.Repeatable = true
	case keywordDedupes:
		sp.Dedupes = true
	default:
		p.addError(line, usage, "%q does not say how calls may be repeated", words[3])
		return
	}
	if p.claimSubject(line, strings.Join([]string{"service", sp.Service, sp.Method, sp.Path}, " ")) {
		p.set.Services = append(p.set.Services, sp)
	}
}

func isMethod(s string) bool {
	return s == anyMethod || (s != "" && !strings.ContainsFunc(s, func(r rune) bool { return r < 'A' || r > 'Z' }))
}

// isName reports whether s consists of ASCII letters, digits and the characters
// -_.: only, and is not empty.
func isName(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(r rune) bool {
		letter := (r >= 'a' && r <= 'z') || (r >= 'A' && r <= 'Z') || (r >= '0' && r <= '9')
		return !letter && !strings.ContainsRune("-_.:", r)
	})
}

// isPattern reports whether s is a valid pattern of path.Match.
func isPattern(s string) bool {
	_, err := path.Match(s, "")
	return s != "" && err == nil
}

func allPatterns(list []string) bool {
	return !slices.ContainsFunc(list, func(s string) bool { return !isPattern(s) })
}
