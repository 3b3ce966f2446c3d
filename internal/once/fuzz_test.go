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

// caller places one order and keeps the ticket for it.
type caller struct {
	mu           sync.Mutex
	body         []byte
	ticket       string
	outcomeKnown bool // the caller received the outcome of its order
}

// oracle compares the outcomes reported to callers with the runs that the
// services counted.
type oracle struct {
	mu           sync.Mutex
	w            *cluster
	g            gomega.Gomega
	notRunBodies map[string][]byte // by ticket and body: reported as not run, so it must never run
	tickets      map[string]bool
	unknown      int
}

// checkResult checks the result of one call and records it for checkAll.
func (o *oracle) checkResult(call once.Call, result callResult) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if call.Ticket == "" {
		o.g.Expect(result.outcome).To(gomega.Equal(outcome.NotRun))
		return
	}
	o.tickets[call.Ticket] = true
	switch result.outcome {
	case outcome.NotRun:
		o.g.Expect(o.w.bodyRunCount(call.Ticket, call.Body)).To(gomega.BeZero(), "reported as not_run (%s), but it ran", result.kind)
		o.notRunBodies[call.Ticket+string(call.Body)] = call.Body
	case outcome.Unknown:
		o.unknown++
	default:
		o.g.Expect(o.w.bodyRunCount(call.Ticket, call.Body)).To(gomega.Equal(1))
		o.checkResponse(call, result)
	}
}

// checkResponse checks that the response is complete and belongs to the call.
func (o *oracle) checkResponse(call once.Call, result callResult) {
	if result.kind != "" || result.outcome == outcome.Failed {
		return
	}
	if len(result.body) == standin.LongBodyBytes {
		return
	}
	var receipt standin.EchoResponse
	o.g.Expect(json.Unmarshal(result.body, &receipt)).To(gomega.Succeed(), "response %q", result.body)
	o.g.Expect(receipt.Echo).To(gomega.Equal(call.Body), "response to another request")
}

// checkAll compares all reported outcomes with the counts at the end.
func (o *oracle) checkAll() {
	for ticket := range o.tickets {
		o.g.Expect(o.w.runCount(ticket)).To(gomega.BeNumerically("<=", 1), "ticket ran more than once")
	}
	for key, body := range o.notRunBodies {
		ticket := key[:len(key)-len(body)]
		o.g.Expect(o.w.bodyRunCount(ticket, body)).To(gomega.BeZero(), "reported as not_run, but it ran later")
	}
}

// sendOrder sends the caller's order once, and keeps the new ticket if it gets one.
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
	result, ok := o.w.send(h, call, callLimit)
	if !ok {
		return
	}
	o.checkResult(call, result)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomeKnown = c.outcomeKnown || variant == "" && result.ran()
	if result.ticket != "" && variant == "" && (c.ticket == call.Ticket) {
		c.ticket = result.ticket
	}
}

// step is one action drawn by rapid.
type step struct {
	action        string
	caller, host  int
	variant       string
	target, times int
	fault         standin.Fault
	link          linkFault
	after         time.Duration // delay before the next step
}

// mix has the actions and faults that steps are drawn from.
type mix struct {
	actions []string
	faults  []standin.Fault
	links   []linkFault
}

var (
	variants    = []string{"", "", "", "", "", "altered", "forged", "other body"}
	sendActions = []string{"send", "send", "send", "send", "twice", "wait"}
	allLinks    = []linkFault{linkCutBefore, linkCutAfter, linkSlow}

	allFaults = []standin.Fault{
		standin.FaultNone, standin.FaultRefuse, standin.FaultDisconnect, standin.FaultSlowResponse, standin.FaultWrongID, standin.FaultTruncate,
		standin.FaultHang, standin.FaultServerError, standin.FaultUnstated, standin.FaultLeaving, standin.FaultSlowRun, standin.FaultUnframed, standin.FaultLongBody,
	}
)

// mixOf returns a mix of sendActions and the given actions, with all faults.
func mixOf(actions ...string) mix {
	return mix{actions: append(append([]string{}, sendActions...), actions...), faults: allFaults, links: allLinks}
}

