package server

import "github.com/plantainrun/plantainrun/internal/confservice"

// registerCounters registers the metrics that are read from other components at each
// scrape.
func (s *Server) registerCounters(client *confservice.Client) {
	m := s.metrics
	m.RegisterCounterFunc("control_bytes_out_total", "Bytes sent to peers for other purposes than forwarded requests.",
		func() float64 { return float64(s.mesh.Stats().ControlBytesOut()) })
	m.RegisterCounterFunc("control_bytes_in_total", "Bytes received from peers for other purposes than forwarded requests.",
		func() float64 { return float64(s.mesh.Stats().ControlBytesIn()) })
	m.RegisterCounterFunc("platform_calls_total", "Reads and watches sent to the configuration service.",
		func() float64 { return float64(client.Stats().Reads + client.Stats().Watches) })
	m.RegisterCounterFunc("platform_older_total", "Answers of the configuration service that were older than what is in force.",
		func() float64 { return float64(client.Stats().StaleReads) })
	m.RegisterCounterFunc("tickets_issued_total", "Tickets issued.", func() float64 { return float64(s.owner.Stats().Issued) })
	m.RegisterCounterFunc("tickets_unknown_total", "Calls recorded as unknown.", func() float64 { return float64(s.owner.Stats().Unknown) })
	m.RegisterCounterFunc("engine_resumes_total", "Streams that went on over a new connection.", func() float64 { return float64(s.engines.Stats().Resumes) })
	m.RegisterCounterFunc("engine_silent_total", "Connections to engines given up for want of progress.", func() float64 { return float64(s.engines.Stats().StalledConnections) })
	m.RegisterCounterFunc("sweep_released_total", "Streams and blocks of engine memory that the sweep released.",
		func() float64 { return float64(s.sweeper.Stats().Expired + s.sweeper.Stats().Orphans) })
	m.RegisterCounterFunc("pauses_total", "Pauses of this process.", func() float64 { return float64(s.pauses.Stats().Pauses) })
	m.RegisterGaugeFunc("ledger_entries", "Tickets that this host remembers.", func() float64 { return float64(s.owner.Stats().Ledger.Entries) })
}
