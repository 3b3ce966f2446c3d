package config

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strings"
)

const minOperatorKeyBytes = 16

var nameForm = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

var logLevels = []string{"debug", "info", "warn", "error"}

// Problem is one fault in the settings, with its remedy.
type Problem struct {
	Setting string
	Message string
	Remedy  string
}

// Problems is every fault found in the settings. It is an error.
type Problems []Problem

// Error lists all faults, one a line.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, one := range p {
		lines = append(lines, fmt.Sprintf("--%s: %s; %s", one.Setting, one.Message, one.Remedy))
	}
	return strings.Join(lines, "\n")
}

type checker struct{ found Problems }

func (c *checker) add(setting, remedy, format string, args ...any) {
	c.found = append(c.found, Problem{Setting: setting, Message: fmt.Sprintf(format, args...), Remedy: remedy})
}

func (c *checker) name(setting, value string) {
	if !nameForm.MatchString(value) {
		c.add(setting, "use 1 to 63 lower-case letters, digits and hyphens", "%q is not a name", value)
	}
}

func (c *checker) addr(setting, value string) netip.AddrPort {
	a, err := netip.ParseAddrPort(value)
	if err != nil {
		c.add(setting, "give an IP number and a port, such as 10.0.0.7:8080", "%q is not IP:port", value)
	}
	return a
}

func (c *checker) seeds(value string) []Seed {
	var seeds []Seed
	for one := range strings.SplitSeq(value, ",") {
		if one == "" {
			continue
		}
		id, addr, _ := strings.Cut(one, "=")
		c.name("peer-seeds", id)
		seeds = append(seeds, Seed{Host: id, Addr: c.addr("peer-seeds", addr)})
	}
	return seeds
}

func (c *checker) positive(setting string, value int64) {
	if value <= 0 {
		c.add(setting, "give a number above zero", "%d is not positive", value)
	}
}

// Check verifies all settings and returns the parsed addresses. The error is
// of type Problems and names every fault.
func (s *Settings) Check() (Addrs, error) {
	c := &checker{}
	c.name("host-id", s.Host.ID)
	c.name("partner", s.Host.Partner)
	c.name("failure-domain", s.Host.Domain)
	addrs := Addrs{
		Callers:   c.addr("callers-addr", s.Listen.Callers),
		Peers:     c.addr("peers-addr", s.Listen.Peers),
		Operators: c.addr("operators-addr", s.Listen.Operators),
		Platform:  c.addr("platform-addr", s.Platform.Addr),
		Seeds:     c.seeds(s.Peer.Seeds),
	}
	c.distinct(addrs)
	c.partners(s)
	c.credentials(s, addrs)
	c.limits(s)
	if len(c.found) > 0 {
		return Addrs{}, c.found
	}
	return addrs, nil
}

func (c *checker) distinct(a Addrs) {
	if a.Operators.IsValid() && a.Operators.Port() != 0 && (a.Operators == a.Callers || a.Operators == a.Peers) {
		c.add("operators-addr", "give operators a port of their own", "%s is used twice", a.Operators)
	}
	if a.Peers.IsValid() && a.Peers.Port() != 0 && a.Peers == a.Callers {
		c.add("peers-addr", "give peers a port of their own", "%s is used twice", a.Peers)
	}
}

func (c *checker) partners(s *Settings) {
	partners := s.Platform.Partners()
	for _, p := range partners {
		c.name("rules-of", p)
	}
	if !slices.Contains(partners, s.Host.Partner) {
		c.add("rules-of", "add this host's partner", "partner %q is not among %v", s.Host.Partner, partners)
	}
}

func (c *checker) credentials(s *Settings, a Addrs) {
	if len(s.Operator.Key) < minOperatorKeyBytes {
		c.add("operator-key", "set PLANTAINRUN_OPERATOR_KEY to a random key", "the key has fewer than %d bytes", minOperatorKeyBytes)
	}
	files := s.Peer.CAFile != "" && s.Peer.CertFile != "" && s.Peer.KeyFile != ""
	switch {
	case s.Peer.Plaintext && a.Peers.IsValid() && !a.Peers.Addr().IsLoopback():
		c.add("peer-plain", "give --peer-ca, --peer-cert and --peer-key instead", "%s is not a loopback address", a.Peers)
	case s.Peer.Plaintext && (s.Peer.CAFile != "" || s.Peer.CertFile != "" || s.Peer.KeyFile != ""):
		c.add("peer-plain", "give either --peer-plain or the certificate files", "both are set")
	case !s.Peer.Plaintext && !files:
		c.add("peer-cert", "give --peer-ca, --peer-cert and --peer-key, or --peer-plain on loopback", "credentials between hosts are missing")
	}
}

func (c *checker) limits(s *Settings) {
	c.positive("max-body-bytes", s.Limits.MaxBodyBytes)
	c.positive("max-output-tokens", int64(s.Limits.MaxOutputTokens))
	c.positive("default-time-limit", int64(s.Limits.DefaultTimeLimit))
	c.positive("ticket-lifetime", int64(s.Limits.TicketLifetime))
	c.positive("ledger-entries", int64(s.Limits.MaxLedgerEntries))
	c.positive("ledger-bytes", s.Limits.MaxLedgerBytes)
	c.positive("drain-timeout", int64(s.Drain.Timeout))
	c.positive("first-wait", int64(s.Platform.InitialSyncTimeout))
	if s.Platform.ReadsPerSecond <= 0 {
		c.add("platform-reads", "give a rate above zero", "%v is not positive", s.Platform.ReadsPerSecond)
	}
	if s.Drain.BalancerWait < 0 {
		c.add("balancer-wait", "give zero or more", "%s is negative", s.Drain.BalancerWait)
	}
	if !slices.Contains(logLevels, s.Log.Level) {
		c.add("log-level", "give one of debug, info, warn, error", "%q is not a level", s.Log.Level)
	}
	if s.Limits.MaxTimeLimit < s.Limits.DefaultTimeLimit {
		c.add("max-time-limit", "raise it or lower --default-time-limit", "%s is below the default of %s", s.Limits.MaxTimeLimit, s.Limits.DefaultTimeLimit)
	}
}