func drawSteps(t *rapid.T, m mix, callers, hosts, targets int) []step {
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

// run performs the step. Calls and restarts continue in the background.
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
		w.targets[s.target].svc.SetFault(standin.Control{Fault: s.fault, Times: s.times, DelayMS: 12_000})
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

// runSteps runs the steps and then lets each caller retry until it knows the
// outcome. It returns the number of callers whose outcome stays unknown.
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

// retryUntilKnown retries the call as the remedies in the errors instruct. It
// reports false if the outcome stays unknown.
func (c *caller) retryUntilKnown(o *oracle, i int) bool {
	for n := range 30 {
		hosts := o.w.currentHosts()
		call := once.Call{ID: "r", Service: "enrolment", Method: "POST", Path: "/deposits", Ticket: c.ticket, Body: c.body}
		result, ok := o.w.send(hosts[(i+n)%len(hosts)], call, callLimit)
		if !ok {
			continue
		}
		o.checkResult(call, result)
		switch {
		case result.ticket != "":
			c.ticket = result.ticket
		case result.ran():
			return true
		case result.kind == apierror.KindTicketUnknown || result.kind == apierror.KindTargetOutcomeUnknown:
			return false
		case result.outcome == outcome.NotRun:
			c.ticket = ""
		}
		time.Sleep(3 * time.Second)
	}
	return true // every response so far said that the call was not run
}

// failures collects failed assertions inside a synctest bubble. The test fails
// after the bubble has ended, since a bubble must end by itself.
type failures struct {
	mu       sync.Mutex
	messages []string
}

func (f *failures) add(message string, _ ...int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.messages = append(f.messages, message)
}

func checkUnderFaults(t *testing.T, m mix, verify func(gomega.Gomega, int)) (unknown, callers int) {
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

// Under any combination of faults a ticket runs at most once, and the outcomes
// reported to callers are correct.
func TestAtMostOnceUnderFaults(t *testing.T) {
	unknown, callers := checkUnderFaults(t, mixOf("restart", "kill", "pause", "service", "service", "down", "link"), func(gomega.Gomega, int) {})
	t.Logf("%d of %d callers ended with an unknown outcome", unknown, callers)
}

// With graceful restarts as the only fault, no outcome is unknown.
func TestGracefulRestartsLeaveNoUnknownOutcome(t *testing.T) {
	checkUnderFaults(t, mixOf("restart"), func(g gomega.Gomega, unknown int) { g.Expect(unknown).To(gomega.BeZero()) })
}

// Logs how many callers end with an unknown outcome under each kind of fault.
// Under faults where the outcome can be determined, none may.
func TestUnknownOutcomesPerFault(t *testing.T) {
	link := func(l linkFault) mix { m := mixOf("link", "restart"); m.links = []linkFault{l}; return m }
	svc := func(f standin.Fault) mix { m := mixOf("service", "restart"); m.faults = []standin.Fault{f}; return m }
	cases := []struct {
		name            string
		mix             mix
		outcomeKnowable bool // no caller may end with an unknown outcome
	}{
		{"restart", mixOf("restart"), true},
		{"kill", mixOf("kill"), false},
		{"pause", mixOf("pause"), true},
		{"target down", mixOf("down"), true},
		{"link cut before", link(linkCutBefore), true},
		{"link cut after", link(linkCutAfter), true},
		{"link slow and cut", link(linkSlow), true},
		{"refuse", svc(standin.FaultRefuse), true},
		{"leave", svc(standin.FaultLeaving), true},
		{"fail", svc(standin.FaultServerError), true},
		{"late", svc(standin.FaultSlowResponse), true},
		{"slow run", svc(standin.FaultSlowRun), true},
		{"long body", svc(standin.FaultLongBody), true},
		{"drop", svc(standin.FaultDisconnect), false},
		{"crossed", svc(standin.FaultWrongID), false},
		{"cut", svc(standin.FaultTruncate), false},
		{"unframed", svc(standin.FaultUnframed), false},
		{"silent", svc(standin.FaultHang), false},
		{"unstated", svc(standin.FaultUnstated), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			unknown, callers := checkUnderFaults(t, c.mix, func(g gomega.Gomega, unknown int) {
				if c.outcomeKnowable {
					g.Expect(unknown).To(gomega.BeZero())
				}
			})
			t.Logf("%d of %d callers ended with an unknown outcome", unknown, callers)
		})
	}
}
