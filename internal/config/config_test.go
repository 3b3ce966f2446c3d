package config_test

import (
	"errors"
	"testing"

	"github.com/jessevdk/go-flags"
	"github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/internal/config"
)

func parseSettings(t *testing.T, args ...string) *config.Settings {
	t.Helper()
	var s config.Settings
	_, err := flags.NewParser(&s, flags.None).ParseArgs(args)
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	return &s
}

var validArgs = []string{
	"--host-id=sapporo-1", "--partner=kushiro", "--failure-domain=sapporo",
	"--platform-addr=127.0.0.1:9000", "--operator-key=0123456789abcdef", "--peer-plain",
}

func TestCheckAcceptsValidSettings(t *testing.T) {
	g := gomega.NewWithT(t)
	addrs, err := parseSettings(t, validArgs...).Check()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(addrs.Callers.Port()).To(gomega.Equal(uint16(8080)))
}

func TestCheckReportsEveryProblemWithRemedy(t *testing.T) {
	g := gomega.NewWithT(t)
	_, err := parseSettings(t, "--host-id=Sapporo 1", "--partner=nobody", "--platform-addr=localhost:1",
		"--max-body-bytes=-1", "--log-level=loud", "--max-time-limit=1s").Check()
	var problems config.Problems
	g.Expect(errors.As(err, &problems)).To(gomega.BeTrue())
	var reported []string
	for _, p := range problems {
		reported = append(reported, p.Setting)
		g.Expect(p.Remedy).NotTo(gomega.BeEmpty())
	}
	g.Expect(reported).To(gomega.ConsistOf("host-id", "failure-domain", "platform-addr", "rules-of",
		"operator-key", "peer-cert", "max-body-bytes", "log-level", "max-time-limit"))
}

func TestPlaintextPeersRequireLoopback(t *testing.T) {
	g := gomega.NewWithT(t)
	_, err := parseSettings(t, append(validArgs, "--peers-addr=10.0.0.1:8081")...).Check()
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("10.0.0.1:8081 is not a loopback address")))
}

func TestEnvironmentSetsFlags(t *testing.T) {
	g := gomega.NewWithT(t)
	t.Setenv("PLANTAINRUN_HOST_ID", "kushiro-2")
	g.Expect(parseSettings(t).Host.ID).To(gomega.Equal("kushiro-2"))
}
