package relay_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/internal/relay"
)

// The users' bounds for hosts that reach no target.
const (
	// noticeTime is the time after the beginning or the end of a cut from which callers
	// must not notice it.
	noticeTime = 3 * time.Second
	// minCutServedRatio is the least ratio of the served shares of first attempts at hosts
	// that are cut off and at the others.
	minCutServedRatio = 2.0 / 3
	// soundTolerance is how much smaller the served share of the other hosts may be during
	// a cut than before it.
	soundTolerance = 0.02
)

// firstTry is one caller's request and its response.
type firstTry struct {
	host     *fleetHost
	request  relay.Request
	at       time.Time
	took     time.Duration // frozen included
	frozen   time.Duration // that the host was not awake when the request came
	response *recordedResponse
}

func (f *firstTry) served() bool {
	r := f.response
	if r.refusal != nil || r.aborted || r.status != http.StatusOK {
		return false
	}
	return !strings.HasPrefix(f.request.URI, "/chat/") || r.body.String() == events(1, streamEvents)
}

// servedShare returns the share of the requests that were served, of those for which
// counts returns true.
func servedShare(tries []*firstTry, counts func(*firstTry) bool) float64 {
	served, all := 0, 0
	for _, f := range tries {
		if !counts(f) {
			continue
		}
		all++
		if f.served() {
			served++
		}
	}
	if all == 0 {
		return 0
	}
	return float64(served) / float64(all)
}

// firstTries sends requests at random hosts for a while and returns them after all have
// ended.
func (f *fleet) firstTries(d time.Duration, perSecond float64, next func(i int) relay.Request) []*firstTry {
	var tries []*firstTry
	var group sync.WaitGroup
	end := time.Now().Add(d)
	for i := 0; time.Now().Before(end); i++ {
		hosts := f.all()
		try := &firstTry{host: hosts[f.random.IntN(len(hosts))], request: next(i), at: time.Now()}
		try.request.ID = fmt.Sprint("request-", i)
		tries = append(tries, try)
		group.Go(func() {
			try.frozen = try.host.frozenFor()
			try.response = try.host.serve(try.request)
			try.took = time.Since(try.at)
		})
		time.Sleep(time.Duration(f.random.ExpFloat64() / perSecond * float64(time.Second)))
	}
	group.Wait()
	return tries
}

// mixedRequest returns requests of all kinds in turn, no two of them alike.
func mixedRequest(i int) relay.Request {
	req := promptRequest(i)
	switch i % 4 {
	case 0:
		req = relay.Request{URI: "/order/1"}
	case 1:
		req = plainRequest(i)
	}
	req.Body = fmt.Append(nil, "request ", i)
	return req
}

// hostSelections choose the hosts that are cut off. The failure domain of a host is its
// number modulo three.
var hostSelections = map[string]func(i, hosts int) bool{
	"one":               func(i, _ int) bool { return i == 0 },
	"all_but_one":       func(i, _ int) bool { return i%3 == 0 && i > 0 },
	"domain":            func(i, _ int) bool { return i%3 == 0 },
	"two_domains_parts": func(i, hosts int) bool { return i%3 < 2 && i < (hosts+1)/2 },
}

type cutCase struct {
	hosts     int
	selection string
	fault     linkFault
	services  []string
}

func (c cutCase) String() string {
	return fmt.Sprintf("hosts=%d/cut=%s/links=%v/services=%s", c.hosts, c.selection, c.fault, strings.Join(c.services, "+"))
}

func cutCases() []cutCase {
	both := []string{"llm", "orders"}
	var cases []cutCase
	for _, hosts := range []int{7, 40} {
		for _, selection := range []string{"one", "all_but_one", "domain", "two_domains_parts"} {
			for _, fault := range []linkFault{linkReset, linkSilent, linkNoNewConn} {
				cases = append(cases, cutCase{hosts, selection, fault, both})
			}
		}
		for _, service := range both {
			for _, fault := range []linkFault{linkReset, linkSilent} {
				cases = append(cases, cutCase{hosts, "two_domains_parts", fault, []string{service}})
			}
		}
	}
	return append(cases,
		cutCase{300, "all_but_one", linkSilent, both},
		cutCase{300, "domain", linkReset, both},
		cutCase{300, "two_domains_parts", linkNoNewConn, both},
	)
}

