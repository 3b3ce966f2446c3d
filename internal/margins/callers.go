package margins

import (
	"time"

	"github.com/plantainrun/plantainrun/internal/losses"
)

// maxReturnDelay is the longest time after its first try at which the request of a refused caller
// counts as a return.
const maxReturnDelay = 15 * time.Second

// Caller is a request as its caller sees it, its first try and the returns after refusals.
type Caller struct {
	losses.Request     // the first try, but for its fate
	Tries          int // 1 if the caller did not come back
}

// Callers returns the callers of requests, which are in the order of their start. Requests that
// the configuration does not allow, and unfinished ones, are left out.
func Callers(requests []losses.Request) []Caller {
	var callers []Caller
	waiting := make(map[string][]int) // refused callers by key, in the order of their refusals
	for i := range requests {
		r := &requests[i]
		if r.Fate == losses.Denied || r.Fate == losses.Unfinished {
			continue
		}
		index, returned := takeRefused(waiting, callers, r)
		if !returned {
			index = len(callers)
			callers = append(callers, Caller{Request: *r})
		}
		c := &callers[index]
		c.Tries++
		c.Fate, c.Cause = r.Fate, r.Cause
		if r.Fate == losses.Refused && r.CallerKey != "" {
			waiting[r.CallerKey] = append(waiting[r.CallerKey], index)
		}
	}
	return callers
}

// takeRefused returns the index of the refused caller whose return a request is, if it is one.
func takeRefused(waiting map[string][]int, callers []Caller, r *losses.Request) (int, bool) {
	refused := waiting[r.CallerKey]
	for len(refused) > 0 {
		index := refused[0]
		refused = refused[1:]
		waiting[r.CallerKey] = refused
		if r.Start.Sub(callers[index].Start) <= maxReturnDelay {
			return index, true
		}
	}
	return 0, false
}
