package ticket

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"hash"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainrun/plantainrun/coord/clock"
	"github.com/plantainrun/plantainrun/coord/identity"
)

const keyBytes = 32

// Issuer issues and verifies the tickets of one process. It is safe for
// concurrent use.
type Issuer struct {
	owner    identity.Incarnation
	clk      clock.Clock
	lifetime time.Duration
	seq      atomic.Uint64
	macs     sync.Pool // of hash.Hash: HMACs with this issuer's key
}

// NewIssuer returns an Issuer with a fresh random key. Tickets are valid for
// lifetime on clk, which should not go backwards (see clock.Steady).
func NewIssuer(owner identity.Incarnation, clk clock.Clock, lifetime time.Duration) (*Issuer, error) {
	if owner.Host == "" || len(owner.Host) > maxHostBytes {
		return nil, errors.New("ticket: the owner's host id must have 1 to 255 bytes; correct the setting")
	}
	if lifetime < time.Millisecond {
		return nil, errors.New("ticket: the lifetime must be at least 1ms; correct the setting")
	}
	key := make([]byte, keyBytes)
	if _, err := rand.Read(key); err != nil {
		return nil, err
	}
	i := &Issuer{owner: owner, clk: clk, lifetime: lifetime}
	i.macs.New = func() any { return hmac.New(sha256.New, key) }
	return i, nil
}

// Owner returns the process that the tickets name as their owner.
func (i *Issuer) Owner() identity.Incarnation { return i.owner }

// Issue returns the encoded text of a new ticket, and the ticket itself.
func (i *Issuer) Issue() (string, Ticket) {
	t := Ticket{
		Owner:  i.owner,
		Seq:    i.seq.Add(1),
		Expiry: i.clk.Now().Add(i.lifetime).Truncate(time.Millisecond),
	}
	raw := appendPayload(make([]byte, 0, fixedBytes+len(i.owner.Host)+sha256.Size), t)
	return encoding.EncodeToString(i.appendMAC(raw, raw)), t
}

// Verify decodes a ticket and checks its owner, MAC and expiry. It fails with
// *MalformedError, *WrongOwnerError, *ForgedError or *ExpiredError. An expired
// ticket has a valid MAC and is returned together with the error.
func (i *Issuer) Verify(text string) (Ticket, error) {
	t, payload, mac, err := decode(text)
	if err != nil {
		return Ticket{}, err
	}
	if t.Owner != i.owner {
		return Ticket{}, &WrongOwnerError{Owner: t.Owner}
	}
	var want [sha256.Size]byte
	if !hmac.Equal(mac, i.appendMAC(want[:0], payload)) {
		return Ticket{}, &ForgedError{}
	}
	if !i.clk.Now().Before(t.Expiry) {
		return t, &ExpiredError{Expiry: t.Expiry}
	}
	return t, nil
}

// appendMAC appends the truncated MAC of payload to dst.
func (i *Issuer) appendMAC(dst, payload []byte) []byte {
	h := i.macs.Get().(hash.Hash)
	defer i.macs.Put(h)
	h.Reset()
	_, _ = h.Write(payload)
	return h.Sum(dst)[:len(dst)+macBytes]
}
