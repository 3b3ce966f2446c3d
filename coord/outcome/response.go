package outcome

import "net/http"

// PromisesNotRun reports whether an HTTP status tells a caller that its request was not
// run and never will be. A response to a caller may have such a status only if that is
// known.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// OfResponse returns the outcome of an attempt that got a complete response with an HTTP
// status. statesNotRun is set if the target states, besides the status, that it did not
// run the call. Without that statement a status that promises as much proves nothing: the
// target may have run the call and failed later. Nor does the statement prove anything
// where the status contradicts it.
func OfResponse(status int, statesNotRun bool) Outcome {
	switch {
	case statesNotRun && status < http.StatusBadRequest:
		return Unknown
	case statesNotRun:
		return NotRun
	case PromisesNotRun(status):
		return Unknown
	case status >= http.StatusInternalServerError:
		return Failed
	default:
		return Done
	}
}
