package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/plantainrun/plantainrun/internal/loopback"
)

const (
	// readyTimeout is how long a host may take to become ready.
	readyTimeout = 20 * time.Second
	// pollInterval is the time between two looks at a state that is waited for.
	pollInterval = 50 * time.Millisecond
	// probeTimeout limits one readiness question.
	probeTimeout = time.Second
)

// lab holds what a case has started, and its record.
type lab struct {
	binary  string
	dir     string // temporary; settings and logs of the hosts
	trouble bool
	start   time.Time

	mu     sync.Mutex
	record *os.File
	hosts  []*host
}

func newLab(binary, recordPath string) (*lab, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "lab3-")
	if err != nil {
		return nil, errors.Join(err, record.Close())
	}
	l := &lab{binary: binary, dir: dir, trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), record: record}
	go l.awaitSignal()
	return l, nil
}

// awaitSignal ends the case, with its processes, when it is told to.
func (l *lab) awaitSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	received := <-signals
	l.note("could not run: %s", received)
	l.close()
	os.Exit(exitFailed)
}

// note writes a line of the record, and prints it.
func (l *lab) note(format string, args ...any) { fmt.Println(l.write(format, args...)) }

// write writes a line of the record, with the time since the start of the case.
func (l *lab) write(format string, args ...any) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	line := fmt.Sprintf("%7.3f ", time.Since(l.start).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(l.record, line)
	return line
}

// close ends the hosts and removes the temporary folder.
func (l *lab) close() {
	for _, h := range l.started() {
		h.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.dir) // a folder that is left does no harm
	}
	_ = l.record.Close() // all lines have been written
}

// started returns the hosts that are to be ended with the case.
func (l *lab) started() []*host {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.hosts)
}

// host is one entry host in its own process.
type host struct {
	name, zone                string
	callersAddr, readyAddr    string
	controlAddr, settingsPath string
	cmd                       *exec.Cmd
	exited                    chan struct{}
}

// settings are those of the smallest machine of the users' pages.
const settings = `node_name=%[1]s
role=entry
machine_class=edge
serves=edge,control
ip=%[9]s
zone=%[2]s
region=hokkaido
zones.sapporo=hokkaido
zones.asahikawa=hokkaido
zones.kushiro=hokkaido
bind.front=%[3]s
bind.ready=%[4]s
bind.control=%[5]s
internal_ports=%[6]s
seeds=%[7]s
bootstrap=true
limits.cpu_share=0.4
limits.cores=1
limits.memory_mb=284
limits.max_fds=4200
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,spans
fault_tolerance.machines=2
fault_tolerance.zones=1
fault_tolerance.regions=0
contract_bounds.seed_lag_s=3
contract_bounds.reuse_s=2
contract_bounds.stable_ms=3000
contract_bounds.ack_ms=4000
contract_bounds.sync_s=4
contract_bounds.drain_ms=2000
contract_bounds.grace_s=8
contract_bounds.loss_slack_ms=200
contract_bounds.config_apply_ms=2000
contract_bounds.back_ms=250
contract_bounds.skew_max_ms=5000
contract_bounds.strict_revoke=true
contract_bounds.revoke_ms=5000
contract_bounds.retry_ratio=0.2
contract_bounds.retry_window_s=10
contract_bounds.retry_slack=100
contract_bounds.recovery_s=12
contract_bounds.pass_ms=120
contract_bounds.retry_after_s=0
contract_bounds.stall_ms=1500
contract_bounds.hold_max_ms=20000
contract_bounds.free_ms=4000
contract_bounds.idle_max_ms=9000
provider.address=%[8]s
provider.form=read
provider.writes_per_s=400
provider.reads_per_s=2000
provider.history_s=20
provider.value_bytes=1048576
provider.ttl_min_ms=1000
`

var zones = []string{"sapporo", "asahikawa", "kushiro"}

// startHosts starts a host for each of the stores and waits until all are ready.
func (l *lab) startHosts(stores ...string) ([]*host, error) {
	var seeds []string
	for i := range stores {
		h := &host{name: fmt.Sprint("edge-", i+1), zone: zones[i%len(zones)]}
		for _, addr := range []*string{&h.callersAddr, &h.readyAddr, &h.controlAddr} {
			free, err := loopback.FreeAddr()
			if err != nil {
				return nil, err
			}
			*addr = free.String()
		}
		seeds = append(seeds, h.controlAddr)
		l.mu.Lock()
		l.hosts = append(l.hosts, h)
		l.mu.Unlock()
	}
	hosts := l.started()
	for i, h := range hosts {
		if err := l.startHost(h, stores[i], seeds); err != nil {
			return nil, err
		}
	}
	for _, h := range hosts {
		if err := h.awaitReady(); err != nil {
			return nil, err
		}
	}
	l.note("%d hosts are ready", len(hosts))
	return hosts, nil
}

func (l *lab) startHost(h *host, store string, seeds []string) error {
	ports, err := internalPorts()
	if err != nil {
		return err
	}
	ip, _, _ := strings.Cut(h.callersAddr, ":")
	text := fmt.Sprintf(settings, h.name, h.zone, h.callersAddr, h.readyAddr, h.controlAddr, ports, strings.Join(seeds, ","), store, ip)
	h.settingsPath = filepath.Join(l.dir, h.name+".conf")
	if err := os.WriteFile(h.settingsPath, []byte(text), 0o600); err != nil {
		return err
	}
	return l.run(h)
}

// run starts the process of a host, or starts it again.
func (l *lab) run(h *host) error {
	log, err := os.OpenFile(filepath.Join(l.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	h.cmd = exec.Command(l.binary, "edge")
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PLANTAINRUN_CONFIG=" + h.settingsPath}
	h.cmd.Stdout, h.cmd.Stderr = log, log
	if err := h.cmd.Start(); err != nil {
		return err
	}
	cmd, exited := h.cmd, make(chan struct{})
	h.exited = exited
	go func() {
		_ = cmd.Wait() // a process that was killed has no exit code
		close(exited)
	}()
	return nil
}

// internalPorts returns two free ports that follow each other.
func internalPorts() (string, error) {
	for {
		first, err := loopback.FreeAddr()
		if err != nil {
			return "", err
		}
		second, err := loopback.FreeAddr()
		if err != nil {
			return "", err
		}
		if second.Port() == first.Port()+1 {
			return fmt.Sprintf("%d,%d", first.Port(), second.Port()), nil
		}
	}
}

func (h *host) ready() bool {
	client := http.Client{Timeout: probeTimeout}
	resp, err := client.Get("http://" + h.readyAddr + "/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // nothing is read from it
	return resp.StatusCode == http.StatusOK
}

func (h *host) awaitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if h.ready() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", h.name)
}

func (h *host) kill() {
	if h.exited == nil {
		return
	}
	_ = h.cmd.Process.Signal(syscall.SIGKILL) // it may have ended
	<-h.exited
}

// dial connects to a host, with a limit for all that follows.
func dial(addr string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", addr, slashTimeout)
	if err != nil {
		return nil, err
	}
	return conn, conn.SetDeadline(time.Now().Add(slashTimeout))
}
