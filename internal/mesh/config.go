package mesh

import (
	"crypto/tls"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/plantainrun/plantainrun/coord/identity"
	"github.com/plantainrun/plantainrun/internal/membudget"
)

// Defaults for the limits and timeouts of Config.
const (
	DefaultMaxMessageBytes   = 8 << 20
	DefaultHeartbeatInterval = 2 * time.Second
	DefaultHeartbeatTimeout  = 3 * time.Second
	DefaultDialTimeout       = 2 * time.Second
	DefaultOpenTimeout       = 2 * time.Second
	DefaultIdleTimeout       = 30 * time.Second
	DefaultMaxStreamsPerPeer = 1024
)

// Config configures a Mesh. A limit or timeout that is zero takes its default.
type Config struct {
	Self identity.Incarnation
	// Started is when this process started; zero means when New is called. Peers use it to
	// tell successive processes of a host apart.
	Started time.Time
	Domain  string
	Partner string
	Listen  netip.AddrPort
	// TLS comes from NewTLSConfig. If it is nil, connections are in plain text, which is allowed
	// on loopback addresses only, unless PlainText is set.
	TLS *tls.Config
	// PlainText allows connections without TLS to any address, for networks that give
	// hosts no certificates.
	PlainText bool
	Logger    *zap.Logger // nil disables logging

	// Memory accounts for messages of peers; nil for no limit.
	Memory *membudget.Budget

	MaxMessageBytes   int
	MaxStreamsPerPeer int           // maximum number of streams that one peer may have open to this host
	HeartbeatInterval time.Duration // time between heartbeats on a connection
	HeartbeatTimeout  time.Duration // how long to wait for any byte after a heartbeat before the connection is closed
	DialTimeout       time.Duration // bounds the TCP connect, the TLS handshake and the hello exchange together
	OpenTimeout       time.Duration // how long to wait for the peer to accept a stream
	IdleTimeout       time.Duration // how long a connection to a host that is not a link may be unused before it is closed

	// OnConnected, if set, is called in its own goroutine after each new connection.
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
		return eris.New("mesh: the host id is empty; set it in the settings")
	}
	if c.TLS == nil && !c.PlainText && !c.Listen.Addr().IsLoopback() {
		return eris.Errorf("mesh: plain text on %s is refused; give a CA, a certificate and a key, or listen on a loopback address", c.Listen.Addr())
	}
	if c.TLS == nil {
		return nil
	}
	return validateTLS(c.TLS, c.Self.Host)
}
