package forward

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/plantainrun/plantainrun/coord/identity"
	"github.com/plantainrun/plantainrun/coord/ledger"
	"github.com/plantainrun/plantainrun/coord/rendezvous"
	"github.com/plantainrun/plantainrun/internal/forward/forwardpb"
	"github.com/plantainrun/plantainrun/internal/mesh"
)

// Bounds of handing ledgers over.
const (
	ledgerReplicas  = 3
	ledgerPartBytes = 1 << 20 // bytes
	maxLedgerBytes  = 128 << 20
	ledgerTimeout   = 10 * time.Second
)

var errLedgerTooLarge = errors.New("the closed ledger is larger than any host may send")

// HolderLister lists the hosts that may hold the ledgers of others, without this one.
type HolderLister interface {
	LedgerHolders() []string
}

// ClosedLedgers hands closed ledgers to other hosts and finds theirs. It is safe for
// concurrent use and implements once.ClosedLedgers.
type ClosedLedgers struct {
	mesh  Mesh
	store *ledger.ClosedStore
	hosts HolderLister
}

// NewClosedLedgers returns the closed ledgers in store and on the hosts reached over m.
func NewClosedLedgers(m Mesh, store *ledger.ClosedStore, hosts HolderLister) *ClosedLedgers {
	l := &ClosedLedgers{mesh: m, store: store, hosts: hosts}
	m.Handle(methodHandover, l.serveHandover)
	m.Handle(methodQuery, l.serveQuery)
	return l
}

// Find returns the owner's closed ledger if this host holds it.
func (l *ClosedLedgers) Find(owner identity.Incarnation) (*ledger.Closed, bool) {
	return l.store.Get(owner)
}

// Fetch asks the hosts that most probably hold the owner's closed ledger.
func (l *ClosedLedgers) Fetch(ctx context.Context, owner identity.Incarnation) (*ledger.Closed, bool) {
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	for _, host := range l.likelyHolders(owner) {
		c, err := l.query(ctx, host, owner)
		if err != nil || c == nil || c.Owner() != owner {
			continue
		}
		_ = l.store.Add(c) // without room the next call asks again
		return c, true
	}
	return nil, false
}

// HandOver gives c, and the closed ledgers that this host holds for others, to
// other hosts. It returns how many took c; with none, the tickets in it end as
// unknown.
func (l *ClosedLedgers) HandOver(ctx context.Context, c *ledger.Closed) int {
	for _, held := range l.store.All() {
		l.handOver(ctx, held)
	}
	return l.handOver(ctx, c)
}

func (l *ClosedLedgers) handOver(ctx context.Context, c *ledger.Closed) int {
	data, err := c.MarshalBinary()
	if err != nil {
		return 0
	}
	accepted := 0
	hosts := l.hosts.LedgerHolders()
	for _, host := range rendezvous.Top(c.Owner().String(), hosts, len(hosts)) {
		if l.sendLedger(ctx, host, data) == nil {
			accepted++
		}
		if accepted == ledgerReplicas {
			break
		}
	}
	return accepted
}

// likelyHolders returns all hosts, the most probable likelyHolders first.
func (l *ClosedLedgers) likelyHolders(owner identity.Incarnation) []string {
	hosts := l.hosts.LedgerHolders()
	return rendezvous.Top(owner.String(), hosts, 2*ledgerReplicas)
}

func (l *ClosedLedgers) sendLedger(ctx context.Context, host string, data []byte) error {
	s, err := l.mesh.Open(ctx, host, methodHandover)
	if err != nil {
		return err
	}
	defer s.Close()
	if err := s.SetDeadline(time.Now().Add(ledgerTimeout)); err != nil {
		return err
	}
	if err := sendParts(s, data); err != nil {
		return err
	}
	return s.Recv(&forwardpb.Received{})
}

func (l *ClosedLedgers) serveHandover(_ context.Context, s *mesh.Stream) error {
	data, err := receiveParts(s)
	if err != nil {
		return err
	}
	c, err := ledger.UnmarshalClosed(data)
	if err != nil {
		return err
	}
	if err := l.store.Add(c); err != nil {
		return err
	}
	return s.Send(&forwardpb.Received{})
}

func (l *ClosedLedgers) query(ctx context.Context, host string, owner identity.Incarnation) (*ledger.Closed, error) {
	s, err := l.mesh.Open(ctx, host, methodQuery)
	if err != nil {
		return nil, err
	}
	defer s.Close()
	if err := s.SetDeadline(time.Now().Add(ledgerTimeout)); err != nil {
		return nil, err
	}
	if err := s.Send(&forwardpb.LedgerQuery{Owner: owner.String()}); err != nil {
		return nil, err
	}
	data, err := receiveParts(s)
	if err != nil || len(data) == 0 {
		return nil, err
	}
	return ledger.UnmarshalClosed(data)
}

func (l *ClosedLedgers) serveQuery(_ context.Context, s *mesh.Stream) error {
	var msg forwardpb.LedgerQuery
	if err := s.Recv(&msg); err != nil {
		return err
	}
	owner, err := identity.Parse(msg.GetOwner())
	if err != nil {
		return err
	}
	c, ok := l.store.Get(owner)
	if !ok {
		return s.CloseSend()
	}
	data, err := c.MarshalBinary()
	if err != nil {
		return err
	}
	return sendParts(s, data)
}

func sendParts(s *mesh.Stream, data []byte) error {
	for len(data) > 0 {
		n := min(len(data), ledgerPartBytes)
		if err := s.Send(&forwardpb.LedgerPart{Data: data[:n]}); err != nil {
			return err
		}
		data = data[n:]
	}
	return s.CloseSend()
}

func receiveParts(s *mesh.Stream) ([]byte, error) {
	var data []byte
	for {
		var part forwardpb.LedgerPart
		err := s.Recv(&part)
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return nil, err
		}
		data = append(data, part.GetData()...)
		if len(data) > maxLedgerBytes {
			return nil, errLedgerTooLarge
		}
	}
}
