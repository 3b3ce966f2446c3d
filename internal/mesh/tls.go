package mesh

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"slices"

	"github.com/rotisserie/eris"
)

// HostURIPrefix followed by a host id is the URI that identifies the host in the subject
// alternative names of its certificate. A DNS name equal to the id is accepted as well.
const HostURIPrefix = "plantainrun://host/"

// Credentials holds the PEM-encoded certificates and private key of one host.
type Credentials struct {
	CA   []byte // certificates of the CAs that sign host certificates
	Cert []byte // the host's certificate, followed by its chain
	Key  []byte // the host's private key
}

// LoadCredentials reads the credentials from three PEM files.
func LoadCredentials(caFile, certFile, keyFile string) (Credentials, error) {
	var p Credentials
	for _, f := range []struct {
		path string
		dst  *[]byte
	}{{caFile, &p.CA}, {certFile, &p.Cert}, {keyFile, &p.Key}} {
		data, err := os.ReadFile(f.path)
		if err != nil {
			return Credentials{}, eris.Wrap(err, "mesh: cannot read a certificate or key file; correct its path in the settings")
		}
		*f.dst = data
	}
	return p, nil
}

// NewTLSConfig returns a configuration for mutual TLS 1.3 between hosts.
func NewTLSConfig(p Credentials) (*tls.Config, error) {
	cert, err := tls.X509KeyPair(p.Cert, p.Key)
	if err != nil {
		return nil, eris.Wrap(err, "mesh: the certificate and the key do not match; give a matching pair")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(p.CA) {
		return nil, eris.New("mesh: the CA data contains no certificate; give it in PEM form")
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}, nil
}

// validateTLS rejects configurations that would not authenticate the peer, or whose
// certificate is not for this host.
func validateTLS(c *tls.Config, self string) error {
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
	if !containsHost(certificateNames(leaf), self) {
		return eris.Errorf("mesh: the certificate doesn't name host %q; issue one with the DNS name %q or the URI %q", self, self, HostURIPrefix+self)
	}
	return nil
}

// clientTLSConfig returns a configuration that verifies that the dialled peer is host. Host
// ids need not be DNS names, so the standard name check is replaced by one of the host id.
func clientTLSConfig(base *tls.Config, host string) *tls.Config {
	c := base.Clone()
	c.InsecureSkipVerify = true
	c.VerifyConnection = func(state tls.ConnectionState) error {
		if err := verifyChain(state, base.RootCAs); err != nil {
			return err
		}
		if !containsHost(peerCertificateNames(state), host) {
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

func peerCertificateNames(state tls.ConnectionState) []string {
	if len(state.PeerCertificates) == 0 {
		return nil
	}
	return certificateNames(state.PeerCertificates[0])
}

// certificateNames returns the DNS names and URIs of a certificate.
func certificateNames(leaf *x509.Certificate) []string {
	names := slices.Clone(leaf.DNSNames)
	for _, uri := range leaf.URIs {
		names = append(names, uri.String())
	}
	return names
}

// containsHost reports whether the names of a certificate include the host, as a DNS name or URI.
func containsHost(certNames []string, host string) bool {
	return host != "" && (slices.Contains(certNames, host) || slices.Contains(certNames, HostURIPrefix+host))
}
