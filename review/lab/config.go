package main

// Names of the configuration.
const (
	publicHost   = "ficu95.example"
	chatPath     = "/chat/"
	reviewPath   = "/review/"
	bookPath     = "/book/"
	modelService = "advisor-llm"
	bookService  = "enrol-api"
	keyOne       = "n2ctnfzs989anu6wsjnb"
	keyTwo       = "q7xkd02mfh4l8zpwtrye"
	tenantOne    = "hule930"
	tenantTwo    = "mira114"
)

// Sizes and times of the site kban-enrol.
const (
	modelSlots    = 16
	bookSlots     = 6
	chatTimeoutMS = 10_000
	longTimeoutMS = 10_000
	bookTimeoutMS = 4_000
)

type fields = map[string]any

func route(name, prefix, kind, service string, timeout, aim, gap int) fields {
	return fields{
		"name": name, "host": publicHost, "path_prefix": prefix, "kind": kind, "service": service, "max_attempts": 2,
		"timeout_ms": timeout, "slo_ms": aim, "gap_aim_ms": gap, "priority": 1, "public": false, "resumable": false,
		"sticky": service == modelService,
	}
}

// bookingRoute returns a route whose requests run at most once.
func bookingRoute(name, prefix string) fields {
	return route(name, prefix, "non_idempotent", bookService, bookTimeoutMS, 300, 0)
}

// configuration returns the operator's configuration. keys holds the keys of tenantTwo.
func configuration(version int64, keys ...string) fields {
	if keys == nil {
		keys = []string{}
	}
	return fields{
		"version": version,
		"routes": []fields{
			route("course-query", chatPath, "streaming", modelService, chatTimeoutMS, 300, 250),
			route("file-review", reviewPath, "streaming", modelService, longTimeoutMS, 1_500, 600),
			bookingRoute("seat-book", bookPath),
		},
		"services": []fields{
			{"name": modelService, "max_conns": 354, "health_path": "/health", "engine": fields{
				"slots": modelSlots, "kv_capacity": 232_000, "step_ms": 1.02, "per_seq_ms": 0.00226, "context_per_k": 0.00431,
				"read_per_s": 206_000, "pairs_per_m": 0.138, "stride": 1, "chunk": 2048,
			}},
			{"name": bookService, "max_conns": 96, "health_path": "/health"},
		},
		"limits": fields{"header_bytes": 16_384, "max_body_bytes": 1 << 20, "header_timeout_ms": 5_000, "idle_timeout_ms": 30_000},
		"tenants": []fields{
			{"name": tenantOne, "api_keys": []string{keyOne}},
			{"name": tenantTwo, "api_keys": keys},
		},
	}
}
