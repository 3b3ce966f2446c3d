package e2e_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"github.com/onsi/gomega/gexec"

	"github.com/plantainrun/plantainrun/internal/testbinary"
	"github.com/plantainrun/plantainrun/internal/topology"
)

// The timeouts are long so that a slow or busy machine does not fail a test.
const (
	startTimeout = 30 * time.Second
	eventTimeout = 40 * time.Second
)

const operatorKey = "0123456789abcdef-e2e"

var binary string

func TestMain(m *testing.M) {
	code := testbinary.BuildAndRun(m, &binary)
	gexec.Kill()
	os.Exit(code)
}

// process is a stand-in that runs in a process of its own, and its address.
type process struct {
	*gexec.Session
	addr netip.AddrPort
}

var listenPattern = regexp.MustCompile(`listening on (\S+)`)

// startProcess runs the binary and kills it at the end of the test. It resumes the
// process first, in case the test has left it suspended.
func startProcess(t testing.TB, args ...string) *gexec.Session {
	t.Helper()
	g := gomega.NewWithT(t)
	out := io.Discard
	if testing.Verbose() {
		out = os.Stderr
	}
	cmd := exec.Command(binary, args...)
	cmd.Env = append(os.Environ(), "PLANTAINRUN_OPERATOR_KEY="+operatorKey)
	session, err := gexec.Start(cmd, nil, out)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() {
		session.Signal(syscall.SIGCONT)
		<-session.Kill().Exited
	})
	return session
}

// startStandin starts a stand-in of the kind and returns once it listens.
func startStandin(t testing.TB, kind string, args ...string) process {
	t.Helper()
	g := gomega.NewWithT(t)
	// An engine that crashes closes its port for a while and must get it back.
	session := startProcess(t, append([]string{"standin", kind, "--addr=" + freeAddr(t).String()}, args...)...)
	g.Eventually(session.Out, startTimeout).Should(gbytes.Say("listening on"))
	found := listenPattern.FindSubmatch(session.Out.Contents())
	return process{Session: session, addr: netip.MustParseAddrPort(string(found[1]))}
}

// host is an entry host that runs in a process of its own. It keeps its addresses
// across restarts.
type host struct {
	*gexec.Session
	id, domain, partner       string
	callers, peers, operators netip.AddrPort
	platform                  netip.AddrPort
}

func (h *host) url(path string) string { return "http://" + h.callers.String() + path }

// start starts or restarts the host. Peers use plaintext connections unless extra
// flags are given.
func (h *host) start(t testing.TB, extra ...string) {
	t.Helper()
	args := append([]string{
		"serve", "--host-id=" + h.id, "--partner=" + h.partner, "--failure-domain=" + h.domain,
		"--callers-addr=" + h.callers.String(), "--peers-addr=" + h.peers.String(), "--operators-addr=" + h.operators.String(),
		"--platform-addr=" + h.platform.String(), "--balancer-wait=200ms", "--first-wait=1s",
	}, extra...)
	if len(extra) == 0 {
		args = append(args, "--peer-plain")
	}
	h.Session = startProcess(t, args...)
}

func (h *host) waitReady(t testing.TB) {
	t.Helper()
	gomega.NewWithT(t).Eventually(h.readiness, eventTimeout, 50*time.Millisecond).Should(gomega.Equal("ready"), "host %s", h.id)
}

// readiness returns "ready", or the reason why the host is not ready.
func (h *host) readiness() string {
	resp, err := http.Get("http://" + h.operators.String() + "/readyz")
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	return strings.TrimSpace(string(body))
}

// run runs a client command against the host's operator interface and returns its
// standard output. The command has to succeed.
func (h *host) run(t testing.TB, args ...string) string {
	t.Helper()
	args = append(args, "--operators-addr="+h.operators.String())
	session := startProcess(t, args...)
	gomega.NewWithT(t).Eventually(session, startTimeout).Should(gexec.Exit(0), string(session.Err.Contents()))
	return string(session.Out.Contents())
}

// cluster is a complete system in which each component runs in its own process.
type cluster struct {
	platform process
	engines  []process
	services []process
	hosts    []*host

	targets []topology.Target
}

