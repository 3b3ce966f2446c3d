// Package cost estimates what a prompt costs: tokens from bytes, and the rates
// at which engines prefill and decode. The estimates are learned from the
// engines' load reports; until then safe defaults hold.
package cost

import (
	"math"
	"sync"
	"time"

	"github.com/plantainrun/plantainrun/internal/engineapi"
)

// Defaults that hold until an engine has reported. They overestimate the cost.
const (
	DefaultBytesPerToken = 3.0    // bytes
	DefaultPrefillRate   = 8_000. // tokens per second
	DefaultDecodeRate    = 20.    // tokens per second of one stream
)

// Bounds outside which a reported value is not believed.
const (
	minBytesPerToken = 1.0
	maxBytesPerToken = 16.0
	minRate          = 1e-3
	maxRate          = 1e7
	minSampleTokens  = 256 // tokens; smaller samples say little about the ratio
	rateGain         = 0.3 // weight of the newest report in the moving average of a model
	halfGainTokens   = 50_000.
)

// Rates are the speeds of one engine.
type Rates struct {
	Prefill float64 // tokens per second while prefilling
	Decode  float64 // tokens per second of one running stream
}

// PrefillTime is how long the prefill of tokens takes on an idle engine.
func (r Rates) PrefillTime(tokens float64) time.Duration {
	return SecondsToDuration(tokens / r.Prefill)
}

// DecodeTime is how long a stream needs to generate tokens.
func (r Rates) DecodeTime(tokens float64) time.Duration {
	return SecondsToDuration(tokens / r.Decode)
}

// SecondsToDuration converts seconds to a duration and saturates at about 31 years.
func SecondsToDuration(s float64) time.Duration {
	const maxSeconds = 1e9
	if math.IsNaN(s) || s > maxSeconds {
		s = maxSeconds
	}
	return time.Duration(max(s, 0) * float64(time.Second))
}

type model struct {
	bytesPerToken   float64
	rates           Rates
	prefillReported bool
}

type promptCounters struct {
	incarnation string
	bytes       int64
	tokens      int64
}

// Estimator learns costs per model. It is safe for concurrent use.
type Estimator struct {
	mu      sync.RWMutex
	models  map[string]*model
	targets map[string]promptCounters
}

// NewEstimator returns an Estimator that knows only the defaults.
func NewEstimator() *Estimator {
	return &Estimator{models: map[string]*model{}, targets: map[string]promptCounters{}}
}

// Observe learns from one report of the target and returns the target's rates.
// Values that are not finite, not positive or out of range are ignored.
func (e *Estimator) Observe(target string, r engineapi.LoadReport) Rates {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := e.modelLocked(r.Model)
	e.updateBytesPerTokenLocked(m, target, r)
	m.updateRates(r)
	rates := m.rates
	if plausibleRate(r.PrefillRate) {
		rates.Prefill = r.PrefillRate
	}
	if plausibleRate(r.DecodeRate) {
		rates.Decode = r.DecodeRate
	}
	return rates
}

// RemoveTarget drops the counters of a target that is gone.
func (e *Estimator) RemoveTarget(target string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.targets, target)
}

// Rates returns the usual rates of the model's engines.
func (e *Estimator) Rates(modelName string) Rates {
	e.mu.RLock()
	defer e.mu.RUnlock()
	if m, ok := e.models[modelName]; ok {
		return m.rates
	}
	return Rates{Prefill: DefaultPrefillRate, Decode: DefaultDecodeRate}
}

// EstimateTokens estimates the tokens in a prompt of the given bytes, rounded up.
func (e *Estimator) EstimateTokens(modelName string, bytes int) int {
	e.mu.RLock()
	defer e.mu.RUnlock()
	ratio := DefaultBytesPerToken
	if m, ok := e.models[modelName]; ok {
		ratio = m.bytesPerToken
	}
	return int(math.Ceil(float64(max(bytes, 0)) / ratio))
}

func (e *Estimator) modelLocked(modelName string) *model {
	m, ok := e.models[modelName]
	if !ok {
		m = &model{
			bytesPerToken: DefaultBytesPerToken,
			rates:         Rates{Prefill: DefaultPrefillRate, Decode: DefaultDecodeRate},
		}
		e.models[modelName] = m
	}
	return m
}

// updateBytesPerTokenLocked uses the growth of the cumulative counters since the last
// report of the same incarnation.
func (e *Estimator) updateBytesPerTokenLocked(m *model, target string, r engineapi.LoadReport) {
	last, known := e.targets[target]
	if known && last.incarnation == r.Incarnation && r.PromptTokens < last.tokens {
		return // an older report that came late
	}
	e.targets[target] = promptCounters{incarnation: r.Incarnation, bytes: r.PromptBytes, tokens: r.PromptTokens}
	if !known || last.incarnation != r.Incarnation {
		last = promptCounters{}
	}
	tokens := float64(r.PromptTokens - last.tokens)
	ratio := float64(r.PromptBytes-last.bytes) / tokens
	if tokens < minSampleTokens || ratio < minBytesPerToken || ratio > maxBytesPerToken {
		return
	}
	gain := tokens / (tokens + halfGainTokens)
	m.bytesPerToken += gain * (ratio - m.bytesPerToken)
}

func (m *model) updateRates(r engineapi.LoadReport) {
	gain := rateGain
	if !m.prefillReported {
		gain = 1
	}
	if plausibleRate(r.PrefillRate) {
		m.rates.Prefill += gain * (r.PrefillRate - m.rates.Prefill)
		m.prefillReported = true
	}
	if plausibleRate(r.DecodeRate) {
		m.rates.Decode += gain * (r.DecodeRate - m.rates.Decode)
	}
}

func plausibleRate(v float64) bool {
	return v >= minRate && v <= maxRate
}
