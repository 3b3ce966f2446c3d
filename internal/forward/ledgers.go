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

// Limits of the replication of closed ledgers.
const (
	ledgerReplicas  = 3       // hosts that store a copy of a closed ledger
	ledgerPartBytes = 1 << 20 // size of one message
	maxLedgerBytes  = 128 << 20
	ledgerTimeout   = 10 * time.Second
)

var errLedgerTooLarge = errors.New("closed ledger exceeds the size limit")

// HolderLister lists the other hosts that may store closed ledgers.
type HolderLister interface {
	LedgerHolders() []string
}

// ClosedLedgers replicates closed ledgers to other hosts and finds theirs. It is safe for
// concurrent use and implements once.ClosedLedgers.
type ClosedLedgers struct {
	mesh  Mesh
	store *ledger.ClosedStore
	hosts HolderLister
}

// NewClosedLedgers returns the closed ledgers in store and on other hosts, and
// registers the handlers for replication and queries on m.
func NewClosedLedgers(m Mesh, store *ledger.ClosedStore, hosts HolderLister) *ClosedLedgers {
	l := &ClosedLedgers{mesh: m, store: store, hosts: hosts}
	m.Handle(methodReplicate, l.serveReplicate)
	m.Handle(methodQuery, l.serveQuery)
	return l
}

// Find returns the owner's closed ledger if this host has a copy.
func (l *ClosedLedgers) Find(owner identity.Incarnation) (*ledger.Closed, bool) {
	return l.store.Get(owner)
}

// Fetch queries the hosts that are most likely to have the owner's closed ledger
// and stores a copy of it.
func (l *ClosedLedgers) Fetch(ctx context.Context, owner identity.Incarnation) (*ledger.Closed, bool) {
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	for _, host := range l.likelyHolders(owner) {
		c, err := l.query(ctx, host, owner)
		if err != nil || c == nil || c.Owner() != owner {
			continue
		}
		_ = l.store.Add(c) // if the store is full, the next call queries again
		return c, true
	}
	return nil, false
}

// Replicate copies c, and the closed ledgers that this host stores for other
// processes, to other hosts. It returns how many accepted c; if none did, the
// outcomes of the tickets in it are lost and reported as unknown.
func (l *ClosedLedgers) Replicate(ctx context.Context, c *ledger.Closed) int {
	for _, held := range l.store.All() {
		l.replicate(ctx, held)
	}
	return l.replicate(ctx, c)
}

func (l *ClosedLedgers) replicate(ctx context.Context, c *ledger.Closed) int {
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

// likelyHolders returns the hosts to query for the ledger of owner, the most likely
// ones first.
func (l *ClosedLedgers) likelyHolders(owner identity.Incarnation) []string {
	hosts := l.hosts.LedgerHolders()
	return rendezvous.Top(owner.String(), hosts, 2*ledgerReplicas)
}

func (l *ClosedLedgers) sendLedger(ctx context.Context, host string, data []byte) error {
	s, err := l.mesh.Open(ctx, host, methodReplicate)
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

func (l *ClosedLedgers) serveReplicate(_ context.Context, s *mesh.Stream) error {
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
