package schedule

import (
	"time"

	"github.com/plantainrun/plantainrun/internal/rules"
)

// Parameters of the calibration. The gains are the weights of one observation in
// a moving average.
const (
	initialOutputFraction = 0.5 // of the output limit
	outputFractionMargin  = 0.1
	outputFractionGain    = 0.02
	ttftRatioGain         = 0.05
	minTTFTRatio          = 0.5
	maxTTFTRatio          = 6.
	minRatioTTFT          = 50 * time.Millisecond // ratios of shorter times are not meaningful
)

// calibration corrects a pool's predictions with the results of its requests.
type calibration struct {
	outputFraction float64                 // output length over the output limit, moving average
	ttftRatio      map[rules.Class]float64 // actual over predicted time to first token, moving average
}

func newCalibration() calibration {
	return calibration{
		outputFraction: initialOutputFraction,
		ttftRatio:      map[rules.Class]float64{rules.ClassShort: 1, rules.ClassMedium: 1, rules.ClassLong: 1},
	}
}

// expectedOutputTokens returns the expected output length for an output limit.
func (c *calibration) expectedOutputTokens(limit int) float64 {
	return min(1, c.outputFraction+outputFractionMargin) * float64(limit)
}

// observeOutput records the decode time of a finished request and the decode time
// of its output limit.
func (c *calibration) observeOutput(decodeTime, maxDecodeTime time.Duration) {
	if maxDecodeTime <= 0 || decodeTime < 0 {
		return
	}
	fraction := min(1, decodeTime.Seconds()/maxDecodeTime.Seconds())
	c.outputFraction += outputFractionGain * (fraction - c.outputFraction)
}

// correctTTFT scales a predicted time to first token by the observed ratio of the
// class.
func (c *calibration) correctTTFT(class rules.Class, predicted time.Duration) time.Duration {
	return scaleDuration(predicted, c.ttftRatio[class])
}

// observeTTFT records the predicted and the actual time to first token of a
// request.
func (c *calibration) observeTTFT(class rules.Class, predicted, actual time.Duration) {
	ratio := max(actual, minRatioTTFT).Seconds() / max(predicted, minRatioTTFT).Seconds()
	ratio = min(max(ratio, minTTFTRatio), maxTTFTRatio)
	c.ttftRatio[class] += ttftRatioGain * (ratio - c.ttftRatio[class])
}
