package knowledge

import (
	"context"
	"errors"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/plantainrun/plantainrun/coord/dissemination"
	"github.com/plantainrun/plantainrun/internal/knowledge/knowledgepb"
)

// peerCallTimeout bounds one exchange or push, since a connection can stop responding
// without an error.
const peerCallTimeout = 2 * time.Second

// runExchanges exchanges digests with the peers in turn (anti-entropy). This delivers what
// failed pushes did not.
func (r *Replica) runExchanges(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, r.jitter(r.cfg.ExchangeInterval))
		peers := r.cfg.Transport.Peers()
		r.peers.RetainOnly(peers)
		if host := r.peers.NextPeer(peers); host != "" {
			_ = r.exchange(ctx, host) // failures are counted; the next round uses another peer
		}
	}
}

// exchange sends the digest to a peer, adopts the values that this host lacks, and pushes
// those that the peer lacks.
func (r *Replica) exchange(ctx context.Context, host string) error {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	digest := r.digest()
	r.counters.bytesOut.Add(uint64(proto.Size(digest)))
	r.counters.exchanges.Add(1)
	requestedAt := time.Now()
	resp, err := r.cfg.Transport.Exchange(ctx, host, digest)
	if err != nil {
		r.counters.exchangeFailures.Add(1)
		return err
	}
	_ = r.handleValues(host, resp) // decode failures are counted; a later exchange sends the values again
	r.mergeConfirmations(resp.GetDigest(), requestedAt)
	r.recordStartupResponse(host, resp.GetDigest().GetInformed())
	return r.push(ctx, host, nil)
}

// HandleExchange responds to a peer's digest with the digest of this host and the values and
// refusals that the peer lacks.
func (r *Replica) HandleExchange(_ context.Context, from string, digest *knowledgepb.Digest) (*knowledgepb.Values, error) {
	r.counters.bytesIn.Add(uint64(proto.Size(digest)))
	r.handleDigest(from, digest)
	resp := &knowledgepb.Values{Digest: r.digest(), Refusals: r.refusalsMissingAt(digest)}
	updates := r.peers.PendingUpdates(from)
	if err := r.appendEncoded(updates, resp); err != nil {
		return nil, err
	}
	r.peers.RecordSent(from, updates)
	r.counters.bytesOut.Add(uint64(proto.Size(resp)))
	return resp, nil
}

// HandlePush processes values pushed by a peer. If the base version of one is unknown, it starts a
// digest exchange with the peer, so that the value is sent again in a form that can be decoded.
func (r *Replica) HandlePush(_ context.Context, from string, values *knowledgepb.Values) error {
	err := r.handleValues(from, values)
	if errors.Is(err, errUnknownBase) {
		r.requestExchange(from)
	}
	return err
}

// requestExchange makes runPushes exchange digests with a peer immediately, unless a request
// is pending already.
func (r *Replica) requestExchange(host string) {
	select {
	case r.exchangeRequests <- host:
	default: // left to the periodic exchange
	}
}

// handleValues processes the values, refusals and digest of a message. It returns the last
// decode error, which is errUnknownBase if the base version of a value is unknown.
func (r *Replica) handleValues(from string, values *knowledgepb.Values) error {
	r.counters.bytesIn.Add(uint64(proto.Size(values)))
	var lastErr error
	for _, msg := range values.GetValues() {
		v, err := decode(msg, r.store.GetVersion)
		if err != nil {
			r.counters.decodeFailures.Add(1)
			lastErr = err
			continue
		}
		r.offer(v, from)
	}
	for _, refusal := range values.GetRefusals() {
		r.handlePeerRefusal(refusal)
	}
	if values.GetDigest() != nil {
		r.handleDigest(from, values.GetDigest())
	}
	return lastErr
}

// handleDigest records the versions that a peer has, and takes over its last contact with the
// service for the keys of which both have the same version.
func (r *Replica) handleDigest(from string, digest *knowledgepb.Digest) {
	r.peers.RecordDigest(from, digestFromProto(digest))
	now := time.Now()
	for _, e := range digest.GetEntries() {
		v, _ := r.store.Get(e.GetKey())
		if f := r.freshness[e.GetKey()]; f != nil && v.Version() == entryVersion(e) && e.GetHeardMs() > 0 {
			r.mu.Lock()
			f.lastContactAt = maxTime(f.lastContactAt, now.Add(-decodeAge(e.GetHeardMs())))
			r.mu.Unlock()
		}
	}
}

