package schedule

import (
	"time"

	"github.com/plantainrun/plantainrun/internal/rules"
)

// Parameters of what a pool learns from finished requests.
const (
	firstAnswerShare  = 0.5 // part of the output limit that an answer uses
	answerShareMargin = 0.1
	answerGain        = 0.02
	accuracyGain      = 0.05
	leastAccuracy     = 0.5
	mostAccuracy      = 6.
	leastPrediction   = 50 * time.Millisecond // below it a ratio says little
)

// learned is what a pool learns from finished requests.
type learned struct {
	answerShare float64 // moving average
	accuracy    map[rules.Class]float64
}

func newLearned() learned {
	return learned{
		answerShare: firstAnswerShare,
		accuracy:    map[rules.Class]float64{rules.ClassShort: 1, rules.ClassMedium: 1, rules.ClassLong: 1},
	}
}

// answerTokens is the expected length of an answer with the output limit.
func (l *learned) answerTokens(limit int) float64 {
	return min(1, l.answerShare+answerShareMargin) * float64(limit)
}

// answered learns from a whole answer's time and the time its limit would take.
func (l *learned) answered(took, most time.Duration) {
	if most <= 0 || took < 0 {
		return
	}
	used := min(1, took.Seconds()/most.Seconds())
	l.answerShare += answerGain * (used - l.answerShare)
}

// corrected scales a predicted time to the first token by how such
// predictions turned out.
func (l *learned) corrected(class rules.Class, predicted time.Duration) time.Duration {
	return stretched(predicted, l.accuracy[class])
}

// cameTrue learns from a first token how good its prediction was.
func (l *learned) cameTrue(class rules.Class, predicted, actual time.Duration) {
	ratio := max(actual, leastPrediction).Seconds() / max(predicted, leastPrediction).Seconds()
	ratio = min(max(ratio, leastAccuracy), mostAccuracy)
	l.accuracy[class] += accuracyGain * (ratio - l.accuracy[class])
}
