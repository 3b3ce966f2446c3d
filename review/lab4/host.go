package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	program      = "target/plantainrun" // as the deploy file runs it
	readyTimeout = 20 * time.Second
	pollInterval = 50 * time.Millisecond
)

var zones = []string{"north", "south", "west"}

// host is one machine of the system.
type host struct {
	name, zone, front, ready, control string
	internal                          int // first of two free ports
	cmd                               *exec.Cmd
	log                               *os.File
	store                             string
	seeds                             []string
}

// takenPorts keeps freePort from giving a port twice.
var takenPorts = make(map[int]bool)

// Ports are taken from below those that the system gives to channels of its own choice, so that
// they stay free while a machine is down.
const (
	firstPort = 12000
	lastPort  = 32000
)

func freePort() int {
	for {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if takenPorts[port] || !isFree(port) {
			continue
		}
		takenPorts[port] = true
		return port
	}
}

func isFree(port int) bool {
	listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
	if err != nil {
		return false
	}
	_ = listener.Close()
	return true
}

// freePair returns the first of two free ports that follow each other.
func freePair() int {
	for {
		port := freePort()
		if takenPorts[port+1] || !isFree(port+1) {
			continue
		}
		takenPorts[port+1] = true
		return port
	}
}

func freeAddr() string { return fmt.Sprintf("127.0.0.1:%d", freePort()) }

// settings of a small deployment, as the pages show them.
const settingsText = `node_name=%[1]s
role=entry
machine_class=edge
serves=edge,control
ip=127.0.0.1
zone=%[2]s
region=hokkaido
zones.north=hokkaido
zones.south=hokkaido
zones.west=hokkaido
bind.front=%[3]s
bind.ready=%[4]s
bind.control=%[5]s
internal_ports=%[6]d,%[7]d
seeds=%[8]s
bootstrap=true
limits.cpu_share=0.4
limits.cores=1
limits.memory_mb=284
limits.max_fds=4200
limits.link_mbps=1000.0
discovery=platform
entry=vip
heartbeat_ms=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,spans
fault_tolerance.machines=2
fault_tolerance.zones=1
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
contract_bounds.stall_ms=1500
contract_bounds.hold_max_ms=20000
contract_bounds.free_ms=4000
contract_bounds.idle_max_ms=9000
provider.address=%[9]s
provider.form=read
provider.reads_per_s=2000
provider.history_s=20
`

// startHosts starts one machine for each address of a store, in turn in the zones, and waits
// until they are ready and know each other.
func startHosts(dir string, stores []string) ([]*host, error) {
	return startHostsIn(dir, stores, zones)
}

// startHostsIn starts machines in the given zones in turn.
func startHostsIn(dir string, stores, zones []string) ([]*host, error) {
	var hosts []*host
	var seeds []string
	inZone := make(map[string]int)
	for i := range stores {
		zone := zones[i%len(zones)]
		inZone[zone]++
		h := &host{name: fmt.Sprintf("edge-%s-%d", zone, inZone[zone]), zone: zone}
		h.front, h.ready, h.control, h.internal = freeAddr(), freeAddr(), freeAddr(), freePair()
		seeds = append(seeds, h.control)
		hosts = append(hosts, h)
	}
	seeds = seeds[:min(len(seeds), 3)]
	for i, h := range hosts {
		h.store, h.seeds = stores[i], seeds
		if err := h.start(dir); err != nil {
			return hosts, err
		}
	}
	for _, h := range hosts {
		if err := h.awaitReady(); err != nil {
			return hosts, err
		}
	}
	time.Sleep(3 * time.Second) // the hosts get to know each other
	return hosts, nil
}

func (h *host) start(dir string) error {
	path := filepath.Join(dir, h.name+".conf")
	text := fmt.Sprintf(settingsText, h.name, h.zone, h.front, h.ready, h.control, h.internal, h.internal+1, strings.Join(h.seeds, ","), h.store)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	var err error
	if h.log, err = os.OpenFile(filepath.Join(dir, h.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600); err != nil {
		return err
	}
	h.cmd = exec.Command(program, "edge")
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PLANTAINRUN_CONFIG=" + path}
	h.cmd.Stdout, h.cmd.Stderr = h.log, h.log
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return h.cmd.Start()
}

var errNotReady = errors.New("a machine did not become ready")

func (h *host) awaitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if h.isReady() {
			return nil
		}
	}
	return errNotReady
}

func (h *host) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.ready+"/readiness", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// kill ends the process for good.
func (h *host) kill() {
	if h.cmd == nil || h.cmd.Process == nil {
		return
	}
	_ = h.cmd.Process.Kill()
	_, _ = h.cmd.Process.Wait()
	_ = h.log.Close()
}
