// Package cost estimates the cost of a prompt: its number of tokens from its size
// in bytes, and the rates at which engines prefill and decode. The estimates are
// learned from the engines' load reports and start from conservative defaults.
package cost

import (
	"math"
	"sync"
	"time"

	"github.com/plantainrun/plantainrun/internal/engineapi"
)

// Defaults that apply until an engine has reported. They overestimate the cost.
const (
	DefaultBytesPerToken = 3.0
	DefaultPrefillRate   = 8_000. // tokens per second
	DefaultDecodeRate    = 20.    // tokens per second per stream
)

// Parameters of the estimates. Reported values outside the bounds are ignored.
const (
	minBytesPerToken = 1.0
	maxBytesPerToken = 16.0
	minRate          = 1e-3    // tokens per second
	maxRate          = 1e7     // tokens per second
	minSampleTokens  = 256     // smaller samples say little about the ratio
	rateGain         = 0.3     // weight of the latest report in a model's exponential moving average
	halfGainTokens   = 50_000. // sample size at which a sample's ratio has a weight of one half
)

// Rates are the processing rates of one engine.
type Rates struct {
	Prefill float64 // tokens per second during prefill
	Decode  float64 // tokens per second per stream
}

// PrefillTime returns how long an idle engine takes to prefill the tokens.
func (r Rates) PrefillTime(tokens float64) time.Duration {
	return SecondsToDuration(tokens / r.Prefill)
}

// DecodeTime returns how long one stream takes to generate the tokens.
func (r Rates) DecodeTime(tokens float64) time.Duration {
	return SecondsToDuration(tokens / r.Decode)
}

// SecondsToDuration converts seconds to a duration. The result is never negative
// and saturates at about 31 years, also for NaN.
func SecondsToDuration(s float64) time.Duration {
	const maxSeconds = 1e9
	if math.IsNaN(s) || s > maxSeconds {
		s = maxSeconds
	}
	return time.Duration(max(s, 0) * float64(time.Second))
}

// model holds the estimates for one model.
type model struct {
	bytesPerToken   float64
	rates           Rates
	prefillReported bool
}

// promptCounters are the cumulative counters of a target's last report.
type promptCounters struct {
	incarnation string
	bytes       int64
	tokens      int64
}

// Estimator maintains the cost estimates of all models. It is safe for concurrent
// use.
type Estimator struct {
	mu      sync.RWMutex
	models  map[string]*model
	targets map[string]promptCounters
}

// NewEstimator returns an Estimator that uses the defaults for all models.
func NewEstimator() *Estimator {
	return &Estimator{models: map[string]*model{}, targets: map[string]promptCounters{}}
}

// Observe updates the estimates from a load report of the target and returns the
// target's rates. Values that are not finite, not positive or out of range are
// ignored; for a rate, the model's average is returned instead.
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

// RemoveTarget drops the counters of a target that no longer exists.
func (e *Estimator) RemoveTarget(target string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.targets, target)
}

// Rates returns the average rates of the model's engines.
func (e *Estimator) Rates(modelName string) Rates {
	e.mu.RLock()
	defer e.mu.RUnlock()
	if m, ok := e.models[modelName]; ok {
		return m.rates
	}
	return Rates{Prefill: DefaultPrefillRate, Decode: DefaultDecodeRate}
}

// EstimateTokens estimates the number of tokens in a prompt of the given size in
// bytes, rounded up.
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

// updateBytesPerTokenLocked updates the ratio of bytes to tokens from the increase
// of the target's cumulative counters since its last report. After a restart of
// the target the counters start from zero.
func (e *Estimator) updateBytesPerTokenLocked(m *model, target string, r engineapi.LoadReport) {
	last, known := e.targets[target]
	if known && last.incarnation == r.Incarnation && r.PromptTokens < last.tokens {
		return // out-of-order report
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

// updateRates updates the moving averages. Until a plausible prefill rate has been
// reported, a reported rate replaces the average.
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
