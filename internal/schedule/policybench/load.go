package policybench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/plantainrun/plantainrun/internal/rules"
)

// request is one prompt of the load.
type request struct {
	id       string
	partner  string
	org      string
	class    rules.Class
	prompt   int // tokens
	output   int // tokens
	arrival  time.Time
	deadline time.Time
	host     int // that takes it first

	tries    int
	excluded []string
	domains  []string // already tried
	ended    bool
	first    time.Time
}

// Parts of the load. One prompt in fifty is long.
const (
	partLong     = 0.02
	partMedium   = 0.28
	leastPrompt  = 1_000
	longestPromt = 1_000_000
	leastOutput  = 16
	orgsEach     = 10
	largeOrgs    = 2
	largeWeight  = 4.
)

var partners = []string{"aarhus", "kushiro"}

var timeLimits = map[rules.Class]time.Duration{
	rules.ClassShort:  20 * time.Second,
	rules.ClassMedium: time.Minute,
	rules.ClassLong:   5 * time.Minute,
}

// meanPrompt is the mean length of the load's prompts, in tokens.
func meanPrompt() float64 {
	mean := func(a, b float64) float64 { return (b - a) / math.Log(b/a) }
	return (1-partMedium-partLong)*mean(leastPrompt, rules.ShortMaxTokens) +
		partMedium*mean(rules.ShortMaxTokens, rules.MediumMaxTokens) +
		partLong*mean(rules.MediumMaxTokens, longestPromt)
}

// generator draws requests.
type generator struct {
	rng   *rand.Rand
	rate  float64 // requests per second
	count int
	burst bool
}

func (g *generator) gap() time.Duration {
	return time.Duration(g.rng.ExpFloat64() / g.rate * float64(time.Second))
}

func (g *generator) next(now time.Time) *request {
	g.count++
	r := &request{id: fmt.Sprintf("r%d", g.count), arrival: now, host: g.host()}
	r.partner, r.org = g.organisation()
	r.prompt = g.length()
	r.class = rules.ClassOf(r.prompt)
	r.output = int(g.logUniform(leastOutput, MaxTokens))
	r.deadline = now.Add(timeLimits[r.class])
	return r
}

// host draws a host; domains get load in proportion to their engines.
func (g *generator) host() int {
	domain := domainOf(g.rng.IntN(Engines))
	return domain*HostsPerDomain + g.rng.IntN(HostsPerDomain)
}

// domainOf is the failure domain of an engine.
func domainOf(engine int) int { return engine % Domains }

func (g *generator) organisation() (partner, org string) {
	if g.burst && g.rng.IntN(2) == 0 {
		return partners[0], "org-9"
	}
	partner = partners[g.rng.IntN(len(partners))]
	total := largeOrgs*largeWeight + orgsEach - largeOrgs
	at := g.rng.Float64() * total
	if at < largeOrgs*largeWeight {
		return partner, fmt.Sprintf("org-%d", int(at/largeWeight))
	}
	return partner, fmt.Sprintf("org-%d", largeOrgs+int(at-largeOrgs*largeWeight))
}

func (g *generator) length() int {
	u := g.rng.Float64()
	switch {
	case u < partLong:
		return int(g.logUniform(rules.MediumMaxTokens+1, longestPromt))
	case u < partLong+partMedium:
		return int(g.logUniform(rules.ShortMaxTokens+1, rules.MediumMaxTokens))
	default:
		return int(g.logUniform(leastPrompt, rules.ShortMaxTokens))
	}
}

func (g *generator) logUniform(a, b float64) float64 {
	return a * math.Exp(g.rng.Float64()*math.Log(b/a))
}

// ruleSets are the partners' rules: each with its own objective.
func ruleSets() []rules.Set {
	objectives := map[string]rules.Objective{"aarhus": rules.ObjectiveSlowdown, "kushiro": rules.ObjectiveFirstToken}
	var sets []rules.Set
	for _, p := range partners {
		s := rules.Set{Partner: p, Objective: objectives[p]}
		for i := range orgsEach {
			weight := 1.
			if i < largeOrgs {
				weight = largeWeight
			}
			s.Organisations = append(s.Organisations, rules.Organisation{Name: fmt.Sprintf("org-%d", i), Weight: weight})
		}
		s.Models = []rules.Model{{Name: modelName, Targets: []string{"*"}}}
		sets = append(sets, s)
	}
	return sets
}
