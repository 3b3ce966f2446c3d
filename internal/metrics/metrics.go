// Package metrics holds the Prometheus metrics of an entry host. Labels have
// bounded cardinality: partners, targets, classes and error kinds, but never
// request ids.
package metrics

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/plantainrun/plantainrun/coord/outcome"
	"github.com/plantainrun/plantainrun/internal/apierror"
	"github.com/plantainrun/plantainrun/internal/rules"
)

const namespace = "plantainrun"

// secondsBuckets covers latencies from 10 ms to 10 minutes.
var secondsBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.2, 0.42, 0.8, 1.5, 3, 6, 12, 30, 60, 120, 300, 600}

// ratioBuckets covers slowdowns from 1 (none) to 100 times.
var ratioBuckets = []float64{1, 1.25, 1.5, 2, 3, 5, 8, 13, 25, 50, 100}

// Set holds the metrics of one entry host. It is safe for concurrent use.
type Set struct {
	registry         *prometheus.Registry
	errors           *prometheus.CounterVec
	timeToFirstToken *prometheus.HistogramVec
	duration         *prometheus.HistogramVec
	slowdown         *prometheus.HistogramVec
	attempts         *prometheus.CounterVec
	tokens           *prometheus.CounterVec
	inProgress       *prometheus.GaugeVec
}

// New returns a Set with a registry of its own.
func New() *Set {
	s := &Set{
		registry:         prometheus.NewRegistry(),
		errors:           counter("errors_total", "Answers to callers that were errors.", "kind"),
		timeToFirstToken: histogram("first_token_seconds", "Time from arrival to the first token.", secondsBuckets, "class", "partner"),
		duration:         histogram("request_seconds", "Time from arrival to the end of an answer.", secondsBuckets, "class", "partner"),
		slowdown:         histogram("slowdown_ratio", "Time to first token over the time on an idle target.", ratioBuckets, "class", "partner"),
		attempts:         counter("attempts_total", "Attempts at targets.", "target", "outcome"),
		tokens:           counter("tokens_total", "Tokens of prompts and answers.", "partner", "direction"),
		inProgress:       gauge("requests_in_progress", "Requests in progress.", "interface"),
	}
	s.registry.MustRegister(
		s.errors, s.timeToFirstToken, s.duration, s.slowdown, s.attempts, s.tokens, s.inProgress,
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return s
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func gauge(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func histogram(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets}, labels)
}

// Handler serves the metrics in the Prometheus text format.
func (s *Set) Handler() http.Handler {
	return promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{})
}

// RegisterGaugeFunc registers a gauge whose value is read at each scrape.
func (s *Set) RegisterGaugeFunc(name, help string, read func() float64) {
	opts := prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}
	s.registry.MustRegister(prometheus.NewGaugeFunc(opts, read))
}

// RegisterCounterFunc registers a counter whose value is read at each scrape.
func (s *Set) RegisterCounterFunc(name, help string, read func() float64) {
	opts := prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}
	s.registry.MustRegister(prometheus.NewCounterFunc(opts, read))
}

// RecordError counts an error response of the given kind.
func (s *Set) RecordError(kind apierror.Kind) {
	s.errors.WithLabelValues(string(kind)).Inc()
}

// RecordTimeToFirstToken records the time from arrival to the first token.
func (s *Set) RecordTimeToFirstToken(class rules.Class, partner string, elapsed time.Duration) {
	s.timeToFirstToken.WithLabelValues(string(class), partner).Observe(elapsed.Seconds())
}

// RecordDuration records the time from arrival to the end of the response.
func (s *Set) RecordDuration(class rules.Class, partner string, elapsed time.Duration) {
	s.duration.WithLabelValues(string(class), partner).Observe(elapsed.Seconds())
}

// RecordSlowdown records the ratio of the time to first token to that of an idle
// target.
func (s *Set) RecordSlowdown(class rules.Class, partner string, ratio float64) {
	s.slowdown.WithLabelValues(string(class), partner).Observe(ratio)
}

// RecordAttempt counts an attempt at a target by its outcome.
func (s *Set) RecordAttempt(target string, result outcome.Outcome) {
	s.attempts.WithLabelValues(target, result.String()).Inc()
}

// RecordTokens adds the prompt and output tokens of a completed request.
func (s *Set) RecordTokens(partner string, prompt, output int) {
	s.tokens.WithLabelValues(partner, "prompt").Add(float64(prompt))
	s.tokens.WithLabelValues(partner, "output").Add(float64(output))
}

// TrackRequest counts a request as in progress until the returned function is called.
func (s *Set) TrackRequest(iface string) func() {
	inProgress := s.inProgress.WithLabelValues(iface)
	inProgress.Inc()
	return inProgress.Dec
}