const (
	partner     = "kushiro"
	callerKey   = "kushiro.e2e-key"
	modelName   = "assistant"
	serviceName = "enrolment"
)

// newCluster starts a platform, a service, engines and hosts in failure domain
// "sapporo", and waits until all hosts are ready.
func newCluster(t testing.TB, hosts, engines int, engineArgs ...string) *cluster {
	t.Helper()
	c := newClusterWithoutHosts(t, hosts, engines, engineArgs...)
	for _, h := range c.hosts {
		h.start(t)
	}
	for _, h := range c.hosts {
		h.waitReady(t)
	}
	return c
}

// newClusterWithoutHosts starts the stand-ins of a cluster and publishes its
// configuration, but does not start the hosts.
func newClusterWithoutHosts(t testing.TB, hosts, engines int, engineArgs ...string) *cluster {
	t.Helper()
	c := &cluster{platform: startStandin(t, "platform")}
	for i := range engines {
		id := fmt.Sprintf("sapporo-engine-%d", i+1)
		e := startStandin(t, "engine", append([]string{"--id=" + id, "--model=" + modelName}, engineArgs...)...)
		c.engines = append(c.engines, e)
		c.targets = append(c.targets, topology.Target{
			ID: id, Kind: topology.KindEngine, Partner: partner, Domain: "sapporo", State: topology.StateLive,
			Addr: e.addr, Model: modelName, MemoryTokens: 400_000,
		})
	}
	s := startStandin(t, "service")
	c.services = append(c.services, s)
	c.targets = append(c.targets, topology.Target{
		ID: "sapporo-records-1", Kind: topology.KindService, Partner: partner, Domain: "sapporo",
		State: topology.StateLive, Addr: s.addr, Model: serviceName,
	})
	for i := range hosts {
		h := &host{id: fmt.Sprintf("sapporo-%d", i+1), domain: "sapporo", partner: partner, platform: c.platform.addr}
		h.callers, h.peers, h.operators = freeAddr(t), freeAddr(t), freeAddr(t)
		c.hosts = append(c.hosts, h)
	}
	c.publishAll(t)
	return c
}

// publishedValues is the number of values that publishAll publishes.
const publishedValues = 5

func (c *cluster) publishAll(t testing.TB) {
	t.Helper()
	var list topology.HostList
	for _, h := range c.hosts {
		list.Hosts = append(list.Hosts, topology.Host{ID: h.id, Partner: h.partner, Domain: h.domain, State: topology.StateLive, PeerAddr: h.peers})
	}
	c.publish(t, "hosts", marshal(t, list))
	c.publish(t, "targets", marshal(t, topology.TargetList{Targets: c.targets}))
	c.publish(t, "plan", marshal(t, topology.Plan{}))
	c.publish(t, "rules/kushiro", validRules("30s"))
	c.publish(t, "rules/aarhus", "partner aarhus\nobjective slowdown # e2e: empty\nend 1\n")
}

// validRules returns a valid rules file with the time limit for short prompts.
func validRules(short string) string {
	return strings.Join([]string{
		"partner kushiro",
		"time-limit short " + short + " # e2e: tests",
		"organisation kushiro/school key=sha256:" + keyHash(callerKey) + " # e2e: tests",
		"model assistant targets=sapporo-engine-* # e2e: tests",
		"service enrolment POST /reservations once # e2e: tests",
		"end 4", "",
	}, "\n")
}

func (c *cluster) publish(t testing.TB, key, body string) {
	t.Helper()
	g := gomega.NewWithT(t)
	req, err := http.NewRequest(http.MethodPut, "http://"+c.platform.addr.String()+"/control/values/"+key, strings.NewReader(body))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	resp, err := http.DefaultClient.Do(req)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	resp.Body.Close()
	g.Expect(resp.StatusCode).To(gomega.BeNumerically("<", 300))
}

func marshal(t testing.TB, v any) string {
	t.Helper()
	body, err := json.Marshal(v)
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	return string(body)
}

func exampleRules(name string) string { return filepath.Join("..", "..", "examples", "rules", name) }

func jsonBody(t testing.TB, v any) io.Reader { return strings.NewReader(marshal(t, v)) }
