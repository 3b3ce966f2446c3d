package main

// config returns the operator's configuration.
func config(version int) map[string]any {
	engine := map[string]any{
		"slots": 16, "kv_capacity": 232000, "stride": 43, "step_ms": 1.02, "per_seq_ms": 0.00226, "context_per_k": 0.00431,
		"read_per_s": 206000.0, "pairs_per_m": 0.138, "chunk": 2048, "report_lag_ms": 200.0, "hop_ms": 0.075,
	}
	route := func(name, prefix, kind, service string, resumable bool, timeoutMS, sloMS int) map[string]any {
		return map[string]any{
			"name": name, "host": "ficu95.example", "path_prefix": prefix, "kind": kind, "timeout_ms": timeoutMS, "slo_ms": sloMS,
			"priority": 1, "service": service, "max_attempts": 2, "public": false, "resumable": resumable, "gap_aim_ms": 1000,
		}
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("r-app", "/", "non_idempotent", "wuno96b", false, 2000, 300),
			route("r-get", "/cufi504/", "idempotent", "wuno96b", false, 2000, 300),
			route("r-llm", "/lohu930/", "streaming", "huvo11a", true, 15000, 2500),
		},
		"services": []any{
			map[string]any{"name": "huvo11a", "health_path": "/health", "max_conns": 354, "engine": engine},
			map[string]any{"name": "wuno96b", "health_path": "/health", "max_conns": 96},
		},
		"limits": map[string]any{"header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{
			map[string]any{"name": "hule930", "api_keys": []string{apiKey}, "priority": 1},
			map[string]any{"name": "daro411", "api_keys": []string{otherKey}, "priority": 1},
		},
	}
}
