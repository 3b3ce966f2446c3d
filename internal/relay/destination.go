package relay

import (
	"go.uber.org/zap"

	"github.com/plantainrun/plantainrun/internal/catalog"
	"github.com/plantainrun/plantainrun/internal/placement"
)

// destination is where an attempt was sent.
type destination interface {
	// FirstEvent records the first event of the response.
	FirstEvent()
	// End records the result of the attempt.
	End(placement.Result)
	// target returns the target, or false if another host chose it.
	target() (catalog.TargetKey, bool)
	// fields describes the destination in logs.
	fields() []zap.Field
	// recordOutcome counts the outcome of the attempt.
	recordOutcome(service, outcome string)
}

// placedAt is a destination that this host has chosen.
type placedAt struct {
	*placement.Placement
	relay *Relay
}

func (p placedAt) target() (catalog.TargetKey, bool) { return p.Primary.TargetKey, true }

func (p placedAt) fields() []zap.Field {
	return []zap.Field{zap.String("target", p.Primary.ID), zap.Duration("predicted_wait", p.PredictedWait)}
}

func (p placedAt) recordOutcome(service, outcome string) {
	p.relay.cfg.Observer.AttemptEnded(service, outcome)
}

// forwardedTo is another host, which accounts for the attempt itself.
type forwardedTo struct {
	relay *Relay
	host  string
}

// FirstEvent does nothing.
func (forwardedTo) FirstEvent() {}

// End does nothing.
func (forwardedTo) End(placement.Result) {}

func (forwardedTo) target() (catalog.TargetKey, bool) { return catalog.TargetKey{}, false }

func (f forwardedTo) fields() []zap.Field { return []zap.Field{zap.String("forwarded_to", f.host)} }

func (f forwardedTo) recordOutcome(_, outcome string) { f.relay.cfg.Observer.Forwarded(outcome) }
