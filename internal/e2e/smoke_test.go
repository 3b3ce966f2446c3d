package e2e_test

import (
	"net/http"
	"testing"

	"github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
)

// A prompt and a reservation pass through separate processes. The reservation goes
// to a host that has to forward it to the other one, which issued the ticket.
func TestRequestsThroughSeparateProcesses(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(t, 2, 2)

	a, err := prompt(c.hosts[0], "Which glue for oak?", 20, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(a.complete).To(gomega.BeTrue(), "%+v", a)
	g.Expect(a.text).To(gomega.Equal(expectedText("Which glue for oak?", 20)))

	ticket := newTicket(t, c.hosts[0], "seat 12")
	first, err := callReservations(c.hosts[1], ticket, "seat 12")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(first.status).To(gomega.Equal(http.StatusCreated), first.body)
	again, err := callReservations(c.hosts[0], ticket, "seat 12")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(again.body).To(gomega.Equal(first.body))
	g.Expect(runCount(t, c.services[0], ticket)).To(gomega.Equal(1))

	other, err := callReservations(c.hosts[1], ticket, "seat 13")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(other.status).To(gomega.Equal(http.StatusUnprocessableEntity), other.body)

	g.Expect(c.hosts[0].run(t, "status")).To(gomega.ContainSubstring("rules/kushiro"))
	g.Expect(c.hosts[0].run(t, "audit", "--subject=rules/kushiro")).To(gomega.ContainSubstring("in_force"))
}

func TestCommandExitCodes(t *testing.T) {
	g := gomega.NewWithT(t)
	exit := func(want int, args ...string) {
		session := startProcess(t, args...)
		g.Eventually(session, startTimeout).Should(gexec.Exit(want), "%v: %s", args, session.Err.Contents())
	}
	exit(0, "version")
	exit(0, "--help")
	exit(0, "serve", "--help")
	exit(0, "demo")
	exit(0, "rules", "check", exampleRules("kushiro.rules"))
	exit(0, "rules", "check", exampleRules("aarhus.rules"))
	exit(1, "rules", "check", "process_test.go")
	exit(1, "rules", "check", "no-such-file")
	exit(1, "status", "--operators-addr=127.0.0.1:1")
	exit(2, "serve", "--no-such-flag")
	exit(2, "serve", "--host-id=UPPER")
	exit(2, "nothing")
	exit(2, "standin", "moon")
}
