package catalog

import "math"

// importanceFactor is how much more a late request counts than one of the next lower
// priority.
const importanceFactor = 2

// Precedence tells how requests that compete for the same targets relate to each other. The
// zero value is that of requests without differences.
type Precedence struct {
	// Rank is 0 for the most urgent requests, 1 for the next, and so on.
	Rank int
	// Importance multiplies the cost of being late, relative to the least urgent requests; 0
	// counts as 1.
	Importance float64
}

// priorityRange holds the most and the least urgent priority of a set.
type priorityRange struct{ first, last int }

// include extends the range. The range is that of no priority if empty is set.
func (r *priorityRange) include(priority int, empty bool) {
	if empty {
		r.first, r.last = priority, priority
		return
	}
	r.first, r.last = min(r.first, priority), max(r.last, priority)
}

func (r *priorityRange) uniform() bool { return r.first == r.last }

func (r *priorityRange) precedence(priority int) Precedence {
	if r.uniform() {
		return Precedence{}
	}
	return Precedence{Rank: priority - r.first, Importance: math.Pow(importanceFactor, float64(r.last-priority))}
}

// streamPriorities returns the priorities of the streaming routes of each service.
func streamPriorities(routes []Route) map[string]*priorityRange {
	out := make(map[string]*priorityRange)
	for i := range routes {
		if routes[i].Kind != Streaming {
			continue
		}
		for _, b := range routes[i].Backends {
			r, known := out[b.Service]
			if !known {
				r = &priorityRange{}
				out[b.Service] = r
			}
			r.include(routes[i].Priority, !known)
		}
	}
	return out
}

// organisationPriorities returns the priorities of all organisations.
func organisationPriorities(holders []KeyHolder) priorityRange {
	var out priorityRange
	for i := range holders {
		out.include(holders[i].Priority, i == 0)
	}
	return out
}

// Precedence returns the precedence of a streaming request to a service. The priorities of
// organisations take precedence over those of routes, where they differ.
func (c *Config) Precedence(service string, route *Route, org *Organisation) Precedence {
	if org != nil && !c.orgPriorities.uniform() {
		return c.orgPriorities.precedence(org.Priority)
	}
	if r := c.streamPriorities[service]; r != nil && route.Kind == Streaming {
		return r.precedence(route.Priority)
	}
	return Precedence{}
}
