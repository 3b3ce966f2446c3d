package memory_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/plantainrun/plantainrun/coord/share"
	"github.com/plantainrun/plantainrun/internal/engineapi"
	"github.com/plantainrun/plantainrun/internal/memory"
)

const (
	memoryTokens       = 1200 // tokens of each engine
	shareIncreaseDelay = 100 * time.Second
	maxTerm            = 60 * time.Second
)

var (
	epoch   = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	engines = []string{"a", "b"}
)

// fleet simulates hosts that share the engines over a network that loses, delays
// and repeats messages.
type fleet struct {
	now           time.Time
	ledgers       []*memory.Ledger
	reservedUntil []map[string]time.Time // by host, the end of each reservation
	starts        int                    // processes started so far, for unique incarnations
	messages      []message
}

type message struct {
	to, from int
	request  *share.LoanRequest
	loan     *share.Loan
	returned *share.LoanID
	target   string
}

func newFleet(hosts int) *fleet {
	f := &fleet{now: epoch, ledgers: make([]*memory.Ledger, hosts), reservedUntil: make([]map[string]time.Time, hosts)}
	for i := range hosts {
		f.start(i)
	}
	f.now = f.now.Add(shareIncreaseDelay)
	return f
}

// start starts a new process of host i, which has no state of the previous one.
func (f *fleet) start(i int) {
	f.starts++
	self := fmt.Sprintf("host-%d@%d", i, f.starts)
	f.ledgers[i] = memory.NewLedger(share.Config{Incarnation: self, IncreaseDelay: shareIncreaseDelay, MaxTerm: maxTerm})
	f.reservedUntil[i] = map[string]time.Time{}
	for _, e := range engines {
		f.ledgers[i].SetTarget(f.now, e, memoryTokens, len(f.ledgers))
	}
}

// confirm applies the pending increase of host i's share if all other hosts are
// within theirs.
func (f *fleet) confirm(i int, target string) {
	for j, l := range f.ledgers {
		if j != i && !l.WithinShare(f.now, target) {
			return
		}
	}
	f.ledgers[i].ApplyPendingShare(f.now, target)
}

func (f *fleet) deliver(m message) {
	l := f.ledgers[m.to]
	switch {
	case m.request != nil:
		if loan, ok := l.Lend(f.now, *m.request, 0); ok {
			f.messages = append(f.messages, message{to: m.from, from: m.to, loan: &loan})
		}
	case m.loan != nil:
		l.AcceptLoan(f.now, *m.loan)
	default:
		l.LoanReturned(f.now, m.target, *m.returned)
	}
}

// advance moves the clock forward and releases the reservations that have ended.
func (f *fleet) advance(d time.Duration) {
	f.now = f.now.Add(d)
	for i, reservations := range f.reservedUntil {
		for id, until := range reservations {
			if !until.After(f.now) {
				f.ledgers[i].Release(id)
				delete(reservations, id)
			}
		}
	}
}

func (f *fleet) reserved(target string) int {
	sum := 0
	for _, l := range f.ledgers {
		sum += l.Reserved(target)
	}
	return sum
}