// mergeConfirmations takes over the confirmations in the response to an exchange. The peer
// computed their ages after requestedAt, so counting back from requestedAt never makes a
// confirmation too recent. The sending time of other messages is unknown, so their
// confirmations are ignored.
func (r *Replica) mergeConfirmations(digest *knowledgepb.Digest, requestedAt time.Time) {
	for _, e := range digest.GetEntries() {
		v, _ := r.store.Get(e.GetKey())
		if f := r.freshness[e.GetKey()]; f != nil && v.Version() == entryVersion(e) && e.GetConfirmedMs() > 0 {
			r.mu.Lock()
			f.confirmedAt = maxTime(f.confirmedAt, requestedAt.Add(-decodeAge(e.GetConfirmedMs())))
			r.mu.Unlock()
		}
	}
}

func entryVersion(e *knowledgepb.Entry) dissemination.Version {
	return dissemination.Version{Revision: e.GetRevision(), Checksum: e.GetChecksum()}
}

// maxAgeMs bounds the ages in received digests, so that they fit into a time.Duration.
const maxAgeMs = uint64(100 * 365 * 24 * time.Hour / time.Millisecond)

func decodeAge(n uint64) time.Duration { return time.Duration(min(n, maxAgeMs)) * time.Millisecond }

// encodeAge returns the age of t as digests hold it: in milliseconds plus one, or zero if t is
// the zero time.
func encodeAge(t time.Time) uint64 {
	if t.IsZero() {
		return 0
	}
	return 1 + uint64(max(0, time.Since(t).Milliseconds()))
}

// digest returns the current versions on this host, with their ages and the refused versions.
func (r *Replica) digest() *knowledgepb.Digest {
	r.mu.Lock()
	defer r.mu.Unlock()
	msg := &knowledgepb.Digest{Host: r.cfg.Host, Informed: r.startup.done || r.startup.informedPeers() > 0}
	for _, e := range r.store.Digest() {
		entry := &knowledgepb.Entry{Key: e.Key, Revision: e.Version.Revision, Checksum: e.Version.Checksum}
		entry.ConfirmedMs, entry.HeardMs = encodeAge(r.freshness[e.Key].confirmedAt), encodeAge(r.freshness[e.Key].lastContactAt)
		if refusal := r.refusals[e.Key]; refusal != nil && refusalVersion(refusal).After(e.Version) {
			entry.RefusedRevision, entry.RefusedChecksum = refusal.GetRevision(), refusal.GetChecksum()
		}
		msg.Entries = append(msg.Entries, entry)
	}
	return msg
}

func (r *Replica) appendEncoded(updates []dissemination.Update, out *knowledgepb.Values) error {
	for _, u := range updates {
		msg, err := r.encoder.encode(u)
		if err != nil {
			return err
		}
		out.Values = append(out.Values, msg)
	}
	return nil
}

// push sends a peer the given refusals and the values that it lacks according to its last
// known digest.
func (r *Replica) push(ctx context.Context, host string, refusals []*knowledgepb.Refusal) error {
	updates := r.peers.PendingUpdates(host)
	if len(updates)+len(refusals) == 0 {
		return nil
	}
	values := &knowledgepb.Values{Refusals: refusals}
	if err := r.appendEncoded(updates, values); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	r.counters.pushes.Add(1)
	r.counters.bytesOut.Add(uint64(proto.Size(values)))
	r.peers.RecordSent(host, updates)
	if err := r.cfg.Transport.Push(ctx, host, values); err != nil {
		r.counters.pushFailures.Add(1)
		r.requestExchange(host) // the digest in the response shows what arrived
		return err
	}
	return nil
}

// runPushes pushes changes to all peers, at most once per BatchInterval, and runs the
// exchanges that were requested.
func (r *Replica) runPushes(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case host := <-r.exchangeRequests:
			wg.Go(func() { _ = r.exchange(ctx, host) }) // failures are counted
			continue
		case <-r.pushPending:
		}
		refusals := r.drainUnsentRefusals()
		for _, host := range r.cfg.Transport.Peers() {
			wg.Go(func() { _ = r.push(ctx, host, refusals) }) // failures are counted; an exchange delivers what is missing
		}
		sleep(ctx, r.cfg.BatchInterval)
	}
}
