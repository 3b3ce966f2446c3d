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

// linkTimeout bounds one exchange or push, since a link can be silent.
const linkTimeout = 2 * time.Second

// runExchanges exchanges digests with one peer after the other. This repairs
// whatever pushes lost.
func (k *Replica) runExchanges(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, k.jittered(k.cfg.ExchangeInterval))
		peers := k.cfg.Transport.Peers()
		k.peers.Keep(peers)
		if host := k.peers.Next(peers); host != "" {
			_ = k.exchange(ctx, host) // counted; the next peer's turn comes anyway
		}
	}
}

// exchange asks a peer for what this host lacks and sends what the peer lacks.
func (k *Replica) exchange(ctx context.Context, host string) error {
	ctx, cancel := context.WithTimeout(ctx, linkTimeout)
	defer cancel()
	digest := k.digest()
	k.counters.bytesOut.Add(uint64(proto.Size(digest)))
	k.counters.exchanges.Add(1)
	asked := time.Now()
	answer, err := k.cfg.Transport.Exchange(ctx, host, digest)
	if err != nil {
		k.counters.exchangeFailures.Add(1)
		return err
	}
	_ = k.heard(host, answer) // what cannot be decoded is counted and comes again
	k.heardConfirmations(answer.GetDigest(), asked)
	k.heardAtStart(host, answer.GetDigest().GetInformed())
	return k.push(ctx, host, nil)
}

// HandleExchange answers a peer's digest with this host's and what the peer lacks.
func (k *Replica) HandleExchange(_ context.Context, from string, digest *knowledgepb.Digest) (*knowledgepb.Values, error) {
	k.counters.bytesIn.Add(uint64(proto.Size(digest)))
	k.heardDigest(from, digest)
	answer := &knowledgepb.Values{Digest: k.digest(), Refusals: k.refusalsFor(digest)}
	updates := k.peers.Lacks(from)
	if err := k.encodeAll(updates, answer); err != nil {
		return nil, err
	}
	k.peers.Sent(from, updates)
	k.counters.bytesOut.Add(uint64(proto.Size(answer)))
	return answer, nil
}

// HandlePush takes what a peer sent.
func (k *Replica) HandlePush(_ context.Context, from string, values *knowledgepb.Values) error {
	err := k.heard(from, values)
	if errors.Is(err, errNoBase) {
		k.askAgain(from)
	}
	return err
}

// askAgain makes the push loop exchange digests with a peer.
func (k *Replica) askAgain(host string) {
	select {
	case k.again <- host:
	default: // the periodic exchange does it
	}
}

// heard takes in a message. It returns errNoBase if a value could not be
// decoded for want of the value that it builds on.
func (k *Replica) heard(from string, values *knowledgepb.Values) error {
	k.counters.bytesIn.Add(uint64(proto.Size(values)))
	var failed error
	for _, msg := range values.GetValues() {
		v, err := decode(msg, k.store.Recent)
		if err != nil {
			k.counters.undecodable.Add(1)
			failed = err
			continue
		}
		k.offer(v, from)
	}
	for _, r := range values.GetRefusals() {
		k.heardRefusal(r)
	}
	if values.GetDigest() != nil {
		k.heardDigest(from, values.GetDigest())
	}
	return failed
}

// heardDigest notes what a peer has, and when it heard of the service.
func (k *Replica) heardDigest(from string, digest *knowledgepb.Digest) {
	k.peers.Heard(from, digestOf(digest))
	now := time.Now()
	for _, e := range digest.GetEntries() {
		v, _ := k.store.Get(e.GetKey())
		if f := k.freshness[e.GetKey()]; f != nil && v.Version() == versionIn(e) && e.GetHeardMs() > 0 {
			k.mu.Lock()
			f.heardAt = later(f.heardAt, now.Add(-milliseconds(e.GetHeardMs())))
			k.mu.Unlock()
		}
	}
}

// heardConfirmations takes over what the answer to an exchange confirms. The
// peer cannot have counted from before it was asked; when other messages were
// sent is not known, so they confirm nothing.
func (k *Replica) heardConfirmations(digest *knowledgepb.Digest, asked time.Time) {
	for _, e := range digest.GetEntries() {
		v, _ := k.store.Get(e.GetKey())
		if f := k.freshness[e.GetKey()]; f != nil && v.Version() == versionIn(e) && e.GetConfirmedMs() > 0 {
			k.mu.Lock()
			f.confirmedAt = later(f.confirmedAt, asked.Add(-milliseconds(e.GetConfirmedMs())))
			k.mu.Unlock()
		}
	}
}

func versionIn(e *knowledgepb.Entry) dissemination.Version {
	return dissemination.Version{Revision: e.GetRevision(), Checksum: e.GetChecksum()}
}

// maxAgeMs bounds the ages that digests give.
const maxAgeMs = uint64(100 * 365 * 24 * time.Hour / time.Millisecond)

func milliseconds(n uint64) time.Duration { return time.Duration(min(n, maxAgeMs)) * time.Millisecond }

// ago is the form in which digests give times.
func ago(at time.Time) uint64 {
	if at.IsZero() {
		return 0
	}
	return 1 + uint64(max(0, time.Since(at).Milliseconds()))
}

// digest returns what this host has in force.
func (k *Replica) digest() *knowledgepb.Digest {
	k.mu.Lock()
	defer k.mu.Unlock()
	msg := &knowledgepb.Digest{Host: k.cfg.Host, Informed: k.start.over || k.start.informed() > 0}
	for _, e := range k.store.Digest() {
		entry := &knowledgepb.Entry{Key: e.Key, Revision: e.Good.Revision, Checksum: e.Good.Checksum}
		entry.ConfirmedMs, entry.HeardMs = ago(k.freshness[e.Key].confirmedAt), ago(k.freshness[e.Key].heardAt)
		if r := k.refusals[e.Key]; r != nil && versionOf(r).After(e.Good) {
			entry.RefusedRevision, entry.RefusedChecksum = r.GetRevision(), r.GetChecksum()
		}
		msg.Entries = append(msg.Entries, entry)
	}
	return msg
}

func (k *Replica) encodeAll(updates []dissemination.Update, into *knowledgepb.Values) error {
	for _, u := range updates {
		msg, err := k.encoder.encode(u)
		if err != nil {
			return err
		}
		into.Values = append(into.Values, msg)
	}
	return nil
}

// push sends a peer the values that it lacks, as far as is known, and the refusals.
func (k *Replica) push(ctx context.Context, host string, refusals []*knowledgepb.Refusal) error {
	updates := k.peers.Lacks(host)
	if len(updates)+len(refusals) == 0 {
		return nil
	}
	values := &knowledgepb.Values{Refusals: refusals}
	if err := k.encodeAll(updates, values); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, linkTimeout)
	defer cancel()
	k.counters.pushes.Add(1)
	k.counters.bytesOut.Add(uint64(proto.Size(values)))
	k.peers.Sent(host, updates)
	if err := k.cfg.Transport.Push(ctx, host, values); err != nil {
		k.counters.pushFailures.Add(1)
		k.askAgain(host) // its digest tells what arrived
		return err
	}
	return nil
}

// runPushes passes changes on to all links, some time after the first of them.
func (k *Replica) runPushes(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case host := <-k.again:
			wg.Go(func() { _ = k.exchange(ctx, host) }) // counted
			continue
		case <-k.changed:
		}
		refusals := k.takeRefusals()
		for _, host := range k.cfg.Transport.Peers() {
			wg.Go(func() { _ = k.push(ctx, host, refusals) }) // counted; exchanges repair it
		}
		sleep(ctx, k.cfg.BatchInterval)
	}
}
