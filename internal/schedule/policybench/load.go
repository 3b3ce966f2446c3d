package policybench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/plantainrun/plantainrun/internal/rules"
)

// request is one prompt of the generated load and the state of its attempts.
type request struct {
	id           string
	partner      string
	org          string
	class        rules.Class
	promptTokens int
	outputTokens int
	arrival      time.Time
	deadline     time.Time
	entryHost    int // index of the host that receives the request first

	failedAttempts  int
	excludedTargets []string
	triedDomains    []string // failure domains whose scheduler rejected the request
	ended           bool     // no further attempt follows
	firstTokenAt    time.Time
}

// Composition of the load: the fraction of medium and long prompts (one in
// fifty is long), the bounds of their lengths in tokens, and the organisations
// with their weights. All other prompts are short.
const (
	longFraction    = 0.02
	mediumFraction  = 0.28
	minPromptTokens = 1_000
	maxPromptTokens = 1_000_000
	minOutputTokens = 16
	orgsPerPartner  = 10
	largeOrgs       = 2
	largeOrgWeight  = 4.
)

var partners = []string{"aarhus", "kushiro"}

// timeLimits holds the time from the arrival of a request to its deadline, by
// class of prompt length.
var timeLimits = map[rules.Class]time.Duration{
	rules.ClassShort:  20 * time.Second,
	rules.ClassMedium: time.Minute,
	rules.ClassLong:   5 * time.Minute,
}

// meanPromptTokens returns the mean prompt length of the load. Within a class,
// lengths are log-uniform, with the mean (b-a)/ln(b/a) between a and b.
func meanPromptTokens() float64 {
	mean := func(a, b float64) float64 { return (b - a) / math.Log(b/a) }
	return (1-mediumFraction-longFraction)*mean(minPromptTokens, rules.ShortMaxTokens) +
		mediumFraction*mean(rules.ShortMaxTokens, rules.MediumMaxTokens) +
		longFraction*mean(rules.MediumMaxTokens, maxPromptTokens)
}

// generator draws the requests of a Poisson arrival process at random.
type generator struct {
	rng   *rand.Rand
	rate  float64 // requests per second
	count int
	burst bool // one organisation sends half of all requests
}

func (g *generator) interarrival() time.Duration {
	return time.Duration(g.rng.ExpFloat64() / g.rate * float64(time.Second))
}

func (g *generator) next(now time.Time) *request {
	g.count++
	r := &request{id: fmt.Sprintf("r%d", g.count), arrival: now, entryHost: g.pickEntryHost()}
	r.partner, r.org = g.organisation()
	r.promptTokens = g.drawPromptTokens()
	r.class = rules.ClassOf(r.promptTokens)
	r.outputTokens = int(g.logUniform(minOutputTokens, MaxTokens))
	r.deadline = now.Add(timeLimits[r.class])
	return r
}

// pickEntryHost draws the index of an entry host. Failure domains receive load
// in proportion to their number of engines.
func (g *generator) pickEntryHost() int {
	domain := domainOf(g.rng.IntN(Engines))
	return domain*HostsPerDomain + g.rng.IntN(HostsPerDomain)
}

// domainOf returns the index of the failure domain of an engine.
func domainOf(engine int) int { return engine % Domains }

func (g *generator) organisation() (partner, org string) {
	if g.burst && g.rng.IntN(2) == 0 {
		return partners[0], "org-9"
	}
	partner = partners[g.rng.IntN(len(partners))]
	total := largeOrgs*largeOrgWeight + orgsPerPartner - largeOrgs
	point := g.rng.Float64() * total
	if point < largeOrgs*largeOrgWeight {
		return partner, fmt.Sprintf("org-%d", int(point/largeOrgWeight))
	}
	return partner, fmt.Sprintf("org-%d", largeOrgs+int(point-largeOrgs*largeOrgWeight))
}

func (g *generator) drawPromptTokens() int {
	u := g.rng.Float64()
	switch {
	case u < longFraction:
		return int(g.logUniform(rules.MediumMaxTokens+1, maxPromptTokens))
	case u < longFraction+mediumFraction:
		return int(g.logUniform(rules.ShortMaxTokens+1, rules.MediumMaxTokens))
	default:
		return int(g.logUniform(minPromptTokens, rules.ShortMaxTokens))
	}
}

func (g *generator) logUniform(a, b float64) float64 {
	return a * math.Exp(g.rng.Float64()*math.Log(b/a))
}

// ruleSets returns the rules of all partners. Each partner has a different
// scheduling objective.
func ruleSets() []rules.Set {
	objectives := map[string]rules.Objective{"aarhus": rules.ObjectiveSlowdown, "kushiro": rules.ObjectiveFirstToken}
	var sets []rules.Set
	for _, p := range partners {
		s := rules.Set{Partner: p, Objective: objectives[p]}
		for i := range orgsPerPartner {
			weight := 1.
			if i < largeOrgs {
				weight = largeOrgWeight
			}
			s.Organisations = append(s.Organisations, rules.Organisation{Name: fmt.Sprintf("org-%d", i), Weight: weight})
		}
		s.Models = []rules.Model{{Name: modelName, Targets: []string{"*"}}}
		sets = append(sets, s)
	}
	return sets
}
