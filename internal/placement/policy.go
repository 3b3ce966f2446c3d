package placement

// Policy names the mechanisms of placement for model engines. Each can be switched off, to
// measure what it is worth; hosts use DefaultPolicy.
type Policy struct {
	// Admission refuses long prompts under contention.
	Admission bool
	// SplitPrefill has several engines prefill a long prompt. Without it only prompts that fit
	// on no single engine are split.
	SplitPrefill bool
	// PrefillPool prefers some engines for the prefill of long prompts, and others for decoding.
	PrefillPool bool
	// Interference counts what a choice costs the streams and prompts that it delays.
	Interference bool
	// QueuedStreams counts what a choice costs prompts once they are prefilled and decode beside
	// the prefill that is queued behind them.
	QueuedStreams bool
	// LateLast has engines admit prompts that will be late after the others.
	LateLast bool
	// RandomChoice draws one of the best engines for a short prompt, so that hosts that don't
	// know of each other's choices do not all pick the same one.
	RandomChoice bool
	// OverdueBacklog counts the time by which prompts are behind their prediction as backlog.
	OverdueBacklog bool
	// FailurePenalty prefers engines without recent failures.
	FailurePenalty bool
	// Importance counts the published priorities.
	Importance bool
}

// DefaultPolicy returns the policy with all mechanisms.
func DefaultPolicy() Policy {
	var p Policy
	for _, m := range Mechanisms() {
		*m.Field(&p) = true
	}
	return p
}

// Mechanism is one mechanism of a Policy.
type Mechanism struct {
	Name  string
	Field func(*Policy) *bool
}

// Mechanisms returns all mechanisms.
func Mechanisms() []Mechanism {
	return []Mechanism{
		{"admission", func(p *Policy) *bool { return &p.Admission }},
		{"split-prefill", func(p *Policy) *bool { return &p.SplitPrefill }},
		{"prefill-pool", func(p *Policy) *bool { return &p.PrefillPool }},
		{"interference", func(p *Policy) *bool { return &p.Interference }},
		{"queued-streams", func(p *Policy) *bool { return &p.QueuedStreams }},
		{"late-last", func(p *Policy) *bool { return &p.LateLast }},
		{"random-choice", func(p *Policy) *bool { return &p.RandomChoice }},
		{"overdue-backlog", func(p *Policy) *bool { return &p.OverdueBacklog }},
		{"failure-penalty", func(p *Policy) *bool { return &p.FailurePenalty }},
		{"importance", func(p *Policy) *bool { return &p.Importance }},
	}
}

// SetPolicy sets the mechanisms. Call it before Place.
func (pl *Placer) SetPolicy(p Policy) { pl.policy = p }
