package e2e_test

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/plantainrun/plantainrun/internal/standin/engine"
	"github.com/plantainrun/plantainrun/internal/standin/service"
)

// The host that owns the tickets is killed while their calls run. The outcome that
// callers are told must agree with the service's own count, and no call may run
// twice.
func TestKilledTicketOwnerNeverCausesSecondRun(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(t, 2, 1)
	owner, other := c.hosts[0], c.hosts[1]
	setControl(t, c.services[0], service.Control{Fault: service.FaultSlowRun, DelayMS: 500})
	var tickets []string
	for i := range 8 {
		tickets = append(tickets, newTicket(t, owner, fmt.Sprint("seat ", i)))
	}
	var wg sync.WaitGroup
	for i, ticket := range tickets[:6] {
		wg.Go(func() { _, _ = callReservations(other, ticket, fmt.Sprint("seat ", i)) })
	}
	g.Eventually(func() int { return runCount(t, c.services[0], tickets[0]) }, eventTimeout).Should(gomega.Equal(1))
	owner.Kill()
	wg.Wait()
	owner.start(t)
	owner.waitReady(t)
	for i, ticket := range tickets {
		for _, h := range c.hosts {
			r, err := callReservations(h, ticket, fmt.Sprint("seat ", i))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(r.status).NotTo(gomega.Equal(http.StatusCreated), "the outcome was lost with the killed owner")
			g.Expect(r.err.Run).To(gomega.Equal("unknown"), "%+v", r.err)
		}
		g.Expect(runCount(t, c.services[0], ticket)).To(gomega.BeNumerically("<=", 1))
	}
}

// The host that owns the tickets is suspended while calls are forwarded to it, and
// resumes after their callers were told that the outcome is unknown. Afterwards
// each ticket has one outcome and its call has run once.
func TestFrozenTicketOwnerRunsCallsOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(t, 2, 1)
	c.publish(t, "rules/kushiro", validRules("1s"))
	owner, other := c.hosts[0], c.hosts[1]
	for _, h := range c.hosts {
		g.Eventually(func() string { return h.run(t, "audit", "--subject=rules/kushiro") }, eventTimeout).Should(gomega.ContainSubstring("time-limit short 1s"))
	}
	var tickets []string
	for i := range 4 {
		tickets = append(tickets, newTicket(t, owner, fmt.Sprint("seat ", i)))
	}
	owner.Signal(syscall.SIGSTOP)
	replies := make([]reply, len(tickets))
	var wg sync.WaitGroup
	for i, ticket := range tickets {
		wg.Go(func() { replies[i], _ = callReservations(other, ticket, fmt.Sprint("seat ", i)) })
	}
	wg.Wait()
	for _, r := range replies {
		g.Expect(r.err.Run).To(gomega.Equal("unknown"), "%+v", r)
	}
	owner.Signal(syscall.SIGCONT)
	owner.waitReady(t)
	for i, ticket := range tickets {
		g.Eventually(func() int {
			r, err := callReservations(other, ticket, fmt.Sprint("seat ", i))
			if err != nil {
				return 0
			}
			return r.status
		}, eventTimeout).Should(gomega.Equal(http.StatusCreated))
		g.Expect(runCount(t, c.services[0], ticket)).To(gomega.Equal(1))
	}
}

// Under load, engines crash, stop answering, truncate answers and send chunks with
// the id of another request, one fault after the other. Every answer with an end
// marker must be the complete text of the engine, and all others must end with an
// error.
func TestEngineFaultsNeverTruncateAnswers(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(t, 2, 3, "--decode-interval=5ms")
	b := newBalancer(c.hosts)
	defer b.close()
	var mu sync.Mutex
	failed := 0
	var notRun []string
	streams := startLoad(6, func(caller, round int) string {
		text := fmt.Sprintf("caller %d round %d", caller, round)
		a, err := prompt(b.pick(), text, 40, 20*time.Second)
		mu.Lock()
		defer mu.Unlock()
		if err == nil && a.complete {
			if a.text != expectedText(text, 40) {
				return fmt.Sprintf("%s: marked as complete but is %q", text, a.text)
			}
			return ""
		}
		failed++
		if a.err.Run == "not_run" {
			notRun = append(notRun, a.id)
		}
		if a.err.Kind == "" {
			return fmt.Sprintf("%s: incomplete without an error: %+v %v", text, a, err)
		}
		return ""
	})
	after := int64(2000)
	faults := []engine.Control{
		{SilentAfter: &after},
		{ResponseFaults: []engine.Fault{{Kind: engine.FaultTruncate, At: 7}, {Kind: engine.FaultWrongID, At: 3}, {Kind: engine.FaultWrongCount}}},
		{Crash: &engine.Crash{RestartMS: 300}},
		{ResponseFaults: []engine.Fault{{Kind: engine.FaultDuplicate, At: 5}, {Kind: engine.FaultReorder, At: 2}, {Kind: engine.FaultDisconnect, At: 20}}},
		{SilentNextAt: &after, ResponseFaults: []engine.Fault{{Kind: engine.FaultSkip, At: 9}}},
	}
	for i, f := range faults {
		before := streams.completed()
		setControl(t, c.engines[i%len(c.engines)], f)
		g.Eventually(streams.completed, eventTimeout).Should(gomega.BeNumerically(">", before+20))
	}
	g.Expect(streams.stop()).To(gomega.BeEmpty())
	t.Logf("%d streams, %d ended with an error, %d of them not run", streams.completed(), failed, len(notRun))
	for _, e := range c.engines {
		for attemptID := range engineCounts(t, e).Submitted {
			for _, requestID := range notRun {
				g.Expect(attemptID).NotTo(gomega.HavePrefix(requestID+"."), "reported as not_run, but an engine accepted it")
			}
		}
	}
	g.Expect(failed).To(gomega.BeNumerically("<", streams.completed()/4), "the hosts must recover from most faults")
}

