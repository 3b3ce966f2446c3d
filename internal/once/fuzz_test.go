package once_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"github.com/zeromicro/go-zero/core/logx"
	"pgregory.net/rapid"

	"github.com/plantainrun/plantainrun/coord/outcome"
	"github.com/plantainrun/plantainrun/internal/apierror"
	"github.com/plantainrun/plantainrun/internal/once"
	standin "github.com/plantainrun/plantainrun/internal/standin/service"
)

func init() { _ = flag.Set("rapid.seed", "1") }

func TestMain(m *testing.M) {
	logx.Disable()
	m.Run()
}

// caller has one order to place, and holds the ticket for it.
type caller struct {
	mu           sync.Mutex
	body         []byte
	ticket       string
	outcomeKnown bool // it was told how its order ended
}

// oracle holds what callers were told, against the services' own counts.
type oracle struct {
	mu           sync.Mutex
	w            *cluster
	g            gomega.Gomega
	notRunBodies map[string][]byte // body by ticket: told as not run, so it must never run
	tickets      map[string]bool
	unknown      int
}

// checkResult takes in what a caller was told about a call.
func (o *oracle) checkResult(call once.Call, t callResult) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if call.Ticket == "" {
		o.g.Expect(t.outcome).To(gomega.Equal(outcome.NotRun))
		return
	}
	o.tickets[call.Ticket] = true
	switch t.outcome {
	case outcome.NotRun:
		o.g.Expect(o.w.bodyRunCount(call.Ticket, call.Body)).To(gomega.BeZero(), "told not_run (%s), and it ran", t.kind)
		o.notRunBodies[call.Ticket+string(call.Body)] = call.Body
	case outcome.Unknown:
		o.unknown++
	default:
		o.g.Expect(o.w.bodyRunCount(call.Ticket, call.Body)).To(gomega.Equal(1))
		o.checkResponse(call, t)
	}
}

// checkResponse checks that the answer is whole and belongs to the call.
func (o *oracle) checkResponse(call once.Call, t callResult) {
	if t.kind != "" || t.outcome == outcome.Failed {
		return
	}
	if len(t.body) == standin.LongBodyBytes {
		return
	}
	var receipt standin.Receipt
	o.g.Expect(json.Unmarshal(t.body, &receipt)).To(gomega.Succeed(), "answer %q", t.body)
	o.g.Expect(receipt.Echo).To(gomega.Equal(call.Body), "an answer to another request")
}

// checkAll compares everything that was told with the counts at the end.
func (o *oracle) checkAll() {
	for ticket := range o.tickets {
		o.g.Expect(o.w.runCount(ticket)).To(gomega.BeNumerically("<=", 1), "a ticket ran twice")
	}
	for key, body := range o.notRunBodies {
		ticket := key[:len(key)-len(body)]
		o.g.Expect(o.w.bodyRunCount(ticket, body)).To(gomega.BeZero(), "told not_run, and it ran later")
	}
}

// sendOrder sends the caller's order once, and keeps a fresh ticket if one is given.
func (c *caller) sendOrder(o *oracle, h *host, variant string) {
	c.mu.Lock()
	call := once.Call{ID: "r", Service: "enrolment", Method: "POST", Path: "/deposits", Ticket: c.ticket, Body: c.body}
	c.mu.Unlock()
	switch {
	case variant == "altered" && len(call.Ticket) > 8:
		call.Ticket = call.Ticket[:len(call.Ticket)-8] + "AAAAAAAA"
	case variant == "forged" && len(call.Ticket) > 8:
		call.Ticket = call.Ticket[:8] + "not-a-ticket"
	case variant == "other body":
		call.Body = append([]byte("other "), call.Body...)
	}
	t, ok := o.w.send(h, call, callLimit)
	if !ok {
		return
	}
	o.checkResult(call, t)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomeKnown = c.outcomeKnown || variant == "" && t.ran()
	if t.ticket != "" && variant == "" && (c.ticket == call.Ticket) {
		c.ticket = t.ticket
	}
}

// step is one drawn action.
type step struct {
	action        string
	caller, host  int
	variant       string
	target, times int
	fault         standin.Fault
	link          linkFault
	after         time.Duration // before the next step
}

// actionMix is what steps are drawn from.
type actionMix struct {
	actions []string
	faults  []standin.Fault
	links   []linkFault
}

