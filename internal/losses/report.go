package losses

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

// Report is what became of a set of requests.
type Report struct {
	Total          Group   `json:"total"`
	ByRoute        []Group `json:"by_route"`
	BySize         []Group `json:"by_size"` // of the prompts of each route
	ByOrganisation []Group `json:"by_organisation"`
	ByDomain       []Group `json:"by_domain"`
	BySecond       []Group `json:"by_second"` // since the first request
}

// Group holds the counts of some of the requests. They add up to Requests.
type Group struct {
	Name     string  `json:"name"`
	Requests int     `json:"requests"`
	Fates    []Count `json:"fates"`  // those that occur, in the order of their constants
	Causes   []Count `json:"causes"` // of the losses, most frequent first
}

// Count is a number of requests with something in common.
type Count struct {
	Name     string `json:"name"`
	Requests int    `json:"requests"`
}

// NewReport counts requests, which are in the order of their start.
func NewReport(requests []Request) Report {
	report := Report{Total: newGroup("all", requests)}
	report.ByRoute = groupBy(requests, func(r *Request) string { return named(r.Route) })
	report.ByOrganisation = groupBy(requests, func(r *Request) string { return named(r.Organisation) })
	report.ByDomain = groupBy(requests, func(r *Request) string { return named(r.Domain) })
	report.BySize = bySize(requests)
	report.BySecond = bySecond(requests)
	return report
}

func named(s string) string { return cmp.Or(s, "unknown") }

func newGroup(name string, requests []Request) Group {
	var fates [fateCount]int
	causes := make(map[Cause]int)
	for i := range requests {
		fates[requests[i].Fate]++
		if requests[i].Fate.Loss() {
			causes[requests[i].Cause]++
		}
	}
	g := Group{Name: name, Requests: len(requests)}
	for f, n := range fates {
		if n > 0 {
			g.Fates = append(g.Fates, Count{Fate(f).String(), n})
		}
	}
	for cause, n := range causes {
		g.Causes = append(g.Causes, Count{string(cause), n})
	}
	slices.SortFunc(g.Causes, byCount)
	return g
}

// groupBy returns the groups of requests with the same key, sorted by it.
func groupBy(requests []Request, key func(*Request) string) []Group {
	members := make(map[string][]Request)
	for i := range requests {
		k := key(&requests[i])
		members[k] = append(members[k], requests[i])
	}
	var out []Group
	for _, name := range slices.Sorted(maps.Keys(members)) {
		out = append(out, newGroup(name, members[name]))
	}
	return out
}

// bySize groups the prompts of each route: the largest tenth, the fifth below it, the rest.
func bySize(requests []Request) []Group {
	byRoute := make(map[string][]Request)
	for i := range requests {
		if requests[i].PromptTokens > 0 {
			byRoute[requests[i].Route] = append(byRoute[requests[i].Route], requests[i])
		}
	}
	var out []Group
	for _, route := range slices.Sorted(maps.Keys(byRoute)) {
		prompts := byRoute[route]
		slices.SortStableFunc(prompts, func(a, b Request) int { return cmp.Compare(b.PromptTokens, a.PromptTokens) })
		tenth, third := len(prompts)/10, 3*len(prompts)/10
		out = append(out, newGroup(named(route)+", largest tenth", prompts[:tenth]),
			newGroup(named(route)+", fifth below", prompts[tenth:third]), newGroup(named(route)+", rest", prompts[third:]))
	}
	return out
}

func bySecond(requests []Request) []Group {
	var out []Group
	for start := 0; start < len(requests); {
		second := int(requests[start].Start.Sub(requests[0].Start) / time.Second)
		end := start
		for end < len(requests) && int(requests[end].Start.Sub(requests[0].Start)/time.Second) == second {
			end++
		}
		out = append(out, newGroup(fmt.Sprint(second), requests[start:end]))
		start = end
	}
	return out
}

// WriteJSON writes a report as JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// maxCausesShown is the number of causes in a row of the text.
const maxCausesShown = 3

// WriteText writes a report as tables.
func (r *Report) WriteText(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tw, "CAUSE\tREQUESTS\tSHARE OF LOSSES")
	losses := 0
	for _, c := range r.Total.Causes {
		losses += c.Requests
	}
	for _, c := range r.Total.Causes {
		fmt.Fprintf(tw, "%s\t%d\t%.3f\n", c.Name, c.Requests, float64(c.Requests)/float64(losses))
	}
	r.writeGroups(tw, "", []Group{r.Total})
	r.writeGroups(tw, "ROUTE", r.ByRoute)
	r.writeGroups(tw, "SIZE", r.BySize)
	r.writeGroups(tw, "ORGANISATION", r.ByOrganisation)
	r.writeGroups(tw, "DOMAIN", r.ByDomain)
	r.writeGroups(tw, "SECOND", r.BySecond)
	return tw.Flush()
}

func (r *Report) writeGroups(w io.Writer, title string, groups []Group) {
	fmt.Fprintf(w, "\n%s\tREQUESTS", title)
	for f := range fateCount {
		fmt.Fprintf(w, "\t%s", f)
	}
	fmt.Fprintln(w, "\tcauses")
	for i := range groups {
		groups[i].write(w)
	}
}

func (g *Group) write(w io.Writer) {
	fmt.Fprintf(w, "%s\t%d", g.Name, g.Requests)
	for f := range fateCount {
		fmt.Fprintf(w, "\t%d", g.count(f))
	}
	fmt.Fprint(w, "\t")
	for _, c := range g.Causes[:min(len(g.Causes), maxCausesShown)] {
		fmt.Fprintf(w, "%s %d ", c.Name, c.Requests)
	}
	fmt.Fprintln(w)
}

func (g *Group) count(f Fate) int {
	i := slices.IndexFunc(g.Fates, func(c Count) bool { return c.Name == f.String() })
	if i < 0 {
		return 0
	}
	return g.Fates[i].Requests
}
