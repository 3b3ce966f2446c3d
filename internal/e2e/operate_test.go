package e2e_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
)

// A thousand successful requests write no lines to the log and appear only in the
// metrics.
func TestSuccessfulRequestsWriteNoLogLines(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(t, 1, 1, "--answer-tokens=1", "--decode-interval=1ms")
	h := c.hosts[0]
	_, err := prompt(h, "the first one", 1, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	// The host logs each published value after it is in force, so the first prompt may
	// come before the last of these lines.
	g.Eventually(func() int { return strings.Count(string(h.Err.Contents()), `"msg":"in force"`) }, eventTimeout).Should(gomega.Equal(publishedValues))
	before := string(h.Err.Contents())
	for i := range 1000 {
		a, err := prompt(h, fmt.Sprint("question ", i), 1, 0)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(a.complete).To(gomega.BeTrue(), "%+v", a)
	}
	g.Expect(strings.TrimPrefix(string(h.Err.Contents()), before)).To(gomega.BeEmpty())
	metrics := h.metrics(t)
	g.Expect(metrics).To(gomega.ContainSubstring(`plantainrun_first_token_seconds_count{class="short",partner="kushiro"} 1001`))
	g.Expect(metrics).To(gomega.ContainSubstring(`plantainrun_slowdown_ratio_count{class="short",partner="kushiro"} 1001`))
	g.Expect(metrics).To(gomega.ContainSubstring(`plantainrun_attempts_total{outcome="done",target="sapporo-engine-1"} 1001`))
}

func (h *host) metrics(t testing.TB) string {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+h.operators.String()+"/metrics", nil)
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+operatorKey)
	r, err := readReply(req)
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	return r.body
}

// The operator interface requires its key and is not served on the listener for
// callers.
func TestOperatorInterfaceIsAuthenticatedAndSeparate(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(t, 1, 1)
	h := c.hosts[0]
	for _, path := range []string{"/metrics", "/v1/status", "/v1/audit"} {
		resp, err := http.Get("http://" + h.operators.String() + path)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		resp.Body.Close()
		g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusUnauthorized), path)
		resp, err = http.Get(h.url(path))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		resp.Body.Close()
		g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusNotFound), path)
	}
}

// Hosts authenticate each other with certificates. A host whose certificate was
// signed by another authority cannot connect, so tickets that the others issued
// cannot be used through it.
func TestHostsRejectUntrustedCertificates(t *testing.T) {
	g := gomega.NewWithT(t)
	trustedCA, untrustedCA := newAuthority(t), newAuthority(t)
	c := newClusterWithoutHosts(t, 3, 1)
	for i, h := range c.hosts {
		authority := trustedCA
		if i == 2 {
			authority = untrustedCA
		}
		h.start(t, authority.flags(t, h.id)...)
	}
	for _, h := range c.hosts {
		h.waitReady(t)
	}
	ticket := newTicket(t, c.hosts[0], "seat 1")
	g.Eventually(func() int { return statusOf(callReservations(c.hosts[1], ticket, "seat 1")) }, eventTimeout).Should(gomega.Equal(http.StatusCreated))
	untrusted, err := callReservations(c.hosts[2], ticket, "seat 1")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(untrusted.err.Kind).To(gomega.Equal("peer_unreachable"), untrusted.body)
	g.Expect(c.hosts[0].run(t, "status")).NotTo(gomega.MatchRegexp(`sapporo-3@\S+ +up`))
}

func TestPlaintextPeersRequireLoopback(t *testing.T) {
	session := startProcess(t, "serve", "--host-id=a", "--partner=kushiro", "--failure-domain=d",
		"--platform-addr=127.0.0.1:1", "--peers-addr=192.0.2.1:7000", "--peer-plain")
	g := gomega.NewWithT(t)
	g.Eventually(session, startTimeout).Should(gexec.Exit(2))
	g.Expect(string(session.Err.Contents())).To(gomega.ContainSubstring("not a loopback address"))
}

func statusOf(r reply, err error) int {
	if err != nil {
		return 0
	}
	return r.status
}

// authority is a certificate authority that signs the certificates of hosts.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	dir  string
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{dir: t.TempDir()}
	a.cert = &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "hosts"}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	a.key = a.sign(t, "ca", a.cert, nil)
	return a
}

// sign creates a key and a certificate, writes them to NAME.key and NAME.pem, and
// returns the key. Without a signer, the certificate is self-signed.
func (a *authority) sign(t *testing.T, name string, template *x509.Certificate, signer *ecdsa.PrivateKey) *ecdsa.PrivateKey {
	t.Helper()
	g := gomega.NewWithT(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	if signer == nil {
		signer = key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, signer)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	a.writePEM(t, name+".pem", "CERTIFICATE", der)
	a.writePEM(t, name+".key", "PRIVATE KEY", raw)
	return key
}

func (a *authority) writePEM(t *testing.T, name, kind string, der []byte) {
	t.Helper()
	body := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	gomega.NewWithT(t).Expect(os.WriteFile(filepath.Join(a.dir, name), body, 0o600)).To(gomega.Succeed())
}

// flags creates a certificate for the host and returns the flags that use it.
func (a *authority) flags(t *testing.T, id string) []string {
	t.Helper()
	a.sign(t, id, &x509.Certificate{
		SerialNumber: big.NewInt(2), DNSNames: []string{id}, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage: x509.KeyUsageDigitalSignature, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}, a.key)
	file := func(name string) string { return filepath.Join(a.dir, name) }
	return []string{"--peer-ca=" + file("ca.pem"), "--peer-cert=" + file(id+".pem"), "--peer-key=" + file(id+".key")}
}
