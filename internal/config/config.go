// Package config defines and validates the settings of an entry host. They are
// read from flags and environment variables, never from a file, and validated
// together before any component starts.
package config

import (
	"net/netip"
	"strings"
	"time"
)

// Host identifies the process, its partner and its location.
type Host struct {
	ID      string `long:"host-id" env:"HOST_ID" description:"id of this host on the host list"`
	Partner string `long:"partner" env:"PARTNER" description:"partner that this host belongs to"`
	Domain  string `long:"failure-domain" env:"FAILURE_DOMAIN" description:"failure domain of this host"`
	Region  string `long:"region" env:"REGION" description:"region of the failure domain"`
}

// Listen holds the listen addresses of the process, as IP:port.
type Listen struct {
	Callers   string `long:"callers-addr" env:"CALLERS_ADDR" default:"127.0.0.1:8080" description:"IP:port for callers"`
	Peers     string `long:"peers-addr" env:"PEERS_ADDR" default:"127.0.0.1:8081" description:"IP:port for other hosts"`
	Operators string `long:"operators-addr" env:"OPERATORS_ADDR" default:"127.0.0.1:8082" description:"IP:port for operators and the balancer's probes"`
}

// Platform configures access to the configuration service.
type Platform struct {
	Addr               string        `long:"platform-addr" env:"PLATFORM_ADDR" description:"IP:port of the configuration service"`
	RulePartners       string        `long:"rules-of" env:"RULES_OF" default:"kushiro,aarhus" description:"partners whose rules are read, separated by commas"`
	ReadsPerSecond     float64       `long:"platform-reads" env:"PLATFORM_READS" default:"8" description:"most reads a second by this host"`
	InitialSyncTimeout time.Duration `long:"first-wait" env:"FIRST_WAIT" default:"10s" description:"how long a new host waits for knowledge before it serves what it has"`
}

// Peer configures connections between hosts: TLS credentials and the seeds for
// discovery.
type Peer struct {
	CAFile    string `long:"peer-ca" env:"PEER_CA" description:"file with the CA certificate of the hosts (PEM)"`
	CertFile  string `long:"peer-cert" env:"PEER_CERT" description:"file with this host's certificate (PEM)"`
	KeyFile   string `long:"peer-key" env:"PEER_KEY" description:"file with this host's private key (PEM)"`
	Seeds     string `long:"peer-seeds" env:"PEER_SEEDS" description:"hosts to ask while no host list is known, as id=IP:port, separated by commas"`
	Plaintext bool   `long:"peer-plain" env:"PEER_PLAIN" description:"talk to other hosts without TLS; loopback addresses only"`
}

// Operator holds the bearer key that protects the operators' interface.
type Operator struct {
	Key string `long:"operator-key" env:"OPERATOR_KEY" description:"bearer key of the operators' interface"`
}

// Limits bounds the size and duration of requests and the memory of the ticket
// ledger.
type Limits struct {
	MaxBodyBytes     int64         `long:"max-body-bytes" env:"MAX_BODY_BYTES" default:"8388608" description:"largest body of a caller's request, in bytes"`
	DefaultTimeLimit time.Duration `long:"default-time-limit" env:"DEFAULT_TIME_LIMIT" default:"60s" description:"time limit where neither caller nor rules give one"`
	MaxTimeLimit     time.Duration `long:"max-time-limit" env:"MAX_TIME_LIMIT" default:"15m" description:"longest time limit where no rule caps it"`
	MaxOutputTokens  int           `long:"max-output-tokens" env:"MAX_OUTPUT_TOKENS" default:"8192" description:"largest output limit of a request, in tokens"`
	TicketLifetime   time.Duration `long:"ticket-lifetime" env:"TICKET_LIFETIME" default:"10m" description:"how long a ticket may be used"`
	MaxLedgerEntries int           `long:"ledger-entries" env:"LEDGER_ENTRIES" default:"50000" description:"most tickets that this host remembers"`
	MaxConnections   int           `long:"max-connections" env:"MAX_CONNECTIONS" default:"4096" description:"most connections that callers may have open"`
	MaxHeldBytes     int64         `long:"held-bytes" env:"HELD_BYTES" default:"536870912" description:"most bytes of callers' heads and bodies that are held at once"`
	MaxLedgerBytes   int64         `long:"ledger-bytes" env:"LEDGER_BYTES" default:"33554432" description:"most bytes of recorded answers"`
}

// Drain bounds a graceful shutdown.
type Drain struct {
	BalancerWait time.Duration `long:"balancer-wait" env:"BALANCER_WAIT" default:"5s" description:"how long the balancer may need to notice that the host is not ready"`
	Timeout      time.Duration `long:"drain-timeout" env:"DRAIN_TIMEOUT" default:"20m" description:"longest wait for requests in progress"`
}

// Log sets the minimum log level.
type Log struct {
	Level string `long:"log-level" env:"LOG_LEVEL" default:"info" description:"lowest level that is logged: debug, info, warn or error"`
}

// Settings are all settings of an entry host. Each flag has an environment
// variable of the same name in upper case with the prefix PLANTAINRUN_.
type Settings struct {
	Host     Host     `group:"host" env-namespace:"PLANTAINRUN"`
	Listen   Listen   `group:"listen" env-namespace:"PLANTAINRUN"`
	Platform Platform `group:"platform" env-namespace:"PLANTAINRUN"`
	Peer     Peer     `group:"peers" env-namespace:"PLANTAINRUN"`
	Operator Operator `group:"operator" env-namespace:"PLANTAINRUN"`
	Limits   Limits   `group:"limits" env-namespace:"PLANTAINRUN"`
	Drain    Drain    `group:"drain" env-namespace:"PLANTAINRUN"`
	Log      Log      `group:"log" env-namespace:"PLANTAINRUN"`
}

// Partners returns the partners whose rules the host reads.
func (p *Platform) Partners() []string { return strings.Split(p.RulePartners, ",") }

// Addrs holds the parsed addresses of Settings.
type Addrs struct {
	Callers, Peers, Operators, Platform netip.AddrPort
	Seeds                               []Seed
}

// Seed is a host that is contacted for discovery while no host list is known.
type Seed struct {
	Host string
	Addr netip.AddrPort
}
