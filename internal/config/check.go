package config

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strings"
)

const minOperatorKeyBytes = 16

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

var logLevels = []string{"debug", "info", "warn", "error"}

// Problem describes an invalid setting and how to fix it.
type Problem struct {
	Setting string
	Message string
	Remedy  string
}

// Problems lists every invalid setting. It implements error.
type Problems []Problem

// Error returns all problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, fmt.Sprintf("--%s: %s; %s", problem.Setting, problem.Message, problem.Remedy))
	}
	return strings.Join(lines, "\n")
}

type checker struct{ problems Problems }

func (c *checker) addProblem(setting, remedy, format string, args ...any) {
	c.problems = append(c.problems, Problem{Setting: setting, Message: fmt.Sprintf(format, args...), Remedy: remedy})
}

func (c *checker) checkName(setting, value string) {
	if !namePattern.MatchString(value) {
		c.addProblem(setting, "use 1 to 63 lower-case letters, digits and hyphens", "%q is not a valid name", value)
	}
}

func (c *checker) parseAddr(setting, value string) netip.AddrPort {
	a, err := netip.ParseAddrPort(value)
	if err != nil {
		c.addProblem(setting, "give an IP address and a port, such as 10.0.0.7:8080", "%q is not IP:port", value)
	}
	return a
}

func (c *checker) parseSeeds(value string) []Seed {
	var seeds []Seed
	for entry := range strings.SplitSeq(value, ",") {
		if entry == "" {
			continue
		}
		id, addr, _ := strings.Cut(entry, "=")
		c.checkName("peer-seeds", id)
		seeds = append(seeds, Seed{Host: id, Addr: c.parseAddr("peer-seeds", addr)})
	}
	return seeds
}

func (c *checker) checkPositive(setting string, value int64) {
	if value <= 0 {
		c.addProblem(setting, "give a number above zero", "%d is not positive", value)
	}
}

// Check validates all settings and returns the parsed addresses. The error is
// of type Problems and lists every invalid setting, not only the first.
func (s *Settings) Check() (Addrs, error) {
	c := &checker{}
	c.checkName("host-id", s.Host.ID)
	c.checkName("partner", s.Host.Partner)
	c.checkName("failure-domain", s.Host.Domain)
	addrs := Addrs{
		Callers:   c.parseAddr("callers-addr", s.Listen.Callers),
		Peers:     c.parseAddr("peers-addr", s.Listen.Peers),
		Operators: c.parseAddr("operators-addr", s.Listen.Operators),
		Platform:  c.parseAddr("platform-addr", s.Platform.Addr),
		Seeds:     c.parseSeeds(s.Peer.Seeds),
	}
	c.checkDistinctAddrs(addrs)
	c.checkPartners(s)
	c.checkCredentials(s, addrs)
	c.checkLimits(s)
	if len(c.problems) > 0 {
		return Addrs{}, c.problems
	}
	return addrs, nil
}

func (c *checker) checkDistinctAddrs(addrs Addrs) {
	if addrs.Operators.IsValid() && addrs.Operators.Port() != 0 && (addrs.Operators == addrs.Callers || addrs.Operators == addrs.Peers) {
		c.addProblem("operators-addr", "give the operators' interface its own port", "%s is already used by another listener", addrs.Operators)
	}
	if addrs.Peers.IsValid() && addrs.Peers.Port() != 0 && addrs.Peers == addrs.Callers {
		c.addProblem("peers-addr", "give the peers' interface its own port", "%s is already used by the callers' interface", addrs.Peers)
	}
}

func (c *checker) checkPartners(s *Settings) {
	partners := s.Platform.Partners()
	for _, p := range partners {
		c.checkName("rules-of", p)
	}
	if !slices.Contains(partners, s.Host.Partner) {
		c.addProblem("rules-of", "add this host's partner", "partner %q is not among %v", s.Host.Partner, partners)
	}
}

func (c *checker) checkCredentials(s *Settings, addrs Addrs) {
	if len(s.Operator.Key) < minOperatorKeyBytes {
		c.addProblem("operator-key", "set PLANTAINRUN_OPERATOR_KEY to a random key", "the key has fewer than %d bytes", minOperatorKeyBytes)
	}
	hasTLSFiles := s.Peer.CAFile != "" && s.Peer.CertFile != "" && s.Peer.KeyFile != ""
	switch {
	case s.Peer.Plaintext && addrs.Peers.IsValid() && !addrs.Peers.Addr().IsLoopback():
		c.addProblem("peer-plain", "give --peer-ca, --peer-cert and --peer-key instead", "%s is not a loopback address", addrs.Peers)
	case s.Peer.Plaintext && (s.Peer.CAFile != "" || s.Peer.CertFile != "" || s.Peer.KeyFile != ""):
		c.addProblem("peer-plain", "give either --peer-plain or the certificate files", "--peer-plain and certificate files are both set")
	case !s.Peer.Plaintext && !hasTLSFiles:
		c.addProblem("peer-cert", "give --peer-ca, --peer-cert and --peer-key, or --peer-plain on loopback", "no credentials for connections between hosts")
	}
}

func (c *checker) checkLimits(s *Settings) {
	c.checkPositive("max-body-bytes", s.Limits.MaxBodyBytes)
	c.checkPositive("max-output-tokens", int64(s.Limits.MaxOutputTokens))
	c.checkPositive("default-time-limit", int64(s.Limits.DefaultTimeLimit))
	c.checkPositive("ticket-lifetime", int64(s.Limits.TicketLifetime))
	c.checkPositive("ledger-entries", int64(s.Limits.MaxLedgerEntries))
	c.checkPositive("max-connections", int64(s.Limits.MaxConnections))
	c.checkPositive("held-bytes", s.Limits.MaxHeldBytes)
	c.checkPositive("ledger-bytes", s.Limits.MaxLedgerBytes)
	c.checkPositive("drain-timeout", int64(s.Drain.Timeout))
	c.checkPositive("first-wait", int64(s.Platform.InitialSyncTimeout))
	if s.Platform.ReadsPerSecond <= 0 {
		c.addProblem("platform-reads", "give a rate above zero", "%v is not positive", s.Platform.ReadsPerSecond)
	}
	if s.Drain.BalancerWait < 0 {
		c.addProblem("balancer-wait", "give zero or more", "%s is negative", s.Drain.BalancerWait)
	}
	if !slices.Contains(logLevels, s.Log.Level) {
		c.addProblem("log-level", "give one of debug, info, warn, error", "%q is not a log level", s.Log.Level)
	}
	if s.Limits.MaxTimeLimit < s.Limits.DefaultTimeLimit {
		c.addProblem("max-time-limit", "raise it or lower --default-time-limit", "%s is below the default of %s", s.Limits.MaxTimeLimit, s.Limits.DefaultTimeLimit)
	}
}
