package gossip

import (
	"context"

	"github.com/plantainrun/plantainrun/coord/membership"
	"github.com/plantainrun/plantainrun/internal/gossip/gossippb"
)

// exchange compares tables with a host and repairs both sides.
func (g *Gossip) exchange(ctx context.Context, host string) {
	ctx, cancel := context.WithTimeout(ctx, g.cfg.CallTimeout)
	defer cancel()
	g.stats.exchanges.Add(1)
	if err := g.compare(ctx, host); err != nil {
		g.stats.exchangeFailures.Add(1)
	}
}

func (g *Gossip) compare(ctx context.Context, host string) error {
	own := g.cfg.Table.Digest()
	reply, err := g.cfg.Transport.Call(ctx, host, &gossippb.Request{Root: membership.RootDigest(own)})
	if err != nil {
		return err
	}
	req := &gossippb.Request{}
	for i, digest := range reply.GetBuckets() {
		if i >= membership.Buckets || digest == own[i] {
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

// handle answers a push or a step of an exchange.
func (g *Gossip) handle(_ string, req *gossippb.Request) *gossippb.Reply {
	reply := &gossippb.Reply{}
	if req.GetRoot() != 0 {
		if own := g.cfg.Table.Digest(); membership.RootDigest(own) != req.GetRoot() {
			reply.Buckets = own[:]
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

// decodeEvents leaves out what can't be an event; the table checks the rest.
func decodeEvents(encoded []*gossippb.Event) []membership.Event {
	const byteMax = 0xff
	events := make([]membership.Event, 0, len(encoded))
	for _, e := range encoded {
		if e.GetType() > byteMax || e.GetKind() > byteMax || e.GetState() > byteMax {
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