// The reservations on an engine never exceed its memory, whichever messages are
// lost, repeated or delayed and whichever hosts restart. Afterwards all of the
// memory becomes free again.
func TestMemoryIsNeverOvercommitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(2, 3).Draw(t, "hosts"))
		host := func() int { return rapid.IntRange(0, len(f.ledgers)-1).Draw(t, "host") }
		engine := func() string { return rapid.SampledFrom(engines).Draw(t, "engine") }
		lastID := 0
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) {
				f.advance(time.Duration(rapid.IntRange(1, 20_000).Draw(t, "ms")) * time.Millisecond)
			},
			"reserve": func(t *rapid.T) {
				i := host()
				var parts []engineapi.KVPart
				until := f.now.Add(time.Duration(rapid.IntRange(1, 55).Draw(t, "seconds")) * time.Second)
				for _, e := range engines[:rapid.IntRange(1, len(engines)).Draw(t, "parts")] {
					tokens := f.ledgers[i].Free(f.now, e, until)
					if rapid.Bool().Draw(t, "some") {
						tokens = rapid.IntRange(1, memoryTokens/2).Draw(t, "tokens")
					}
					parts = append(parts, engineapi.KVPart{Target: e, Tokens: max(tokens, 1)})
				}
				lastID++
				id := fmt.Sprint(lastID)
				before := []int{f.reserved("a"), f.reserved("b")}
				if err := f.ledgers[i].Reserve(f.now, id, parts, until); err == nil {
					f.reservedUntil[i][id] = until
					return
				}
				after := []int{f.reserved("a"), f.reserved("b")}
				gomega.NewWithT(t).Expect(after).To(gomega.Equal(before))
			},
			"release": func(t *rapid.T) {
				i := host()
				if len(f.reservedUntil[i]) == 0 {
					return
				}
				id := fmt.Sprint(rapid.IntRange(1, lastID).Draw(t, "id"))
				if f.ledgers[i].Release(id) {
					delete(f.reservedUntil[i], id)
				}
			},
			"ask": func(t *rapid.T) {
				i, j := host(), host()
				req, ok := f.ledgers[i].RequestLoan(f.now, engine(), rapid.IntRange(100, memoryTokens).Draw(t, "amount"), maxTerm)
				if !ok || i == j {
					return
				}
				if rapid.Bool().Draw(t, "at once") {
					f.deliver(message{to: j, from: i, request: &req})
					return
				}
				f.messages = append(f.messages, message{to: j, from: i, request: &req})
			},
			"give back": func(t *rapid.T) {
				i, j, target := host(), host(), engine()
				for _, id := range f.ledgers[i].ReturnIdleLoans(f.now, target) {
					f.messages = append(f.messages, message{to: j, from: i, target: target, returned: &id})
				}
			},
			"deliver": func(t *rapid.T) {
				for range rapid.IntRange(1, 4).Draw(t, "count") {
					if len(f.messages) == 0 {
						return
					}
					index := len(f.messages) - 1 - rapid.IntRange(0, min(2, len(f.messages)-1)).Draw(t, "message")
					m := f.messages[index]
					if !rapid.Bool().Draw(t, "again") {
						f.messages = append(f.messages[:index], f.messages[index+1:]...)
					}
					f.deliver(m)
				}
			},
			"restart": func(t *rapid.T) {
				if rapid.Bool().Draw(t, "restart") {
					f.start(host())
				}
			},
			"confirm": func(*rapid.T) { f.confirm(host(), engine()) },
			"": func(t *rapid.T) {
				for _, e := range engines {
					gomega.NewWithT(t).Expect(f.reserved(e)).To(gomega.BeNumerically("<=", memoryTokens), "engine "+e)
				}
			},
		})
		f.checkAllMemoryIsFreed(t)
	})
}

func (f *fleet) checkAllMemoryIsFreed(t *rapid.T) {
	for i, l := range f.ledgers {
		for id := range f.reservedUntil[i] {
			l.Release(id)
		}
	}
	f.now = f.now.Add(shareIncreaseDelay + 2*maxTerm)
	for _, l := range f.ledgers {
		for _, e := range engines {
			gomega.NewWithT(t).Expect(l.Free(f.now, e, f.now)).To(gomega.Equal(memoryTokens / len(f.ledgers)))
		}
	}
}

// A reservation that ends after a loan does not use the loan's memory.
func TestReservationDoesNotUseLoanThatEndsEarlier(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(2)
	req, _ := f.ledgers[0].RequestLoan(f.now, "a", 300, 10*time.Second)
	loan, ok := f.ledgers[1].Lend(f.now, req, 0)
	g.Expect(ok && f.ledgers[0].AcceptLoan(f.now, loan)).To(gomega.BeTrue())
	parts := []engineapi.KVPart{{Target: "a", Tokens: memoryTokens/2 + 200}}
	err := f.ledgers[0].Reserve(f.now, "long", parts, f.now.Add(11*time.Second))
	var insufficient *memory.InsufficientMemoryError
	g.Expect(errors.As(err, &insufficient)).To(gomega.BeTrue())
	g.Expect(insufficient.Free).To(gomega.Equal(memoryTokens / 2))
	g.Expect(f.ledgers[0].Reserve(f.now, "brief", parts, f.now.Add(10*time.Second))).To(gomega.Succeed())
}
