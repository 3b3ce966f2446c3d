package mesh

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"slices"

	"github.com/rotisserie/eris"
)

// HostURIPrefix starts the URI in a certificate's subject alternative names that
// gives a host's id. A DNS name equal to the id does as well.
const HostURIPrefix = "plantainrun://host/"

// PEM holds the keys of one host, PEM-encoded.
type PEM struct {
	CA   []byte // certificates of the authorities that sign hosts
	Cert []byte // this host's certificate and its chain
	Key  []byte // this host's private key
}

// LoadCredentials reads the three files.
func LoadCredentials(caFile, certFile, keyFile string) (PEM, error) {
	var p PEM
	for _, f := range []struct {
		path string
		to   *[]byte
	}{{caFile, &p.CA}, {certFile, &p.Cert}, {keyFile, &p.Key}} {
		data, err := os.ReadFile(f.path)
		if err != nil {
			return PEM{}, eris.Wrap(err, "mesh: correct the path in the settings")
		}
		*f.to = data
	}
	return p, nil
}

// NewTLSConfig returns the configuration for mutual TLS 1.3 between hosts.
func NewTLSConfig(p PEM) (*tls.Config, error) {
	cert, err := tls.X509KeyPair(p.Cert, p.Key)
	if err != nil {
		return nil, eris.Wrap(err, "mesh: give the certificate and key that belong together")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(p.CA) {
		return nil, eris.New("mesh: the CA holds no certificate; give it in PEM form")
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}, nil
}

// checkTLS refuses configurations that would not prove who the peer is.
func checkTLS(c *tls.Config, self string) error {
	const remedy = "use NewTLSConfig"
	switch {
	case c.MinVersion < tls.VersionTLS13:
		return eris.New("mesh: TLS below 1.3 is refused; " + remedy)
	case c.ClientAuth != tls.RequireAndVerifyClientCert || c.ClientCAs == nil || c.RootCAs == nil:
		return eris.New("mesh: both sides must verify each other's certificate; " + remedy)
	case len(c.Certificates) == 0:
		return eris.New("mesh: the host has no certificate; " + remedy)
	}
	leaf, err := x509.ParseCertificate(c.Certificates[0].Certificate[0])
	if err != nil {
		return err
	}
	if !names(leafHosts(leaf), self) {
		return eris.Errorf("mesh: the certificate doesn't name host %q; issue one with the DNS name %q or the URI %q", self, self, HostURIPrefix+self)
	}
	return nil
}

// clientConfig verifies that the dialled peer is host. Host ids are no DNS names in
// general, so the verification of the name is done here.
func clientConfig(base *tls.Config, host string) *tls.Config {
	c := base.Clone()
	c.InsecureSkipVerify = true
	c.VerifyConnection = func(state tls.ConnectionState) error {
		if err := verifyChain(state, base.RootCAs); err != nil {
			return err
		}
		if !names(certificateHosts(state), host) {
			return eris.Errorf("the certificate doesn't name host %q", host)
		}
		return nil
	}
	return c
}

func verifyChain(state tls.ConnectionState, roots *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return eris.New("the peer has no certificate")
	}
	opts := x509.VerifyOptions{Roots: roots, Intermediates: x509.NewCertPool(), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}}
	for _, c := range state.PeerCertificates[1:] {
		opts.Intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(opts)
	return err
}

func certificateHosts(state tls.ConnectionState) []string {
	if len(state.PeerCertificates) == 0 {
		return nil
	}
	return leafHosts(state.PeerCertificates[0])
}

func leafHosts(leaf *x509.Certificate) []string {
	hosts := slices.Clone(leaf.DNSNames)
	for _, uri := range leaf.URIs {
		hosts = append(hosts, uri.String())
	}
	return hosts
}

// names reports whether the names of a certificate contain the host, by DNS name or URI.
func names(certified []string, host string) bool {
	return host != "" && (slices.Contains(certified, host) || slices.Contains(certified, HostURIPrefix+host))
}
