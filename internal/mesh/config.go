package mesh

import (
	"crypto/tls"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/plantainrun/plantainrun/coord/identity"
)

// Defaults of Config.
const (
	DefaultMaxMessageBytes   = 8 << 20
	DefaultHeartbeatInterval = 2 * time.Second
	DefaultHeartbeatTimeout  = 3 * time.Second
	DefaultDialTimeout       = 2 * time.Second
	DefaultOpenTimeout       = 2 * time.Second
	DefaultIdleTimeout       = 30 * time.Second
	DefaultMaxStreamsPerPeer = 1024
)

// Config is what a Mesh is made of. Zero values of the bounds take the defaults.
type Config struct {
	Self    identity.Incarnation
	Started time.Time // of this process; peers tell a host's processes apart by it. Zero: when New is called
	Domain  string
	Partner string
	Listen  netip.AddrPort
	// TLS comes from NewTLSConfig. Nil sends everything in plain text, which is allowed on
	// loopback addresses only.
	TLS    *tls.Config
	Logger *zap.Logger // nil: no log

	MaxMessageBytes   int
	MaxStreamsPerPeer int           // that one peer may have open here
	HeartbeatInterval time.Duration // between heartbeats on a connection
	HeartbeatTimeout  time.Duration // without any byte until a connection is closed
	DialTimeout       time.Duration // for TCP, TLS and hello together
	OpenTimeout       time.Duration // until the peer accepts a stream
	IdleTimeout       time.Duration // until an unused connection to a host that is no link closes

	// OnConnected is called, if set, after each new connection, in its own goroutine.
	OnConnected func(PeerInfo)
}

func (c *Config) setDefaults() {
	setDefault(&c.MaxMessageBytes, DefaultMaxMessageBytes)
	setDefault(&c.MaxStreamsPerPeer, DefaultMaxStreamsPerPeer)
	setDefault(&c.HeartbeatInterval, DefaultHeartbeatInterval)
	setDefault(&c.HeartbeatTimeout, DefaultHeartbeatTimeout)
	setDefault(&c.DialTimeout, DefaultDialTimeout)
	setDefault(&c.OpenTimeout, DefaultOpenTimeout)
	setDefault(&c.IdleTimeout, DefaultIdleTimeout)
	if c.Started.IsZero() {
		c.Started = time.Now()
	}
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (c *Config) validate() error {
	if c.Self.Host == "" {
		return eris.New("mesh: the host has no id; set the host id in the settings")
	}
	if c.TLS == nil && !c.Listen.Addr().IsLoopback() {
		return eris.Errorf("mesh: plain text on %s is refused; give a CA, a certificate and a key, or listen on a loopback address", c.Listen.Addr())
	}
	if c.TLS == nil {
		return nil
	}
	return validateTLS(c.TLS, c.Self.Host)
}
