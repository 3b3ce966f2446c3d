package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/plantainrun/plantainrun/internal/placement"
)

const (
	// probeInterval is the mean time between two probes of an unreachable service.
	probeInterval = 500 * time.Millisecond
	// probeTimeout limits one probe of a target.
	probeTimeout = 500 * time.Millisecond
)

// reachabilityChanged logs that this host has lost or regained its path to a service. It
// probes a lost one until it is regained.
func (r *Relay) reachabilityChanged(c placement.ReachabilityChange) {
	message := "service unreachable from this host"
	if c.Reachable {
		message = "service reachable again"
	}
	r.cfg.Log.Warn(message, zap.String("service", c.Service), zap.Duration("for", time.Since(c.Since)), zap.Int("failed_targets", c.FailedTargets))
	if c.StartProbing {
		r.scheduleProbe(c.Service)
	}
}

// scheduleProbe probes the targets of a service, one at a time, while it is unreachable and
// in use. The times are random, so that hosts that were cut off together do not probe
// together.
func (r *Relay) scheduleProbe(service string) {
	time.AfterFunc(probeInterval/2+rand.N(probeInterval), func() {
		if !r.cfg.Placer.NeedsProbe(service) {
			return
		}
		r.probe(service)
		r.scheduleProbe(service)
	})
}

// probe tests whether a random target of a service, of those that take requests of this
// host, can be reached, and records the result.
func (r *Relay) probe(name string) {
	view := r.cfg.Views.View()
	targets := slices.DeleteFunc(slices.Clone(view.Targets(name)), r.cfg.Placer.Declines)
	service, known := view.Config.Service(name)
	if len(targets) == 0 || !known {
		return
	}
	target := targets[rand.IntN(len(targets))]
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	err := r.cfg.Transport.Probe(ctx, service, target)
	r.cfg.Log.Info("probe of an unreachable service", zap.String("service", target.Service), zap.String("target", target.ID), zap.Bool("reached", err == nil), zap.Error(err))
	r.cfg.Placer.RecordProbe(target, err == nil)
}
