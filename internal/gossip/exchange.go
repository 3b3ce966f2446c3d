package gossip

import (
	"context"

	"github.com/plantainrun/plantainrun/coord/membership"
	"github.com/plantainrun/plantainrun/internal/gossip/gossippb"
)

// exchange runs one anti-entropy exchange with a host and counts its outcome.
func (g *Gossip) exchange(ctx context.Context, host string) {
	ctx, cancel := context.WithTimeout(ctx, g.cfg.CallTimeout)
	defer cancel()
	g.stats.exchanges.Add(1)
	if err := g.reconcile(ctx, host); err != nil {
		g.stats.exchangeFailures.Add(1)
	}
}

// reconcile compares the bucket digests of both tables and exchanges the events of the
// buckets that differ, so that both sides converge.
func (g *Gossip) reconcile(ctx context.Context, host string) error {
	local := g.cfg.Table.Digest()
	reply, err := g.cfg.Transport.Call(ctx, host, &gossippb.Request{Root: membership.RootDigest(local)})
	if err != nil {
		return err
	}
	req := &gossippb.Request{}
	for i, digest := range reply.GetBuckets() {
		if i >= membership.Buckets || digest == local[i] {
			continue
		}
		req.Want = append(req.Want, uint32(i))
		req.Events = append(req.Events, encodeEvents(g.cfg.Table.BucketEvents(i))...)
	}
	if len(req.GetWant()) == 0 {
		return nil
	}
	g.stats.repairs.Add(1)
	reply, err = g.cfg.Transport.Call(ctx, host, req)
	if err != nil {
		return err
	}
	g.Publish(g.cfg.Table.Apply(decodeEvents(reply.GetEvents())))
	return nil
}

// handle serves a push or one request of an exchange.
func (g *Gossip) handle(_ string, req *gossippb.Request) *gossippb.Reply {
	reply := &gossippb.Reply{}
	if req.GetRoot() != 0 {
		if local := g.cfg.Table.Digest(); membership.RootDigest(local) != req.GetRoot() {
			reply.Buckets = local[:]
		}
	}
	for _, i := range req.GetWant() {
		if i < membership.Buckets {
			reply.Events = append(reply.Events, encodeEvents(g.cfg.Table.BucketEvents(int(i)))...)
		}
	}
	g.Publish(g.cfg.Table.Apply(decodeEvents(req.GetEvents())))
	return reply
}

func encodeEvents(events []membership.Event) []*gossippb.Event {
	encoded := make([]*gossippb.Event, 0, len(events))
	for _, e := range events {
		encoded = append(encoded, &gossippb.Event{
			Type: uint32(e.Type), Kind: uint32(e.Kind), Id: e.ID, Incarnation: e.Incarnation,
			Order: e.Timestamp, State: uint32(e.State), Revision: e.Revision,
		})
	}
	return encoded
}

// decodeEvents skips events whose type, kind or state does not fit in a byte. The table
// validates the remaining fields.
func decodeEvents(encoded []*gossippb.Event) []membership.Event {
	const maxUint8 = 0xff
	events := make([]membership.Event, 0, len(encoded))
	for _, e := range encoded {
		if e.GetType() > maxUint8 || e.GetKind() > maxUint8 || e.GetState() > maxUint8 {
			continue
		}
		events = append(events, membership.Event{
			Type: membership.EventType(e.GetType()), Kind: membership.Kind(e.GetKind()),
			ID: e.GetId(), Incarnation: e.GetIncarnation(), Timestamp: e.GetOrder(),
			State: membership.State(e.GetState()), Revision: e.GetRevision(),
		})
	}
	return events
}