var (
	variants    = []string{"", "", "", "", "", "altered", "forged", "other body"}
	sendActions = []string{"send", "send", "send", "send", "twice", "wait"}
	allLinks    = []linkFault{linkCutBefore, linkCutAfter, linkSlow}

	allFaults = []standin.Fault{
		standin.FaultNone, standin.FaultRefuse, standin.FaultDrop, standin.FaultLate, standin.FaultCrossed, standin.FaultCut,
		standin.FaultSilent, standin.FaultFailed, standin.FaultLeave, standin.FaultSlowRun, standin.FaultUnframed, standin.FaultLong,
	}
)

// mixOf returns a mix of sends and the given actions.
func mixOf(actions ...string) actionMix {
	return actionMix{actions: append(append([]string{}, sendActions...), actions...), faults: allFaults, links: allLinks}
}

func drawSteps(t *rapid.T, m actionMix, callers, hosts, targets int) []step {
	steps := make([]step, rapid.IntRange(1, 30).Draw(t, "steps"))
	for i := range steps {
		steps[i] = step{
			action:  rapid.SampledFrom(m.actions).Draw(t, "action"),
			caller:  rapid.IntRange(0, callers-1).Draw(t, "caller"),
			host:    rapid.IntRange(0, hosts-1).Draw(t, "host"),
			variant: rapid.SampledFrom(variants).Draw(t, "variant"),
			target:  rapid.IntRange(0, targets-1).Draw(t, "target"),
			times:   rapid.IntRange(1, 2).Draw(t, "times"),
			fault:   rapid.SampledFrom(m.faults).Draw(t, "fault"),
			link:    rapid.SampledFrom(m.links).Draw(t, "link"),
			after:   time.Duration(rapid.SampledFrom([]int{0, 0, 0, 1, 100, 2000, 12_000}).Draw(t, "after")) * time.Millisecond,
		}
	}
	return steps
}

// run takes one step in the background.
func (s step) run(o *oracle, callers []*caller) {
	w := o.w
	h := w.currentHosts()[s.host]
	switch s.action {
	case "send":
		w.running.Go(func() { callers[s.caller].sendOrder(o, h, s.variant) })
	case "twice":
		other := w.currentHosts()[(s.host+1)%len(w.currentHosts())]
		w.running.Go(func() { callers[s.caller].sendOrder(o, h, "") })
		w.running.Go(func() { callers[s.caller].sendOrder(o, other, "") })
	case "restart":
		w.running.Go(func() { w.restart(h) })
	case "kill":
		w.crash(h)
	case "pause":
		until := time.Now().Add(time.Duration(s.times) * 6 * time.Second)
		h.paused.Store(&until)
	case "service":
		w.targets[s.target].svc.Set(standin.Control{Fault: s.fault, Times: s.times, DelayMS: 12_000})
	case "down":
		w.targets[s.target].down.Store(s.times == 1)
	case "link":
		w.mu.Lock()
		w.linkFault, w.linkFaultsLeft = s.link, s.times
		w.mu.Unlock()
	case "wait":
		time.Sleep(time.Duration(s.times) * ticketLifetime / 2)
	}
}

// runSteps runs the steps and then lets each caller repeat until it knows its end.
// It returns the callers who never learned more than unknown.
func runSteps(o *oracle, steps []step, callers int) (unknown int) {
	cs := make([]*caller, callers)
	for i := range cs {
		cs[i] = &caller{body: []byte(fmt.Sprint("order ", i))}
		cs[i].sendOrder(o, o.w.currentHosts()[0], "")
	}
	for _, s := range steps {
		s.run(o, cs)
		time.Sleep(s.after)
	}
	o.w.running.Wait()
	for i, c := range cs {
		if !c.retryUntilKnown(o, i) && !c.outcomeKnown {
			unknown++
		}
	}
	o.w.running.Wait()
	return unknown
}

