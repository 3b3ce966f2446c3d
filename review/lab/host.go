package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// memoryLimitMB is the memory of a process on a small deployment's machine. The pages
	// say that a process that exceeds it is killed, and started again after a short delay.
	memoryLimitMB     = 284
	memoryCheckPeriod = 10 * time.Millisecond
	restartDelay      = time.Second
)

// host is an entry host in its own process, on a machine that kills a process over its memory.
type host struct {
	env       *environment
	name      string
	front     string
	ready     string
	settings  string
	log       *os.File
	kills     atomic.Int64 // for memory over the limit
	peakMB    atomic.Int64
	closing   atomic.Bool
	mu        sync.Mutex
	cmd       *exec.Cmd
	memoryEnd chan struct{}
}

// hostName is the name of the only machine that a case starts.
const hostName = "edge-sapporo-1"

// startHost starts the program with the command of the deploy file and waits until it is ready.
func startHost(env *environment) (*host, error) {
	ports, err := freePorts(5)
	if err != nil {
		return nil, err
	}
	addr := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", ports[i]) }
	h := &host{env: env, name: hostName, front: addr(0), ready: addr(1), settings: filepath.Join(env.dir, hostName+".conf")}
	text := fmt.Sprintf(settingsFormat, hostName, zone, zone, addr(0), addr(1), addr(2), ports[3], ports[4], addr(2), memoryLimitMB, env.store.addr)
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	if h.log, err = os.Create(filepath.Join(env.dir, hostName+".log")); err != nil {
		return nil, err
	}
	if err := h.start(); err != nil {
		return nil, err
	}
	env.onClose(h.close)
	return h, waitFor("entry host is ready", startTimeout, h.isReady)
}

// settingsFormat is the settings file of a machine of a small deployment.
const settingsFormat = `node_name=%s
role=entry
machine_class=edge
serves=edge,control
ip=127.0.0.1
zone=%s
region=hokkaido
zones.%s=hokkaido
bind.front=%s
bind.ready=%s
bind.control=%s
internal_ports=%d,%d
seeds=%s
bootstrap=true
limits.cpu_share=0.4
limits.cores=1
limits.memory_mb=%d
limits.max_fds=4200
discovery=platform
entry=vip
heartbeat_ms=1200
contract_bounds.stable_ms=3000
contract_bounds.drain_ms=2000
contract_bounds.grace_s=8
contract_bounds.loss_slack_ms=200
contract_bounds.config_apply_ms=2000
contract_bounds.strict_revoke=true
contract_bounds.revoke_ms=5000
contract_bounds.retry_ratio=0.2
contract_bounds.retry_window_s=10
contract_bounds.retry_slack=100
contract_bounds.hold_max_ms=20000
contract_bounds.free_ms=4000
contract_bounds.idle_max_ms=9000
provider.address=%s
provider.form=read
`

func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closing.Load() {
		return errors.New("the case has ended")
	}
	h.cmd = exec.Command(h.env.program, "edge")
	h.cmd.Env = append(os.Environ(), "PLANTAINRUN_CONFIG="+h.settings)
	h.cmd.Stdout, h.cmd.Stderr = h.log, h.log
	if err := h.cmd.Start(); err != nil {
		return err
	}
	h.env.rec.write("host %s: process started", h.name)
	h.memoryEnd = make(chan struct{})
	go h.superviseProcess(h.cmd, h.memoryEnd)
	return nil
}

// superviseProcess kills a process over its memory and starts a process that has ended again.
func (h *host) superviseProcess(cmd *exec.Cmd, end chan struct{}) {
	go h.watchMemory(cmd, end)
	err := cmd.Wait()
	close(end)
	if h.closing.Load() {
		return
	}
	h.env.rec.write("host %s: process ended: %v", h.name, err)
	time.Sleep(restartDelay)
	if err := h.start(); err != nil && !h.closing.Load() {
		h.env.rec.write("host %s: not started again: %v", h.name, err)
	}
}

func (h *host) watchMemory(cmd *exec.Cmd, end chan struct{}) {
	ticker := time.NewTicker(memoryCheckPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-end:
			return
		case <-ticker.C:
		}
		mb := residentMB(cmd.Process.Pid)
		if mb > h.peakMB.Load() {
			h.peakMB.Store(mb)
		}
		if mb <= memoryLimitMB {
			continue
		}
		h.kills.Add(1)
		h.env.rec.write("host %s: %d MB resident, over its %d MB: killed", h.name, mb, memoryLimitMB)
		if err := cmd.Process.Kill(); err != nil {
			h.env.rec.write("host %s: not killed: %v", h.name, err)
		}
		return
	}
}

// residentMB returns the resident memory of a process, 0 if it has ended.
func residentMB(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		value, ok := strings.CutPrefix(line, "VmRSS:")
		if !ok {
			continue
		}
		kb, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
		if err != nil {
			return 0
		}
		return kb / 1024
	}
	return 0
}

func (h *host) isReady() bool {
	resp, err := http.Get("http://" + h.ready + "/readiness")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (h *host) close() {
	h.closing.Store(true)
	h.mu.Lock()
	cmd, end := h.cmd, h.memoryEnd
	h.mu.Unlock()
	if err := cmd.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		fmt.Fprintln(os.Stderr, err)
	}
	<-end
	h.log.Close()
	if path := os.Getenv("HOST_LOG"); path != "" {
		copyFile(filepath.Join(h.env.dir, h.name+".log"), path)
	}
}

func copyFile(from, to string) {
	data, err := os.ReadFile(from)
	if err == nil {
		err = os.WriteFile(to, data, 0o600)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}
