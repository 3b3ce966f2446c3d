package fleetmodel

import (
	"time"

	"github.com/plantainrun/plantainrun/internal/catalog"
)

// largeEngine is an engine with much memory and few slots, smallEngine one with less.
var (
	largeEngine = catalog.Engine{
		Slots: 12, MemoryTokens: 382500, StepTime: 925 * time.Microsecond, StepTimePerSeq: 4830 * time.Nanosecond,
		StepTimePerKiloToken: 2540 * time.Nanosecond, PrefillRate: 256000, AttentionTimePerMPairs: 91700 * time.Nanosecond, StepsPerPass: 52,
	}
	smallEngine = catalog.Engine{
		Slots: 12, MemoryTokens: 197200, StepTime: 1020 * time.Microsecond, StepTimePerSeq: 2260 * time.Nanosecond,
		StepTimePerKiloToken: 4310 * time.Nanosecond, PrefillRate: 206000, AttentionTimePerMPairs: 138 * time.Microsecond, StepsPerPass: 48,
	}
)

// phase is a period in which the kinds of request have other shares.
type phase struct {
	start, end          time.Duration
	short, medium, long float64 // factors of the ordinary rates
}

// inPhases returns the workloads at their ordinary rates, but for the phases.
func inPhases(short, medium, long Workload, duration time.Duration, phases ...phase) []Workload {
	var out []Workload
	add := func(start, end time.Duration, p phase) {
		if start < end {
			out = append(out, short.Scaled(p.short).During(start, end), medium.Scaled(p.medium).During(start, end), long.Scaled(p.long).During(start, end))
		}
	}
	at := time.Duration(0)
	for _, p := range phases {
		add(at, p.start, phase{short: 1, medium: 1, long: 1})
		add(p.start, p.end, p)
		at = p.end
	}
	add(at, duration, phase{short: 1, medium: 1, long: 1})
	return out
}

// Loads returns scenarios in which callers compete for too little room, by name: the kinds
// of request swap their shares within moments, so that either the prefill of long prompts
// or the slots for short ones are short.
func Loads() map[string]Scenario {
	const second = time.Second
	wave := Wave{Swing: 0.55, Period: 13 * second, Phase: 0.18}
	hint := Workload{Name: "short", PerSecond: 67.4, MeanPromptTokens: 4960, PromptSigma: 0.9, MaxPromptTokens: 23800, MeanEvents: 33, EventsSigma: 0.7,
		Objective: 300 * time.Millisecond, MaxEventGap: 200 * time.Millisecond, Timeout: 10 * second, Payoff: 1.4, LatePayoff: 0.34, Wave: wave}
	review := Workload{Name: "medium", PerSecond: 6.18, MeanPromptTokens: 45000, PromptSigma: 0.5, MaxPromptTokens: 110000, MeanEvents: 19.8, EventsSigma: 0.6,
		Objective: 1500 * time.Millisecond, MaxEventGap: 500 * time.Millisecond, Timeout: 10 * second, Payoff: 2.6, LatePayoff: 0.66, Wave: wave}
	study := Workload{Name: "long", PerSecond: 1.83, MeanPromptTokens: 300000, PromptSigma: 0.55, MaxPromptTokens: 1e6, MeanEvents: 16.5, EventsSigma: 0.5,
		Objective: 4 * second, MaxEventGap: 800 * time.Millisecond, Timeout: 15 * second, Payoff: 30, LatePayoff: 7.5, Wave: wave}
	longFirst := []phase{{2400 * time.Millisecond, 11900 * time.Millisecond, 0.34, 1.3, 2.7}, {13 * second, 22500 * time.Millisecond, 2.4, 0.5, 0.05}, {23 * second, 32500 * time.Millisecond, 0.39, 1.3, 2.6}}
	shortFirst := []phase{{2400 * time.Millisecond, 11900 * time.Millisecond, 2.4, 0.5, 0.05}, {13 * second, 22500 * time.Millisecond, 0.35, 1.3, 2.7}, {23 * second, 32500 * time.Millisecond, 2.4, 0.5, 0.05}}
	large := Scenario{Engine: largeEngine, Hosts: 76, Engines: 45, Duration: 36 * second, PropagationDelay: 20 * time.Millisecond, ImpatientCallers: true}
	longTurn, shortTurn := large, large
	longTurn.Workloads = inPhases(hint, review, study, large.Duration, longFirst...)
	shortTurn.Workloads = inPhases(hint, review, study, large.Duration, shortFirst...)

	mild := Wave{Swing: 0.2, Period: 11 * second, Phase: 0.2}
	explain := Workload{Name: "short", PerSecond: 74.8, MeanPromptTokens: 4960, PromptSigma: 0.9, MaxPromptTokens: 23800, MeanEvents: 31, EventsSigma: 0.7,
		Objective: 250 * time.Millisecond, MaxEventGap: 250 * time.Millisecond, Timeout: 10 * second, Payoff: 1.8, LatePayoff: 0.18, Wave: mild}
	patch := Workload{Name: "medium", PerSecond: 8.84, MeanPromptTokens: 45000, PromptSigma: 0.5, MaxPromptTokens: 110000, MeanEvents: 18, EventsSigma: 0.6,
		Objective: 1500 * time.Millisecond, MaxEventGap: 600 * time.Millisecond, Timeout: 10 * second, Payoff: 2.4, LatePayoff: 0.61, Wave: mild}
	tree := Workload{Name: "long", PerSecond: 3.15, MeanPromptTokens: 190000, PromptSigma: 0.55, MaxPromptTokens: 600000, MeanEvents: 15, EventsSigma: 0.5,
		Objective: 6 * second, MaxEventGap: second, Timeout: 15 * second, Payoff: 7.3, LatePayoff: 2.8, Wave: mild}
	explain.Importance, patch.Importance = 4, 2
	small := Scenario{Engine: smallEngine, Hosts: 71, Engines: 60, Duration: 36 * second, PropagationDelay: 20 * time.Millisecond, ImpatientCallers: true}
	small.Workloads = inPhases(explain, patch, tree, small.Duration,
		phase{3300 * time.Millisecond, 9700 * time.Millisecond, 1, 1, 2.3}, phase{12 * second, 15800 * time.Millisecond, 1.6, 1, 1}, phase{20 * second, 29500 * time.Millisecond, 0.34, 1.3, 2.8})
	return map[string]Scenario{"long-then-short": longTurn, "short-then-long": shortTurn, "uneven-kinds": small}
}
