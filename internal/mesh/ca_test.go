package mesh

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/url"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestCA is a certificate authority that signs host certificates for tests.
type TestCA struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

// NewTestCA returns a CA with a new key.
func NewTestCA(t testing.TB) *TestCA {
	g := gomega.NewWithT(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test CA"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	cert, err := x509.ParseCertificate(der)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return &TestCA{cert: cert, key: key, pem: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}
}

// issue returns the credentials of a host. With asURI, the certificate identifies the host by
// URI instead of DNS name.
func (ca *TestCA) issue(t testing.TB, host string, asURI bool) Credentials {
	g := gomega.NewWithT(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: host},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	if asURI {
		tmpl.URIs = []*url.URL{{Scheme: "plantainrun", Host: "host", Path: "/" + host}}
	} else {
		tmpl.DNSNames = []string{host}
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, ca.cert, &key.PublicKey, ca.key)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	keyDER, err := x509.MarshalECPrivateKey(key)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return Credentials{
		CA:   ca.pem,
		Cert: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		Key:  pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}),
	}
}

// TLSConfig returns the TLS configuration of a host with a newly issued certificate.
func (ca *TestCA) TLSConfig(t testing.TB, host string, asURI bool) *tls.Config {
	cfg, err := NewTLSConfig(ca.issue(t, host, asURI))
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	return cfg
}
