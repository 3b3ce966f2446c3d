// Package demo runs a small system in one process: stand-ins of the platform,
// three engines and a plain service, and two entry hosts. It sends short and
// long prompts and one order through them and prints what happened.
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

// Sizes of the demonstration.
const (
	engineCount    = 3
	hostCount      = 2
	memoryTokens   = 400_000
	prefillRate    = 60_000 // tokens a second
	decodeInterval = 15 * time.Millisecond
	reportLag      = 100 * time.Millisecond
	headerTimeout  = 10 * time.Second
)

// The names of the demonstration.
const (
	partner     = "kushiro"
	domain      = "sapporo"
	model       = "assistant"
	serviceName = "enrolment"
	callerKey   = "kushiro.demo-key"
	operatorKey = "demo-operator-key"
)

// system is everything that runs.
type system struct {
	platform *platform.Service
	engines  []*engine.Engine
	service  *service.Service
	hosts    []*server.Server
	targets  []topology.Target
	list     []topology.Host
	stops    []func()
}

func start(log *zap.Logger) (*system, error) {
	s := &system{platform: platform.New()}
	for _, step := range []func(*zap.Logger) error{s.startTargets, s.startHosts} {
		if err := step(log); err != nil {
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
	for _, stop := range s.stops {
		stop()
	}
}

func (s *system) startTargets(*zap.Logger) error {
	for i := range engineCount {
		id := fmt.Sprintf("%s-engine-%d", domain, i+1)
		e := engine.New(engine.Settings{
			ID: id, AnswerTokens: 40, Seed: uint64(i + 1),
			State: engineapi.State{Model: model, Version: "1", Serving: true},
			Model: enginemodel.Config{MemoryTokens: memoryTokens, PrefillRate: prefillRate, DecodeInterval: decodeInterval, ReportLag: reportLag},
		})
		if err := e.Start(); err != nil {
			return err
		}
		s.stops = append(s.stops, e.Close)
		s.engines = append(s.engines, e)
		s.targets = append(s.targets, topology.Target{
			ID: id, Kind: topology.KindEngine, Partner: partner, Domain: domain, State: topology.StateLive,
			Addr: netip.MustParseAddrPort(e.Addr().String()), Model: model, MemoryTokens: memoryTokens,
		})
	}
	svc, addr, stop, err := service.Listen()
	if err != nil {
		return err
	}
	s.service = svc
	s.stops = append(s.stops, stop)
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
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	srv := &http.Server{Handler: s.platform.Handler(), ReadHeaderTimeout: headerTimeout}
	go func() {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			_ = l.Close()
		}
	}()
	s.stops = append(s.stops, func() { _ = srv.Close() })
	return netip.ParseAddrPort(l.Addr().String())
}

func (s *system) startHost(number int, platformAddr netip.AddrPort, log *zap.Logger) error {
	settings := config.Default()
	settings.Host = config.Host{ID: fmt.Sprintf("%s-%d", domain, number), Partner: partner, Domain: domain}
	settings.Listen = config.Listen{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Operators: "127.0.0.1:0"}
	settings.Platform.Addr = platformAddr.String()
	settings.Platform.RulesOf = partner
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
	s.list = append(s.list, topology.Host{
		ID: settings.Host.ID, Partner: partner, Domain: domain, State: topology.StateLive, PeerAddr: host.PeersAddr(),
	})
	return nil
}

// publish plays the platform and the operators.
func (s *system) publish() error {
	file := fmt.Sprintf(`partner %s
organisation %s/demo key=sha256:%s # demo: a newcomer's first requests
model %s targets=%s-engine-* # demo: all engines
service %s POST /reservations once # demo: a seat is reserved once
end 3
`, partner, partner, rules.KeyHash(callerKey), model, domain, serviceName)
	values := []struct {
		key  string
		body any
	}{
		{"hosts", topology.HostList{Hosts: s.list}},
		{"targets", topology.TargetList{Targets: s.targets}},
		{"plan", topology.Plan{}},
	}
	if _, err := s.platform.Publish("rules/"+partner, []byte(file)); err != nil {
		return err
	}
	for _, v := range values {
		body, err := json.Marshal(v.body)
		if err != nil {
			return err
		}
		if _, err := s.platform.Publish(v.key, body); err != nil {
			return err
		}
	}
	return nil
}
