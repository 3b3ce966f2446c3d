// Package outcome classifies what is known about the effect of one attempt at a
// target. Every attempt ends with exactly one Outcome. If the call is not idempotent,
// only an attempt with the outcome NotRun may be retried at another target.
package outcome

// Outcome is what is known about the effect of one attempt at a target.
type Outcome uint8

const (
	// Unknown means the call may or may not have run. It is the zero value so
	// that an unclassified attempt is never reported as not run.
	Unknown Outcome = iota
	// NotRun means no byte of the request can have reached the target, or the
	// target itself reported that it did not run the call.
	NotRun
	// Done means the target ran the call and returned a complete response.
	Done
	// Failed means the target ran the call and reported that the call failed.
	Failed
)

// String returns the name used in error bodies and metrics.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not_run"
	case Done:
		return "done"
	case Failed:
		return "failed"
	default:
		return "unknown"
	}
}

// RunState returns the state shown to callers: "not_run", "ran" or "unknown".
func (o Outcome) RunState() string {
	switch o {
	case NotRun:
		return "not_run"
	case Done, Failed:
		return "ran"
	default:
		return "unknown"
	}
}

// Retryable reports whether another attempt is allowed. A NotRun attempt may
// always be repeated; an Unknown one only when the call is idempotent.
func (o Outcome) Retryable(idempotent bool) bool {
	switch o {
	case NotRun:
		return true
	case Unknown:
		return idempotent
	default:
		return false
	}
}
