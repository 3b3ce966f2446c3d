package hints

import (
	"context"
	"sync"
	"time"

	"github.com/plantainrun/plantainrun/coord/suspect"
	"github.com/plantainrun/plantainrun/internal/hints/hintspb"
	"github.com/plantainrun/plantainrun/internal/mesh"
)

// announceTimeout bounds the wait for hosts that do not respond.
const announceTimeout = time.Second

// SuspicionReceiver stores what peers report about requests suspected of crashing
// targets.
type SuspicionReceiver interface {
	ApplyHint(h suspect.Hint)
	// Snapshot returns all hints about target deaths in the current period.
	Snapshot() []suspect.Hint
}

// AnnounceSuspicion sends the hint to all given hosts at once and returns when each
// has acknowledged it or failed, at the latest after announceTimeout.
func (h *Hints) AnnounceSuspicion(hosts []string, hint suspect.Hint) {
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	msg := encodeSuspicion(hint)
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
	h.suspects.ApplyHint(decodeSuspicion(&msg))
	return s.Send(&hintspb.Received{})
}

// FetchSuspicions fetches and applies all suspicions that host holds. A process
// calls it when it starts.
func (h *Hints) FetchSuspicions(ctx context.Context, host string) error {
	var reply hintspb.Suspicions
	if err := call(ctx, h.mesh, host, methodSuspicions, &hintspb.SuspicionQuery{}, &reply); err != nil {
		h.failures.Add(1)
		return err
	}
	for _, msg := range reply.GetKnown() {
		h.suspects.ApplyHint(decodeSuspicion(msg))
	}
	return nil
}

func (h *Hints) serveSuspicions(_ context.Context, s *mesh.Stream) error {
	if err := s.Recv(&hintspb.SuspicionQuery{}); err != nil {
		return err
	}
	reply := &hintspb.Suspicions{}
	for _, hint := range h.suspects.Snapshot() {
		reply.Known = append(reply.Known, encodeSuspicion(hint))
	}
	return s.Send(reply)
}

func encodeSuspicion(hint suspect.Hint) *hintspb.Suspicion {
	msg := &hintspb.Suspicion{
		Kind: uint32(hint.Kind), Target: hint.Death.Target, Incarnation: hint.Death.Incarnation,
		LeftMs: hint.TTL.Milliseconds(), Fingerprint: hint.Fingerprint[:],
	}
	for _, c := range hint.Candidates {
		msg.Charged = append(msg.Charged, &hintspb.Charge{Fingerprint: c.Fingerprint[:], Alone: c.RanAsSuspect})
	}
	return msg
}

func decodeSuspicion(msg *hintspb.Suspicion) suspect.Hint {
	hint := suspect.Hint{
		Kind:  suspect.HintKind(msg.GetKind()), //nolint:gosec // an unknown kind is ignored
		Death: suspect.Death{Target: msg.GetTarget(), Incarnation: msg.GetIncarnation()},
		TTL:   time.Duration(msg.GetLeftMs()) * time.Millisecond,
	}
	copy(hint.Fingerprint[:], msg.GetFingerprint())
	for _, c := range msg.GetCharged() {
		candidate := suspect.Candidate{RanAsSuspect: c.GetAlone()}
		copy(candidate.Fingerprint[:], c.GetFingerprint())
		hint.Candidates = append(hint.Candidates, candidate)
	}
	return hint
}
