package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/plantainrun/plantainrun/internal/loopback"
	"github.com/plantainrun/plantainrun/review/lab2/wire"
)

// readyTimeout limits the start of a host.
const readyTimeout = 15 * time.Second

// host is one entry host of the project in a process of its own.
type host struct {
	name         string
	front, ready string
	control      string
	settings     string // path of the settings file
	cmd          *exec.Cmd
	exited       chan struct{} // closed when the process has ended
}

// startHosts starts hosts that are each other's seeds, one in each of the zones, and waits
// until they are ready.
func (l *lab) startHosts(store string, zones ...string) ([]*host, error) {
	stores := make([]string, len(zones))
	for i := range stores {
		stores[i] = store
	}
	return l.startHostsAt(stores, zones)
}

// startHostsAt starts hosts of which each follows a store of its own.
func (l *lab) startHostsAt(stores, zones []string) ([]*host, error) {
	var hosts []*host
	var seeds []string
	for i, zone := range zones {
		h, err := l.newHost(fmt.Sprintf("edge-%s-%d", zone, i+1))
		if err != nil {
			return nil, err
		}
		hosts, seeds = append(hosts, h), append(seeds, h.control)
	}
	for i, h := range hosts {
		ports, err := twoPorts()
		if err != nil {
			return nil, err
		}
		text := wire.Settings("NAME", h.name, "ZONE", zones[i], "FRONT", h.front, "READY", h.ready, "CONTROL", h.control,
			"PORTS", ports, "SEEDS", strings.Join(seeds[:min(len(seeds), 3)], ","), "STORE", stores[i])
		if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
		if err := l.start(h); err != nil {
			return nil, err
		}
	}
	for _, h := range hosts {
		if err := h.awaitReady(); err != nil {
			return nil, err
		}
	}
	return hosts, nil
}

func (l *lab) newHost(name string) (*host, error) {
	h := &host{name: name, settings: filepath.Join(l.temp, name+".conf")}
	for _, addr := range []*string{&h.front, &h.ready, &h.control} {
		free, err := loopback.FreeAddr()
		if err != nil {
			return nil, err
		}
		*addr = free.String()
	}
	return h, nil
}

// twoPorts returns two free ports that follow each other.
func twoPorts() (string, error) {
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

// start runs the command of the deploy file.
func (l *lab) start(h *host) error {
	log, err := os.Create(filepath.Join(l.temp, h.name+".log"))
	if err != nil {
		return err
	}
	h.cmd = exec.Command(l.binary, "edge")
	h.cmd.Env = append(os.Environ(), "PLANTAINRUN_CONFIG="+h.settings)
	h.cmd.Stdout, h.cmd.Stderr = log, log
	if err := h.cmd.Start(); err != nil {
		return err
	}
	h.exited = make(chan struct{})
	l.atEnd(h.kill)
	go func() {
		_ = h.cmd.Wait() // the state tells how it ended
		close(h.exited)
		log.Close()
	}()
	return nil
}

func (h *host) awaitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if h.ready200() == nil {
			return nil
		}
	}
	return fmt.Errorf("host %s does not become ready", h.name)
}

// ready200 asks as the balancer does. The error says why the answer is not 200.
func (h *host) ready200() error {
	resp, err := http.Get("http://" + h.ready + "/readiness")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("host %s says %d", h.name, resp.StatusCode)
	}
	return nil
}

// running reports whether the process has not ended.
func (h *host) running() bool {
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

// kill ends the process and waits for its end.
func (h *host) kill() {
	_ = h.cmd.Process.Signal(syscall.SIGKILL) // it may have ended
	<-h.exited
}
