package edge

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/plantainrun/plantainrun/internal/follow"
	"github.com/plantainrun/plantainrun/internal/httpserver"
	"github.com/plantainrun/plantainrun/internal/membudget"
	"github.com/plantainrun/plantainrun/internal/placement"
	"github.com/plantainrun/plantainrun/internal/relay"
)

const namespace = "plantainrun_edge"

// latencyBuckets are the upper bounds, in seconds, from 10 ms to one minute.
var latencyBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.15, 0.3, 0.6, 1, 1.5, 2.5, 5, 10, 20, 60}

// metrics holds the Prometheus metrics of one host. Label values are services,
// outcomes and reasons, never request ids, so that the configuration bounds the
// number of series. It implements relay.Observer and is safe for concurrent use.
type metrics struct {
	registry   *prometheus.Registry
	refusals   *prometheus.CounterVec
	attempts   *prometheus.CounterVec
	retries    *prometheus.CounterVec
	forwards   *prometheus.CounterVec
	freeAfter  *prometheus.HistogramVec
	firstEvent prometheus.Histogram
	duration   prometheus.Histogram
	backlog    prometheus.Histogram
	active     prometheus.Gauge
}

func newMetrics(f *follow.Follower, placer *placement.Placer) *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "refusals_total", Help: "Requests answered by the host itself.",
		}, []string{"reason"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "attempts_total", Help: "Attempts at targets.",
		}, []string{"service", "outcome"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "retries_total", Help: "Retries that the retry budget allowed or refused.",
		}, []string{"service", "result"}),
		forwards: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "forwarded_requests_total", Help: "Requests passed to other hosts.",
		}, []string{"outcome"}),
		freeAfter: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "reservation_free_after_seconds", Help: "Time from the end of an attempt until the engine memory reserved for it was free at the latest.", Buckets: latencyBuckets,
		}, []string{"result"}),
		firstEvent: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: "first_event_seconds", Help: "Time from arrival to a stream's first event.", Buckets: latencyBuckets,
		}),
		duration: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: "request_seconds", Help: "Time from arrival to the final answer.", Buckets: latencyBuckets,
		}),
		backlog: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: "refused_backlog_seconds", Help: "Backlog of the engines for which long prompts are refused.", Buckets: latencyBuckets,
		}),
		active: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: namespace, Name: "requests_in_progress", Help: "Requests in progress.",
		}),
	}
	m.registry.MustRegister(m.refusals, m.attempts, m.retries, m.forwards, m.freeAfter, m.firstEvent, m.duration, m.backlog, m.active, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m.registerGauge("view_age_seconds", "Time since the view of the store was confirmed.", func() float64 { return f.Age().Seconds() })
	m.registerGauge("store_calls", "Calls to the store.", func() float64 { calls, _ := f.Stats(); return float64(calls) })
	m.registerGauge("store_failures", "Calls to the store without a usable answer.", func() float64 { _, failures := f.Stats(); return float64(failures) })
	m.registerGauge("store_era", "Era of the store; it rises when the store comes back from a copy. 0 if it names none.", func() float64 { return float64(f.Era()) })
	m.registerGauge("evacuated_domains", "Failure domains whose targets get no new requests.", func() float64 { return float64(f.EvacuatedDomains()) })
	m.registerGauge("rate_limited_targets", "Targets that name a rate limit.", func() float64 { return float64(len(placer.RateLimits())) })
	m.registerGauge("cold_targets", "Targets whose requests are limited since they are cold.", func() float64 { return float64(placer.ColdTargets()) })
	m.registerGauge("unreachable_services", "Services none of whose targets this host reaches.", func() float64 { return float64(placer.UnreachableServices()) })
	return m
}

// observeQuarantine adds the number of quarantined parts of prompts.
func (m *metrics) observeQuarantine(r *relay.Relay) {
	m.registerGauge("quarantined_prompt_parts", "Parts of prompts that are kept from engines.", func() float64 { return float64(len(r.QuarantinedParts())) })
}

// observeMemory adds the memory that is held for others, by kind.
func (m *metrics) observeMemory(memory *membudget.Budget) {
	m.registerGauge("held_limit_bytes", "Limit of the memory that is held for others; 0 for none.", func() float64 { return float64(memory.Usage().Limit) })
	for _, kind := range membudget.Kinds() {
		labels := prometheus.Labels{"kind": kind.String()}
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Name: "held_bytes", Help: "Memory that is held for others.", ConstLabels: labels,
		}, func() float64 { return float64(memory.Usage().ByKind[kind]) }))
		m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: namespace, Name: "held_refused_total", Help: "Parts that were refused because the memory for others was used up.", ConstLabels: labels,
		}, func() float64 { return float64(memory.Usage().Refused[kind]) }))
	}
}

// observeConnections adds the connections of callers that were closed for the limit on them.
func (m *metrics) observeConnections(callers *httpserver.Server) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: namespace, Name: "connections_refused_total", Help: "Callers' connections that were closed unread, beyond the limit.",
	}, func() float64 { return float64(callers.ConnsRefused()) }))
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: namespace, Name: "connections_evicted_total", Help: "Callers' connections that were closed for new ones, since they waited for their callers.",
	}, func() float64 { return float64(callers.ConnsEvicted()) }))
}

func (m *metrics) registerGauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, read))
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Refused counts a request that the host refuses itself, by reason.
func (m *metrics) Refused(reason relay.Reason) { m.refusals.WithLabelValues(string(reason)).Inc() }

// AttemptEnded counts a finished attempt at a target, by service and outcome.
func (m *metrics) AttemptEnded(service, outcome string) {
	m.attempts.WithLabelValues(service, outcome).Inc()
}

// ReservationEnded records when the engine memory of an attempt was free, by whether it was
// released.
func (m *metrics) ReservationEnded(released bool, freeAfter time.Duration) {
	result := "expired"
	if released {
		result = "released"
	}
	m.freeAfter.WithLabelValues(result).Observe(freeAfter.Seconds())
}

// RetryDecided counts a retry that the retry budget allowed or refused, by service.
func (m *metrics) RetryDecided(service string, allowed bool) {
	result := "refused"
	if allowed {
		result = "allowed"
	}
	m.retries.WithLabelValues(service, result).Inc()
}

// observeRetryBudget adds the host's share of the burst.
func (m *metrics) observeRetryBudget(b *retryBudget) {
	m.registerGauge("retry_burst_share", "Retries to a service that this host may make without first attempts.", func() float64 {
		share, _ := b.share()
		return share * b.burst
	})
}

// Forwarded counts a request passed to another host, by outcome.
func (m *metrics) Forwarded(outcome string) { m.forwards.WithLabelValues(outcome).Inc() }

// FirstEvent records the time from arrival to a stream's first event.
func (m *metrics) FirstEvent(_ string, took time.Duration) { m.firstEvent.Observe(took.Seconds()) }

// Backlogged records the backlog for which a long prompt is refused.
func (m *metrics) Backlogged(backlog time.Duration) { m.backlog.Observe(backlog.Seconds()) }

// Finished records the time from arrival to the final response.
func (m *metrics) Finished(_ string, took time.Duration) { m.duration.Observe(took.Seconds()) }

// AddActive changes the number of requests in progress by delta.
func (m *metrics) AddActive(delta int) { m.active.Add(float64(delta)) }
