package hints

import (
	"context"
	"sync"
	"time"

	"github.com/plantainrun/plantainrun/coord/suspect"
	"github.com/plantainrun/plantainrun/internal/hints/hintspb"
	"github.com/plantainrun/plantainrun/internal/mesh"
)

// announceTimeout bounds the wait for hosts that do not answer.
const announceTimeout = time.Second

// SuspicionReceiver learns what other hosts tell of requests that crash targets.
type SuspicionReceiver interface {
	ApplyHint(h suspect.Hint)
	// Snapshot returns all that is known of this period's deaths.
	Snapshot() []suspect.Hint
}

// AnnounceSuspicion tells all given hosts and waits until each has learned it, or is
// not reached within a bound.
func (h *Hints) AnnounceSuspicion(hosts []string, hint suspect.Hint) {
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	msg := suspicionMessage(hint)
	var wg sync.WaitGroup
	for _, host := range hosts {
		wg.Go(func() {
			if err := call(ctx, h.mesh, host, methodSuspicion, msg, &hintspb.Received{}); err != nil {
				h.failures.Add(1)
			}
		})
	}
	wg.Wait()
}

func (h *Hints) serveSuspicion(_ context.Context, s *mesh.Stream) error {
	var msg hintspb.Suspicion
	if err := s.Recv(&msg); err != nil {
		return err
	}
	h.suspects.ApplyHint(suspicionOf(&msg))
	return s.Send(&hintspb.Received{})
}

// FetchSuspicions asks host for all that it knows of requests that crash targets,
// for a process that starts.
func (h *Hints) FetchSuspicions(ctx context.Context, host string) error {
	var reply hintspb.Suspicions
	if err := call(ctx, h.mesh, host, methodSuspicions, &hintspb.SuspicionQuery{}, &reply); err != nil {
		h.failures.Add(1)
		return err
	}
	for _, msg := range reply.GetKnown() {
		h.suspects.ApplyHint(suspicionOf(msg))
	}
	return nil
}

func (h *Hints) serveSuspicions(_ context.Context, s *mesh.Stream) error {
	if err := s.Recv(&hintspb.SuspicionQuery{}); err != nil {
		return err
	}
	reply := &hintspb.Suspicions{}
	for _, hint := range h.suspects.Snapshot() {
		reply.Known = append(reply.Known, suspicionMessage(hint))
	}
	return s.Send(reply)
}

func suspicionMessage(hint suspect.Hint) *hintspb.Suspicion {
	msg := &hintspb.Suspicion{
		Kind: uint32(hint.Kind), Target: hint.Death.Target, Incarnation: hint.Death.Incarnation,
		LeftMs: hint.TTL.Milliseconds(), Fingerprint: hint.Fingerprint[:],
	}
	for _, c := range hint.Candidates {
		msg.Charged = append(msg.Charged, &hintspb.Charge{Fingerprint: c.Fingerprint[:], Alone: c.RanAsSuspect})
	}
	return msg
}

func suspicionOf(msg *hintspb.Suspicion) suspect.Hint {
	hint := suspect.Hint{
		Kind:  suspect.HintKind(msg.GetKind()), //nolint:gosec // an unknown kind is ignored
		Death: suspect.Death{Target: msg.GetTarget(), Incarnation: msg.GetIncarnation()},
		TTL:   time.Duration(msg.GetLeftMs()) * time.Millisecond,
	}
	copy(hint.Fingerprint[:], msg.GetFingerprint())
	for _, c := range msg.GetCharged() {
		charge := suspect.Candidate{RanAsSuspect: c.GetAlone()}
		copy(charge.Fingerprint[:], c.GetFingerprint())
		hint.Candidates = append(hint.Candidates, charge)
	}
	return hint
}
