package ledger

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/plantainrun/plantainrun/coord/identity"
	"github.com/plantainrun/plantainrun/coord/ledger/ledgerpb"
	"github.com/plantainrun/plantainrun/coord/outcome"
	"github.com/plantainrun/plantainrun/coord/ticket"
)

// Closed is the read-only content of a frozen ledger. It holds only tickets
// whose call may have run. It does not contain the owner's key: a ticket's text
// is identified by its hash. A ticket that the ledger does not hold never ran,
// whether it was issued and not used, or forged. Closed is safe for concurrent
// use.
type Closed struct {
	owner     identity.Incarnation
	frozenAt  time.Time // when the ledger was frozen, by the owner's clock
	retention time.Duration
	ttl       time.Duration // how much longer the ledger must be retained
	entries   map[uint64]closedEntry
	size      int
}

type closedEntry struct {
	Expiry time.Time
	Sum    ticket.Sum
	Digest Digest
	Record Record
}

// Owner returns the process that recorded the ledger.
func (c *Closed) Owner() identity.Incarnation { return c.owner }

// Len returns the number of tickets in the ledger.
func (c *Closed) Len() int { return len(c.entries) }

// Size returns the ledger's accounted size in bytes.
func (c *Closed) Size() int { return c.size }

// Lookup returns the record of the ticket's call. It fails with *ClosedError when
// the call never ran, with *RecordExpiredError when the ticket was past its expiry
// and the retention at the freeze, with *MismatchError when the ticket was used
// for a different call, with *UnknownTicketError when the text was altered, and
// with errors of package ticket when the text is malformed or names another owner.
func (c *Closed) Lookup(text string, digest Digest) (Record, error) {
	t, err := ticket.Parse(text)
	if err != nil {
		return Record{}, err
	}
	if t.Owner != c.owner {
		return Record{}, &ticket.WrongOwnerError{Owner: t.Owner}
	}
	e, ok := c.entries[t.Seq]
	if !ok && !c.frozenAt.Before(t.Expiry.Add(c.retention)) {
		return Record{}, &RecordExpiredError{Expiry: t.Expiry}
	}
	if !ok {
		return Record{}, &ClosedError{}
	}
	if e.Sum != ticket.SumOf(text) {
		return Record{}, &UnknownTicketError{}
	}
	if e.Digest != digest {
		return Record{}, &MismatchError{}
	}
	return e.Record, nil
}

// TTL returns how much longer the ledger must be retained: until every ticket of
// the owner is past its expiry and the retention.
func (c *Closed) TTL() time.Duration { return c.ttl }

// withTTL returns a copy of the ledger with the given TTL. The copy shares the
// entries.
func (c *Closed) withTTL(ttl time.Duration) *Closed {
	updated := *c
	updated.ttl = ttl
	return &updated
}

func (c *Closed) accountedBytes() int {
	total := EntryOverheadBytes
	for _, e := range c.entries {
		total += EntryOverheadBytes + e.Record.responseBytes()
	}
	return total
}

// MarshalBinary encodes the closed ledger as a ledgerpb.ClosedLedger.
func (c *Closed) MarshalBinary() ([]byte, error) {
	m := &ledgerpb.ClosedLedger{
		Host:        c.owner.Host,
		Start:       c.owner.Start,
		HorizonMs:   c.frozenAt.UnixMilli(),
		RetentionMs: c.retention.Milliseconds(),
		LifeMs:      c.ttl.Milliseconds(),
		Entries:     make([]*ledgerpb.Entry, 0, len(c.entries)),
	}
	for seq, e := range c.entries {
		m.Entries = append(m.Entries, encodeEntry(seq, e))
	}
	return proto.Marshal(m)
}

// UnmarshalClosed decodes a closed ledger that MarshalBinary encoded.
func UnmarshalClosed(data []byte) (*Closed, error) {
	var m ledgerpb.ClosedLedger
	if err := proto.Unmarshal(data, &m); err != nil {
		return nil, fmt.Errorf("closed ledger cannot be decoded; fetch it from another host: %w", err)
	}
	c := &Closed{
		owner:     identity.Incarnation{Host: m.GetHost(), Start: m.GetStart()},
		frozenAt:  time.UnixMilli(m.GetHorizonMs()),
		retention: time.Duration(m.GetRetentionMs()) * time.Millisecond,
		ttl:       time.Duration(m.GetLifeMs()) * time.Millisecond,
		entries:   make(map[uint64]closedEntry, len(m.GetEntries())),
	}
	for _, pe := range m.GetEntries() {
		e, err := decodeEntry(pe)
		if err != nil {
			return nil, err
		}
		c.entries[pe.GetSeq()] = e
	}
	c.size = c.accountedBytes()
	return c, nil
}

func encodeEntry(seq uint64, e closedEntry) *ledgerpb.Entry {
	r := e.Record
	pe := &ledgerpb.Entry{
		Seq:       seq,
		ExpiryMs:  e.Expiry.UnixMilli(),
		Sum:       e.Sum[:],
		Digest:    e.Digest[:],
		Outcome:   uint32(r.Outcome),
		Status:    int32(r.Status),
		Body:      r.Body,
		BodyBytes: int64(r.BodyBytes),
		Dropped:   r.ResponseDropped,
	}
	if r.ResponseDropped {
		pe.BodySum = r.BodySum[:]
	}
	for _, f := range r.Header {
		pe.Header = append(pe.Header, &ledgerpb.Field{Name: f.Name, Value: f.Value})
	}
	return pe
}

func decodeEntry(pe *ledgerpb.Entry) (closedEntry, error) {
	if len(pe.GetSum()) != len(ticket.Sum{}) || len(pe.GetDigest()) != len(Digest{}) || pe.GetOutcome() > uint32(outcome.Failed) {
		return closedEntry{}, fmt.Errorf("closed ledger has an invalid entry for ticket %d; fetch it from another host", pe.GetSeq())
	}
	e := closedEntry{
		Expiry: time.UnixMilli(pe.GetExpiryMs()),
		Sum:    ticket.Sum(pe.GetSum()),
		Digest: Digest(pe.GetDigest()),
		Record: Record{
			Outcome:         outcome.Outcome(pe.GetOutcome()),
			Status:          int(pe.GetStatus()),
			Body:            pe.GetBody(),
			BodyBytes:       int(pe.GetBodyBytes()),
			ResponseDropped: pe.GetDropped(),
		},
	}
	copy(e.Record.BodySum[:], pe.GetBodySum())
	for _, f := range pe.GetHeader() {
		e.Record.Header = append(e.Record.Header, HeaderField{Name: f.GetName(), Value: f.GetValue()})
	}
	return e, nil
}
