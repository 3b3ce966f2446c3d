package server

import "github.com/plantainrun/plantainrun/internal/confservice"

// registerCounters publishes the counters that other parts keep.
func (s *Server) registerCounters(client *confservice.Client) {
	m := s.metrics
	m.Counter("control_bytes_out_total", "Bytes sent to peers for other purposes than forwarded requests.",
		func() float64 { return float64(s.mesh.Stats().ControlBytesOut()) })
	m.Counter("control_bytes_in_total", "Bytes received from peers for other purposes than forwarded requests.",
		func() float64 { return float64(s.mesh.Stats().ControlBytesIn()) })
	m.Counter("platform_calls_total", "Reads and watches sent to the configuration service.",
		func() float64 { return float64(client.Stats().Reads + client.Stats().Watches) })
	m.Counter("platform_older_total", "Answers of the configuration service that were older than what is in force.",
		func() float64 { return float64(client.Stats().StaleResponses) })
	m.Counter("tickets_issued_total", "Tickets issued.", func() float64 { return float64(s.owner.Stats().Issued) })
	m.Counter("tickets_unknown_total", "Calls recorded as unknown.", func() float64 { return float64(s.owner.Stats().Unknown) })
	m.Counter("engine_resumes_total", "Streams that went on over a new connection.", func() float64 { return float64(s.engines.Stats().Resumes) })
	m.Counter("engine_silent_total", "Connections to engines given up for want of progress.", func() float64 { return float64(s.engines.Stats().StalledConnections) })
	m.Counter("sweep_released_total", "Streams and blocks of engine memory that the sweep released.",
		func() float64 { return float64(s.sweeper.Stats().Expired + s.sweeper.Stats().Orphans) })
	m.Counter("pauses_total", "Pauses of this process.", func() float64 { return float64(s.pauses.Stats().Pauses) })
	m.Gauge("ledger_entries", "Tickets that this host remembers.", func() float64 { return float64(s.owner.Stats().Ledger.Entries) })
}
