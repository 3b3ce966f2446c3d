// Package demo runs a small deployment in one process: stand-ins for the
// platform, three engines and a plain service, and two entry hosts. It sends
// short and long prompts and a reservation through them and prints the results.
package demo

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/plantainrun/plantainrun/internal/config"
	"github.com/plantainrun/plantainrun/internal/engineapi"
	"github.com/plantainrun/plantainrun/internal/rules"
	"github.com/plantainrun/plantainrun/internal/server"
	"github.com/plantainrun/plantainrun/internal/standin/engine"
	"github.com/plantainrun/plantainrun/internal/standin/enginemodel"
	"github.com/plantainrun/plantainrun/internal/standin/platform"
	"github.com/plantainrun/plantainrun/internal/standin/service"
	"github.com/plantainrun/plantainrun/internal/topology"
)

// Size and timing of the demonstration.
const (
	engineCount    = 3
	hostCount      = 2
	memoryTokens   = 400_000
	prefillRate    = 60_000 // tokens per second
	decodeInterval = 15 * time.Millisecond
	reportLag      = 100 * time.Millisecond
	headerTimeout  = 10 * time.Second
)

// Names and keys that the demonstration uses.
const (
	partner     = "kushiro"
	domain      = "sapporo"
	model       = "assistant"
	serviceName = "enrolment"
	callerKey   = "kushiro.demo-key"
	operatorKey = "demo-operator-key"
)

// system holds the running components of the demonstration.
type system struct {
	platform *platform.Service
	engines  []*engine.Engine
	service  *service.Service
	hosts    []*server.Server
	targets  []topology.Target
	hostList []topology.Host
	closers  []func()
}

func startSystem(log *zap.Logger) (*system, error) {
	s := &system{platform: platform.New()}
	for _, startStep := range []func(*zap.Logger) error{s.startTargets, s.startHosts} {
		if err := startStep(log); err != nil {
			s.close()
			return nil, err
		}
	}
	return s, nil
}

func (s *system) close() {
	for _, h := range s.hosts {
		h.Drain("demo")
	}
	for _, h := range s.hosts {
		<-h.Done()
	}
	for _, closeComponent := range s.closers {
		closeComponent()
	}
}

func (s *system) startTargets(*zap.Logger) error {
	for i := range engineCount {
		id := fmt.Sprintf("%s-engine-%d", domain, i+1)
		e := engine.New(engine.Settings{
			ID: id, OutputTokens: 40, Seed: uint64(i + 1),
			State: engineapi.State{Model: model, Version: "1", Serving: true},
			Model: enginemodel.Config{MemoryTokens: memoryTokens, PrefillRate: prefillRate, DecodeInterval: decodeInterval, ReportLag: reportLag},
		})
		if err := e.Start(); err != nil {
			return err
		}
		s.closers = append(s.closers, e.Close)
		s.engines = append(s.engines, e)
		s.targets = append(s.targets, topology.Target{
			ID: id, Kind: topology.KindEngine, Partner: partner, Domain: domain, State: topology.StateLive,
			Addr: netip.MustParseAddrPort(e.Addr().String()), Model: model, MemoryTokens: memoryTokens,
		})
	}
	plainService, addr, stop, err := service.Listen()
	if err != nil {
		return err
	}
	s.service = plainService
	s.closers = append(s.closers, stop)
	s.targets = append(s.targets, topology.Target{
		ID: domain + "-records-1", Kind: topology.KindService, Partner: partner, Domain: domain,
		State: topology.StateLive, Addr: addr, Model: serviceName,
	})
	return nil
}

func (s *system) startHosts(log *zap.Logger) error {
	addr, err := s.servePlatform()
	if err != nil {
		return err
	}
	for i := range hostCount {
		if err := s.startHost(i+1, addr, log); err != nil {
			return err
		}
	}
	return s.publish()
}

func (s *system) servePlatform() (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	srv := &http.Server{Handler: s.platform.Handler(), ReadHeaderTimeout: headerTimeout}
	go func() {
		if err := srv.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			_ = listener.Close()
		}
	}()
	s.closers = append(s.closers, func() { _ = srv.Close() })
	return netip.ParseAddrPort(listener.Addr().String())
}

func (s *system) startHost(index int, platformAddr netip.AddrPort, log *zap.Logger) error {
	settings := config.Default()
	settings.Host = config.Host{ID: fmt.Sprintf("%s-%d", domain, index), Partner: partner, Domain: domain}
	settings.Listen = config.Listen{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Operators: "127.0.0.1:0"}
	settings.Platform.Addr = platformAddr.String()
	settings.Platform.RulePartners = partner
	settings.Peer.Plaintext = true
	settings.Operator.Key = operatorKey
	settings.Drain.BalancerWait = 0
	addrs, err := settings.Check()
	if err != nil {
		return err
	}
	host, err := server.New(settings, addrs, log)
	if err != nil {
		return err
	}
	if err := host.Start(); err != nil {
		return err
	}
	s.hosts = append(s.hosts, host)
	s.hostList = append(s.hostList, topology.Host{
		ID: settings.Host.ID, Partner: partner, Domain: domain, State: topology.StateLive, PeerAddr: host.PeersAddr(),
	})
	return nil
}

// publish writes the rules, hosts, targets and plan that operators publish to
// the configuration service of the platform.
func (s *system) publish() error {
	ruleFile := fmt.Sprintf(`partner %s
organisation %s/demo key=sha256:%s # demo: a newcomer's first requests
model %s targets=%s-engine-* # demo: all engines
service %s POST /reservations once # demo: a seat is reserved once
end 3
`, partner, partner, rules.KeyHash(callerKey), model, domain, serviceName)
	values := []struct {
		key  string
		body any
	}{
		{"hosts", topology.HostList{Hosts: s.hostList}},
		{"targets", topology.TargetList{Targets: s.targets}},
		{"plan", topology.Plan{}},
	}
	if _, err := s.platform.Publish("rules/"+partner, []byte(ruleFile)); err != nil {
		return err
	}
	for _, value := range values {
		body, err := json.Marshal(value.body)
		if err != nil {
			return err
		}
		if _, err := s.platform.Publish(value.key, body); err != nil {
			return err
		}
	}
	return nil
}
