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
	mu     sync.Mutex
	body   []byte
	ticket string
	knows  bool // it was told how its order ended
}

// oracle holds what callers were told, against the services' own counts.
type oracle struct {
	mu      sync.Mutex
	w       *world
	g       gomega.Gomega
	notRun  map[string][]byte // body by ticket: told as not run, so it must never run
	tickets map[string]bool
	unknown int
}

// check takes in what a caller was told about a call.
func (o *oracle) check(call once.Call, t told) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if call.Ticket == "" {
		o.g.Expect(t.outcome).To(gomega.Equal(outcome.NotRun))
		return
	}
	o.tickets[call.Ticket] = true
	switch t.outcome {
	case outcome.NotRun:
		o.g.Expect(o.w.bodyRuns(call.Ticket, call.Body)).To(gomega.BeZero(), "told not_run (%s), and it ran", t.kind)
		o.notRun[call.Ticket+string(call.Body)] = call.Body
	case outcome.Unknown:
		o.unknown++
	default:
		o.g.Expect(o.w.bodyRuns(call.Ticket, call.Body)).To(gomega.Equal(1))
		o.checkAnswer(call, t)
	}
}

// checkAnswer checks that the answer is whole and belongs to the call.
func (o *oracle) checkAnswer(call once.Call, t told) {
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
		o.g.Expect(o.w.runs(ticket)).To(gomega.BeNumerically("<=", 1), "a ticket ran twice")
	}
	for key, body := range o.notRun {
		ticket := key[:len(key)-len(body)]
		o.g.Expect(o.w.bodyRuns(ticket, body)).To(gomega.BeZero(), "told not_run, and it ran later")
	}
}

// use sends the caller's order once, and keeps a fresh ticket if one is given.
func (c *caller) use(o *oracle, h *host, variant string) {
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
	o.check(call, t)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.knows = c.knows || variant == "" && t.ran()
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

// mix is what steps are drawn from.
type mix struct {
	actions []string
	faults  []standin.Fault
	links   []linkFault
}

var (
	variants = []string{"", "", "", "", "", "altered", "forged", "other body"}
	sends    = []string{"send", "send", "send", "send", "twice", "wait"}
	allLinks = []linkFault{linkCutBefore, linkCutAfter, linkSlow}

	allFaults = []standin.Fault{
		standin.FaultNone, standin.FaultRefuse, standin.FaultDrop, standin.FaultLate, standin.FaultCrossed, standin.FaultCut,
		standin.FaultSilent, standin.FaultFailed, standin.FaultLeave, standin.FaultSlowRun, standin.FaultUnframed, standin.FaultLong,
	}
)

// with returns a mix of sends and the given actions.
func with(actions ...string) mix {
	return mix{actions: append(append([]string{}, sends...), actions...), faults: allFaults, links: allLinks}
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

// run takes one step in the background.
func (s step) run(o *oracle, callers []*caller) {
	w := o.w
	h := w.live()[s.host]
	switch s.action {
	case "send":
		w.running.Go(func() { callers[s.caller].use(o, h, s.variant) })
	case "twice":
		other := w.live()[(s.host+1)%len(w.live())]
		w.running.Go(func() { callers[s.caller].use(o, h, "") })
		w.running.Go(func() { callers[s.caller].use(o, other, "") })
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
		w.link, w.linkTimes = s.link, s.times
		w.mu.Unlock()
	case "wait":
		time.Sleep(time.Duration(s.times) * ticketLifetime / 2)
	}
}

// play runs the steps and then lets each caller repeat until it knows its end.
// It returns the callers who never learned more than unknown.
func play(o *oracle, steps []step, callers int) (unknown int) {
	cs := make([]*caller, callers)
	for i := range cs {
		cs[i] = &caller{body: []byte(fmt.Sprint("order ", i))}
		cs[i].use(o, o.w.live()[0], "")
	}
	for _, s := range steps {
		s.run(o, cs)
		time.Sleep(s.after)
	}
	o.w.running.Wait()
	for i, c := range cs {
		if !c.finish(o, i) && !c.knows {
			unknown++
		}
	}
	o.w.running.Wait()
	return unknown
}

// finish repeats the call as the remedies say. It reports false when the
// outcome stays unknown.
func (c *caller) finish(o *oracle, i int) bool {
	for n := range 30 {
		hosts := o.w.live()
		call := once.Call{ID: "r", Service: "enrolment", Method: "POST", Path: "/deposits", Ticket: c.ticket, Body: c.body}
		t, ok := o.w.send(hosts[(i+n)%len(hosts)], call, callLimit)
		if !ok {
			continue
		}
		o.check(call, t)
		switch {
		case t.ticket != "":
			c.ticket = t.ticket
		case t.ran():
			return true
		case t.kind == apierror.KindTicketUnknown || t.kind == apierror.KindTargetOutcomeUnknown:
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

func fuzz(t *testing.T, m mix, verify func(gomega.Gomega, int)) (unknown, callers int) {
	rapid.Check(t, func(rt *rapid.T) {
		hosts, targets := rapid.IntRange(2, 4).Draw(rt, "hosts"), rapid.IntRange(1, 3).Draw(rt, "targets")
		n := rapid.IntRange(1, 3).Draw(rt, "callers")
		steps := drawSteps(rt, m, n, hosts, targets)
		var failures failures
		synctest.Test(t, func(*testing.T) {
			g := gomega.NewGomega(failures.add)
			w := newWorld(hosts, targets)
			o := &oracle{w: w, g: g, notRun: map[string][]byte{}, tickets: map[string]bool{}}
			ended := play(o, steps, n)
			w.stop()
			o.checkAll()
			verify(g, ended)
			unknown, callers = unknown+ended, callers+n
		})
		if len(failures.messages) > 0 {
			rt.Fatal(failures.messages[0])
		}
	})
	return unknown, callers
}

// Under any fault a ticket runs once at most, and what was told is true.
func TestAtMostOnceUnderFaults(t *testing.T) {
	unknown, callers := fuzz(t, with("restart", "kill", "pause", "service", "service", "down", "link"), func(gomega.Gomega, int) {})
	t.Logf("%d of %d callers ended as unknown", unknown, callers)
}

// With graceful restarts only, no ticket ends as unknown.
func TestGracefulRestartsLeaveNothingUnknown(t *testing.T) {
	fuzz(t, with("restart"), func(g gomega.Gomega, unknown int) { g.Expect(unknown).To(gomega.BeZero()) })
}

// One kind of fault at a time: how many callers end as unknown. Where the
// outcome can be known in the end, none may.
func TestUnknownPerFault(t *testing.T) {
	link := func(l linkFault) mix { m := with("link", "restart"); m.links = []linkFault{l}; return m }
	svc := func(f standin.Fault) mix { m := with("service", "restart"); m.faults = []standin.Fault{f}; return m }
	cases := []struct {
		name  string
		mix   mix
		knows bool // the outcome can be known in the end
	}{
		{"restart", with("restart"), true},
		{"kill", with("kill"), false},
		{"pause", with("pause"), true},
		{"target down", with("down"), true},
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
			unknown, callers := fuzz(t, c.mix, func(g gomega.Gomega, unknown int) {
				if c.knows {
					g.Expect(unknown).To(gomega.BeZero())
				}
			})
			t.Logf("%d of %d callers ended as unknown", unknown, callers)
		})
	}
}