// retryUntilKnown repeats the call as the remedies say. It reports false when the
// outcome stays unknown.
func (c *caller) retryUntilKnown(o *oracle, i int) bool {
	for n := range 30 {
		hosts := o.w.currentHosts()
		call := once.Call{ID: "r", Service: "enrolment", Method: "POST", Path: "/deposits", Ticket: c.ticket, Body: c.body}
		t, ok := o.w.send(hosts[(i+n)%len(hosts)], call, callLimit)
		if !ok {
			continue
		}
		o.checkResult(call, t)
		switch {
		case t.ticket != "":
			c.ticket = t.ticket
		case t.ran():
			return true
		case t.kind == apierror.KindTicketUnknown || t.kind == apierror.KindTargetUnknown:
			return false
		case t.outcome == outcome.NotRun:
			c.ticket = ""
		}
		time.Sleep(3 * time.Second)
	}
	return true // never run so far, and told so
}

// failures collects what fails inside a bubble, which must end by itself.
type failures struct {
	mu       sync.Mutex
	messages []string
}

func (f *failures) add(message string, _ ...int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.messages = append(f.messages, message)
}

func checkUnderFaults(t *testing.T, m actionMix, verify func(gomega.Gomega, int)) (unknown, callers int) {
	rapid.Check(t, func(rt *rapid.T) {
		hosts, targets := rapid.IntRange(2, 4).Draw(rt, "hosts"), rapid.IntRange(1, 3).Draw(rt, "targets")
		n := rapid.IntRange(1, 3).Draw(rt, "callers")
		steps := drawSteps(rt, m, n, hosts, targets)
		var failures failures
		synctest.Test(t, func(*testing.T) {
			g := gomega.NewGomega(failures.add)
			w := newCluster(hosts, targets)
			o := &oracle{w: w, g: g, notRunBodies: map[string][]byte{}, tickets: map[string]bool{}}
			unknownCallers := runSteps(o, steps, n)
			w.stop()
			o.checkAll()
			verify(g, unknownCallers)
			unknown, callers = unknown+unknownCallers, callers+n
		})
		if len(failures.messages) > 0 {
			rt.Fatal(failures.messages[0])
		}
	})
	return unknown, callers
}

// Under any fault a ticket runs once at most, and what was told is true.
func TestAtMostOnceUnderFaults(t *testing.T) {
	unknown, callers := checkUnderFaults(t, mixOf("restart", "kill", "pause", "service", "service", "down", "link"), func(gomega.Gomega, int) {})
	t.Logf("%d of %d callers ended as unknown", unknown, callers)
}

// With graceful restarts only, no ticket ends as unknown.
func TestGracefulRestartsLeaveNoUnknownOutcome(t *testing.T) {
	checkUnderFaults(t, mixOf("restart"), func(g gomega.Gomega, unknown int) { g.Expect(unknown).To(gomega.BeZero()) })
}

// One kind of fault at a time: how many callers end as unknown. Where the
// outcome can be known in the end, none may.
func TestUnknownOutcomesPerFault(t *testing.T) {
	link := func(l linkFault) actionMix { m := mixOf("link", "restart"); m.links = []linkFault{l}; return m }
	svc := func(f standin.Fault) actionMix { m := mixOf("service", "restart"); m.faults = []standin.Fault{f}; return m }
	cases := []struct {
		name            string
		mix             actionMix
		outcomeKnowable bool // the outcome can be known in the end
	}{
		{"restart", mixOf("restart"), true},
		{"kill", mixOf("kill"), false},
		{"pause", mixOf("pause"), true},
		{"target down", mixOf("down"), true},
		{"link cut before", link(linkCutBefore), true},
		{"link cut after", link(linkCutAfter), true},
		{"link slow and cut", link(linkSlow), true},
		{"refuse", svc(standin.FaultRefuse), true},
		{"leave", svc(standin.FaultLeave), true},
		{"fail", svc(standin.FaultFailed), true},
		{"late", svc(standin.FaultLate), true},
		{"slow run", svc(standin.FaultSlowRun), true},
		{"long body", svc(standin.FaultLong), true},
		{"drop", svc(standin.FaultDrop), false},
		{"crossed", svc(standin.FaultCrossed), false},
		{"cut", svc(standin.FaultCut), false},
		{"unframed", svc(standin.FaultUnframed), false},
		{"silent", svc(standin.FaultSilent), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			unknown, callers := checkUnderFaults(t, c.mix, func(g gomega.Gomega, unknown int) {
				if c.outcomeKnowable {
					g.Expect(unknown).To(gomega.BeZero())
				}
			})
			t.Logf("%d of %d callers ended as unknown", unknown, callers)
		})
	}
}
