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

// The owner of tickets is killed while their calls run. What callers are told
// must agree with the service's own count, and nothing runs twice.
func TestKilledOwnerNeverRunsTwice(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(t, 2, 1)
	owner, other := c.hosts[0], c.hosts[1]
	control(t, c.services[0], service.Control{Fault: service.FaultSlowRun, DelayMS: 500})
	var tickets []string
	for i := range 8 {
		tickets = append(tickets, newTicket(t, owner, fmt.Sprint("seat ", i)))
	}
	var wg sync.WaitGroup
	for i, ticket := range tickets[:6] {
		wg.Go(func() { _, _ = callService(other, ticket, fmt.Sprint("seat ", i)) })
	}
	g.Eventually(func() int { return runs(t, c.services[0], tickets[0]) }, stateWait).Should(gomega.Equal(1))
	owner.Kill()
	wg.Wait()
	owner.start(t)
	owner.waitReady(t)
	for i, ticket := range tickets {
		for _, h := range c.hosts {
			r, err := callService(h, ticket, fmt.Sprint("seat ", i))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(r.status).NotTo(gomega.Equal(http.StatusCreated), "nobody can know the outcome any more")
			g.Expect(r.err.Run).To(gomega.Equal("unknown"), "%+v", r.err)
		}
		g.Expect(runs(t, c.services[0], ticket)).To(gomega.BeNumerically("<=", 1))
	}
}

// The owner is frozen while calls reach it, and wakes after their callers were
// told unknown. Each ticket then has one outcome and one run.
func TestFrozenOwnerRunsAtMostOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(t, 2, 1)
	c.publish(t, "rules/kushiro", goodRules("1s"))
	owner, other := c.hosts[0], c.hosts[1]
	for _, h := range c.hosts {
		g.Eventually(func() string { return h.run(t, "audit", "--subject=rules/kushiro") }, stateWait).Should(gomega.ContainSubstring("time-limit short 1s"))
	}
	var tickets []string
	for i := range 4 {
		tickets = append(tickets, newTicket(t, owner, fmt.Sprint("seat ", i)))
	}
	owner.Signal(syscall.SIGSTOP)
	told := make([]reply, len(tickets))
	var wg sync.WaitGroup
	for i, ticket := range tickets {
		wg.Go(func() { told[i], _ = callService(other, ticket, fmt.Sprint("seat ", i)) })
	}
	wg.Wait()
	for _, r := range told {
		g.Expect(r.err.Run).To(gomega.Equal("unknown"), "%+v", r)
	}
	owner.Signal(syscall.SIGCONT)
	owner.waitReady(t)
	for i, ticket := range tickets {
		g.Eventually(func() int {
			r, err := callService(other, ticket, fmt.Sprint("seat ", i))
			if err != nil {
				return 0
			}
			return r.status
		}, stateWait).Should(gomega.Equal(http.StatusCreated))
		g.Expect(runs(t, c.services[0], ticket)).To(gomega.Equal(1))
	}
}

// Engines die, go silent, cut answers short and send crossed ones, one fault
// after the other, under streams. Every answer that ends whole is the engine's
// own text; no shortened answer looks whole.
func TestEngineFaultsNeverShortenAnAnswer(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(t, 2, 3, "--decode-interval=5ms")
	b := newBalancer(c.hosts)
	defer b.close()
	var mu sync.Mutex
	broken := 0
	var notRun []string
	streams := startLoad(6, func(caller, round int) string {
		text := fmt.Sprintf("caller %d round %d", caller, round)
		a, err := prompt(b.pick(), text, 40, 20*time.Second)
		mu.Lock()
		defer mu.Unlock()
		if err == nil && a.whole {
			if a.text != wholeText(text, 40) {
				return fmt.Sprintf("%s: looks whole but is %q", text, a.text)
			}
			return ""
		}
		broken++
		if a.err.Run == "not_run" {
			notRun = append(notRun, a.id)
		}
		if a.err.Kind == "" {
			return fmt.Sprintf("%s: broke off without an error: %+v %v", text, a, err)
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
		before := streams.count()
		control(t, c.engines[i%len(c.engines)], f)
		g.Eventually(streams.count, stateWait).Should(gomega.BeNumerically(">", before+20))
	}
	g.Expect(streams.end()).To(gomega.BeEmpty())
	t.Logf("%d streams, %d broke off with an error, %d of them not run", streams.count(), broken, len(notRun))
	for _, e := range c.engines {
		for id := range engineCounts(t, e).Submitted {
			for _, told := range notRun {
				g.Expect(id).NotTo(gomega.HavePrefix(told+"."), "told not_run, but an engine took it")
			}
		}
	}
	g.Expect(broken).To(gomega.BeNumerically("<", streams.count()/4), "most faults are mended")
}

// One prompt crashes each engine that runs it, and its caller sends it again
// and again through all hosts. At most two engines are lost, and innocent
// streams go on.
func TestPoisonousPromptLosesTwoEnginesAtMost(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(t, 3, 4, "--decode-interval=5ms")
	marker, restart := "poison", int64(200)
	for _, e := range c.engines {
		control(t, e, engine.Control{CrashMarker: &marker, RestartMS: &restart})
	}
	b := newBalancer(c.hosts)
	defer b.close()
	streams := startLoad(3, func(caller, round int) string {
		a, err := prompt(b.pick(), fmt.Sprintf("caller %d round %d", caller, round), 20, stateWait)
		if err != nil && a.err.Kind == "" {
			return err.Error()
		}
		if a.err.Kind == "quarantined" {
			return "an innocent prompt was quarantined"
		}
		return ""
	})
	refused := 0
	for round := range 30 {
		a, _ := prompt(c.hosts[round%len(c.hosts)], "a poison prompt", 20, 10*time.Second)
		g.Expect(a.whole).To(gomega.BeFalse())
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
	g.Expect(streams.end()).To(gomega.BeEmpty())

	// The quarantine outlives each host.
	for _, h := range c.hosts {
		h.Kill()
		g.Eventually(h.Session, stateWait).Should(gexec.Exit())
		h.start(t)
		h.waitReady(t)
	}
	for _, h := range c.hosts {
		g.Eventually(func() string {
			a, _ := prompt(h, "a poison prompt", 20, 10*time.Second)
			return a.err.Kind
		}, stateWait).Should(gomega.Equal("quarantined"))
	}
	crashes = 0
	for _, e := range c.engines {
		crashes += engineCounts(t, e).Crashes
	}
	g.Expect(crashes).To(gomega.BeNumerically("<=", 2))
}