func TestCallersOfHostsThatReachNoTargetAreServed(t *testing.T) {
	for _, c := range cutCases() {
		t.Run(c.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkCut(t, c) })
		})
	}
}

// checkCut cuts hosts off from targets while all hosts get requests of all kinds.
func checkCut(t *testing.T, c cutCase) {
	const (
		cutAfter = 4 * time.Second
		cutTime  = 8 * time.Second
		runTime  = 18 * time.Second
	)
	g := NewWithT(t)
	targets := newFleetTargets(40 * time.Millisecond)
	targets.eventInterval = 60 * time.Millisecond
	f := newFleet(c.hosts, newFakeSource(), targets)
	cut := make(map[*fleetHost]bool)
	for i, h := range f.all() {
		if hostSelections[c.selection](i, c.hosts) {
			cut[h] = true
		}
	}
	start := time.Now()
	time.AfterFunc(cutAfter, func() { f.setLinks(cut, c.fault, c.services...) })
	time.AfterFunc(cutAfter+cutTime, func() { f.setLinks(cut, linkUp, c.services...) })
	tries := f.firstTries(runTime, 30*float64(min(c.hosts, 10)), mixedRequest)

	during := func(from, to time.Duration) func(*firstTry) bool {
		return func(f *firstTry) bool { return !f.at.Before(start.Add(from)) && f.at.Before(start.Add(to)) }
	}
	noticed := during(cutAfter+noticeTime, cutAfter+cutTime-noticeTime)
	atCut := servedShare(tries, func(f *firstTry) bool { return cut[f.host] && noticed(f) })
	elsewhere := servedShare(tries, func(f *firstTry) bool { return !cut[f.host] && noticed(f) })
	before := servedShare(tries, during(0, cutAfter-noticeTime))
	g.Expect(atCut).To(BeNumerically(">=", minCutServedRatio*elsewhere), "served at hosts that are cut off")
	g.Expect(elsewhere).To(BeNumerically(">=", before-soundTolerance), "served at the others")

	expectNothingRunsTwice(g, tries, targets)
	after := during(cutAfter+cutTime+noticeTime, runTime)
	g.Expect(servedShare(tries, func(f *firstTry) bool { return cut[f.host] && after(f) })).To(BeNumerically(">=", before-soundTolerance), "served after the cut")
	g.Expect(targets.sentByOthers(tries, func(f *firstTry) bool { return cut[f.host] && after(f) })).To(BeNumerically("<=", soundTolerance), "sent by other hosts after the cut")
}

// setLinks sets the fault of the hosts' links to the targets of services.
func (f *fleet) setLinks(hosts map[*fleetHost]bool, fault linkFault, services ...string) {
	for h := range hosts {
		h.links.set(fault, services...)
	}
}

// expectNothingRunsTwice checks that requests that must not be repeated reach targets
// once at most, and not at all if the response says so.
func expectNothingRunsTwice(g *WithT, tries []*firstTry, targets *fleetTargets) {
	arrivals := make(map[string]int)
	for _, a := range targets.arrivals {
		arrivals[a.request.ID]++
	}
	for _, f := range tries {
		if strings.HasPrefix(f.request.URI, "/order/") {
			g.Expect(arrivals[f.request.ID]).To(BeNumerically("<=", 1), f.request.ID)
		}
		if r := f.response.refusal; r != nil && r.Status == http.StatusServiceUnavailable {
			g.Expect(arrivals[f.request.ID]).To(BeZero(), "%s was refused as not run: %s", f.request.ID, r.Reason)
		}
	}
}

// sentByOthers returns the share of requests that other hosts than the one that got them
// sent to a target, of those for which counts returns true.
func (t *fleetTargets) sentByOthers(tries []*firstTry, counts func(*firstTry) bool) float64 {
	counted := make(map[string]string)
	for _, f := range tries {
		if counts(f) {
			counted[f.request.ID] = f.host.id
		}
	}
	others := 0
	for _, a := range t.arrivals {
		if host, ok := counted[a.request.ID]; ok && host != a.host {
			others++
		}
	}
	return float64(others) / float64(max(len(counted), 1))
}
