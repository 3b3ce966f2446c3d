package e2e_test

import (
	"net/http"
	"testing"

	"github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
)

// One prompt and one order go through separate processes and back; the order
// through a host that has to reach the other one, which issued the ticket.
func TestThinPath(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(t, 2, 2)

	a, err := prompt(c.hosts[0], "Which glue for oak?", 20, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(a.whole).To(gomega.BeTrue(), "%+v", a)
	g.Expect(a.text).To(gomega.Equal(wholeText("Which glue for oak?", 20)))

	ticket := newTicket(t, c.hosts[0], "seat 12")
	first, err := callService(c.hosts[1], ticket, "seat 12")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(first.status).To(gomega.Equal(http.StatusCreated), first.body)
	again, err := callService(c.hosts[0], ticket, "seat 12")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(again.body).To(gomega.Equal(first.body))
	g.Expect(runs(t, c.services[0], ticket)).To(gomega.Equal(1))

	other, err := callService(c.hosts[1], ticket, "seat 13")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(other.status).To(gomega.Equal(http.StatusUnprocessableEntity), other.body)

	g.Expect(c.hosts[0].run(t, "status")).To(gomega.ContainSubstring("rules/kushiro"))
	g.Expect(c.hosts[0].run(t, "audit", "--subject=rules/kushiro")).To(gomega.ContainSubstring("in_force"))
}

func TestCommandsAnswerWithTheirExitCodes(t *testing.T) {
	g := gomega.NewWithT(t)
	exit := func(want int, args ...string) {
		session := startProcess(t, args...)
		g.Eventually(session, startWait).Should(gexec.Exit(want), "%v: %s", args, session.Err.Contents())
	}
	exit(0, "version")
	exit(0, "--help")
	exit(0, "serve", "--help")
	exit(0, "demo")
	exit(0, "rules", "check", examples("kushiro.rules"))
	exit(0, "rules", "check", examples("aarhus.rules"))
	exit(1, "rules", "check", "process_test.go")
	exit(1, "rules", "check", "no-such-file")
	exit(1, "status", "--operators-addr=127.0.0.1:1")
	exit(2, "serve", "--no-such-flag")
	exit(2, "serve", "--host-id=UPPER")
	exit(2, "nothing")
	exit(2, "standin", "moon")
}