// One prompt crashes every engine that runs it, and its caller keeps sending it
// through all hosts. The prompt must be quarantined after at most two crashes, and
// other prompts must not be.
func TestCrashingPromptIsQuarantined(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(t, 3, 4, "--decode-interval=5ms")
	marker, restart := "poison", int64(200)
	for _, e := range c.engines {
		setControl(t, e, engine.Control{CrashMarker: &marker, RestartMS: &restart})
	}
	b := newBalancer(c.hosts)
	defer b.close()
	streams := startLoad(3, func(caller, round int) string {
		a, err := prompt(b.pick(), fmt.Sprintf("caller %d round %d", caller, round), 20, eventTimeout)
		if err != nil && a.err.Kind == "" {
			return err.Error()
		}
		if a.err.Kind == "quarantined" {
			return "a prompt that crashed no engine was quarantined"
		}
		return ""
	})
	refused := 0
	for round := range 30 {
		a, _ := prompt(c.hosts[round%len(c.hosts)], "a poison prompt", 20, 10*time.Second)
		g.Expect(a.complete).To(gomega.BeFalse())
		if round == 0 {
			g.Expect(a.err.Run).NotTo(gomega.Equal("not_run"), "engines ran it")
		}
		if a.err.Kind == "quarantined" {
			g.Expect(a.err.RetryAfterSeconds).To(gomega.BeNumerically(">", 0))
			refused++
		}
	}
	crashes := 0
	for _, e := range c.engines {
		crashes += engineCounts(t, e).Crashes
	}
	t.Logf("%d refused, %d crashes", refused, crashes)
	g.Expect(crashes).To(gomega.BeNumerically("<=", 2))
	g.Expect(refused).To(gomega.BeNumerically(">", 20))
	g.Expect(streams.stop()).To(gomega.BeEmpty())

	// The quarantine survives a restart of each host.
	for _, h := range c.hosts {
		h.Kill()
		g.Eventually(h.Session, eventTimeout).Should(gexec.Exit())
		h.start(t)
		h.waitReady(t)
	}
	for _, h := range c.hosts {
		g.Eventually(func() string {
			a, _ := prompt(h, "a poison prompt", 20, 10*time.Second)
			return a.err.Kind
		}, eventTimeout).Should(gomega.Equal("quarantined"))
	}
	crashes = 0
	for _, e := range c.engines {
		crashes += engineCounts(t, e).Crashes
	}
	g.Expect(crashes).To(gomega.BeNumerically("<=", 2))
}

// Guards against a caller that is told by the status of a service that its call was not run, and
// takes a new ticket: through the owner of the ticket and another host, at once and when it repeats the call.
func TestStatusOfAServiceAloneTellsNoCallerThatItsCallWasNotRun(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(t, 2, 1)
	for _, status := range []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		setControl(t, c.services[0], service.Control{Fault: service.FaultServerError, Status: status})
		for _, first := range c.hosts {
			ticket := newTicket(t, c.hosts[0], "seat 1")
			for _, h := range []*host{first, c.hosts[0], c.hosts[1]} {
				r, err := callReservations(h, ticket, "seat 1")
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(r.status).To(gomega.Equal(http.StatusBadGateway), "%d: %s", status, r.body)
				g.Expect(r.err.Run).To(gomega.Equal("unknown"))
				g.Expect(r.header).NotTo(gomega.HaveKey("Retry-After"))
			}
			g.Expect(runCount(t, c.services[0], ticket)).To(gomega.Equal(1))
		}
	}
}
