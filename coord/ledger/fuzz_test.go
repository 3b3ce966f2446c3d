package ledger_test

import (
	"errors"
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/plantainrun/plantainrun/coord/clock"
	"github.com/plantainrun/plantainrun/coord/identity"
	"github.com/plantainrun/plantainrun/coord/ledger"
	"github.com/plantainrun/plantainrun/coord/outcome"
	"github.com/plantainrun/plantainrun/coord/ticket"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "1000")
}

const (
	lifetime    = 10 * time.Second
	retention   = 20 * time.Second
	maxResponse = 100
)

// modelTicket is the expected state of one ticket.
type modelTicket struct {
	text   string
	key    ledger.Key
	state  ledger.State
	digest *ledger.Digest
	record ledger.Record
}

// harness runs random operations on a ledger and on a model of it.
type harness struct {
	g             *gomega.WithT
	clk           *clock.Manual
	cfg           ledger.Config
	issuer        *ticket.Issuer
	ledger        *ledger.Ledger
	tickets       []*modelTicket
	closed        *ledger.Closed
	frozenAt      time.Time     // when the ledger was frozen
	frozenTickets []modelTicket // the model's tickets at the freeze
}

func newHarness(t *rapid.T) *harness {
	m := &harness{g: gomega.NewWithT(t), clk: clock.NewManual(time.Unix(1_000_000, 0))}
	m.cfg = ledger.Config{
		MaxEntries:       rapid.IntRange(1, 12).Draw(t, "max entries"),
		MaxBytes:         rapid.IntRange(1, 8).Draw(t, "max answers") * (ledger.EntryOverheadBytes + maxResponse),
		MaxResponseBytes: maxResponse,
		Retention:        retention,
		Shards:           rapid.IntRange(1, 3).Draw(t, "shards"),
	}
	owner := identity.Incarnation{Host: "host-1", Start: 7}
	var err error
	m.issuer, err = ticket.NewIssuer(owner, m.clk, lifetime)
	m.g.Expect(err).NotTo(gomega.HaveOccurred())
	m.ledger = ledger.New(owner, m.clk, m.cfg)
	return m
}

// expectedUsage returns the number of tickets that the ledger must still hold, and
// their accounted bytes.
func (m *harness) expectedUsage() (entries, bytes int) {
	now := m.clk.Now()
	for _, expected := range m.tickets {
		until := expected.key.Expiry
		if expected.state == ledger.StateFinished {
			until = until.Add(retention)
		}
		claimed := expected.state == ledger.StateClaimed || expected.state == ledger.StateStarted
		if claimed || now.Before(until) {
			entries++
			bytes += ledger.EntryOverheadBytes + m.responseBytes(expected)
		}
	}
	return entries, bytes
}

func (m *harness) responseBytes(expected *modelTicket) int {
	switch expected.state {
	case ledger.StateFinished:
		return len(expected.record.Body)
	case ledger.StateVoid:
		return 0
	default:
		return maxResponse
	}
}

func (m *harness) issue() {
	text, tk := m.issuer.Issue()
	key := ledger.KeyOf(tk, text)
	err := m.ledger.Reserve(key)
	entries, bytes := m.expectedUsage()
	fits := entries < m.cfg.MaxEntries && bytes+ledger.EntryOverheadBytes+maxResponse <= m.cfg.MaxBytes
	var full *ledger.FullError
	switch {
	case m.closed != nil:
		m.g.Expect(err).To(gomega.HaveOccurred())
		return
	case errors.As(err, &full):
		// Claims that are open after their expiry keep their entries until the next check.
		m.g.Expect(fits && m.ledger.Stats().ActiveClaims == 0 && int(m.ledger.Stats().Entries) == entries).To(gomega.BeFalse(), "rejected a reservation although it fits")
		return
	}
	m.g.Expect(err).NotTo(gomega.HaveOccurred())
	m.g.Expect(fits).To(gomega.BeTrue(), "accepted a ticket beyond the limits")
	m.tickets = append(m.tickets, &modelTicket{text: text, key: key, state: ledger.StateIssued})
}

// begin calls Begin for the ticket and checks the result against the model.
func (m *harness) begin(expected *modelTicket, digest ledger.Digest) {
	result, record, err := m.ledger.Begin(expected.key, digest)
	now := m.clk.Now()
	ran := expected.state == ledger.StateStarted || expected.state == ledger.StateFinished
	var mismatch *ledger.MismatchError
	var expired *ledger.ExpiredError
	var closed *ledger.ClosedError
	var recordExpired *ledger.RecordExpiredError
	var void *ledger.VoidError
	if err == nil && expected.digest != nil {
		m.g.Expect(*expected.digest).To(gomega.Equal(digest), "accepted a different call for the ticket")
	}
	switch {
	case errors.As(err, &mismatch):
		m.g.Expect(*expected.digest).NotTo(gomega.Equal(digest))
	case errors.As(err, &void):
		m.g.Expect(expected.state).To(gomega.Equal(ledger.StateVoid))
	case errors.As(err, &expired), errors.As(err, &closed):
		m.g.Expect(ran).To(gomega.BeFalse(), "reported as never run, but the call ran")
		m.g.Expect(m.closed != nil || !now.Before(expected.key.Expiry)).To(gomega.BeTrue())
	case errors.As(err, &recordExpired):
		m.g.Expect(now.Before(expected.key.Expiry.Add(retention))).To(gomega.BeFalse(), "record dropped before the retention was over")
	case result == ledger.Claimed:
		m.g.Expect(expected.state).To(gomega.Equal(ledger.StateIssued), "claimed a second run")
		m.g.Expect(m.closed).To(gomega.BeNil(), "claimed a run after the freeze")
		expected.state, expected.digest = ledger.StateClaimed, &digest
	case result == ledger.InProgress:
		m.g.Expect(expected.state).To(gomega.BeElementOf(ledger.StateClaimed, ledger.StateStarted))
	default:
		m.g.Expect(expected.state).To(gomega.Equal(ledger.StateFinished))
		m.g.Expect(record.Body).To(gomega.Equal(expected.record.Body))
		m.g.Expect(record.ResponseDropped).To(gomega.Equal(expected.record.ResponseDropped))
	}
}

func (m *harness) start(expected *modelTicket) {
	err := m.ledger.MarkStarted(expected.key.Seq)
	if expected.state != ledger.StateClaimed && expected.state != ledger.StateStarted || m.closed != nil {
		m.g.Expect(err).To(gomega.HaveOccurred())
		return
	}
	m.g.Expect(err).NotTo(gomega.HaveOccurred())
	expected.state = ledger.StateStarted
}

func (m *harness) end(expected *modelTicket, bodyBytes int) {
	if expected.state != ledger.StateClaimed && expected.state != ledger.StateStarted {
		m.g.Expect(m.ledger.Release(expected.key.Seq)).NotTo(gomega.Succeed())
		return
	}
	if bodyBytes == 0 {
		m.g.Expect(m.ledger.Void(expected.key.Seq)).To(gomega.Succeed())
		expected.state = ledger.StateVoid
		return
	}
	if expected.state == ledger.StateClaimed {
		m.g.Expect(m.ledger.Release(expected.key.Seq)).To(gomega.Succeed())
		expected.state = ledger.StateIssued
		return
	}
	body := make([]byte, bodyBytes)
	copy(body, fmt.Sprint(expected.key.Seq))
	m.g.Expect(m.ledger.Finish(expected.key.Seq, ledger.Record{Outcome: outcome.Done, Status: 201, Body: body})).To(gomega.Succeed())
	expected.state = ledger.StateFinished
	expected.record = ledger.Record{Outcome: outcome.Done, Body: body}
	if bodyBytes > maxResponse {
		expected.record.Body, expected.record.ResponseDropped = nil, true
	}
}

func (m *harness) freeze() {
	if m.closed != nil {
		return
	}
	data, err := m.ledger.Freeze().MarshalBinary()
	m.g.Expect(err).NotTo(gomega.HaveOccurred())
	m.closed, err = ledger.UnmarshalClosed(data)
	m.g.Expect(err).NotTo(gomega.HaveOccurred())
	m.frozenAt = m.clk.Now()
	for _, expected := range m.tickets {
		m.frozenTickets = append(m.frozenTickets, *expected)
	}
}

// checkClosed compares the closed ledger with the model's state at the freeze.
func (m *harness) checkClosed() {
	for _, expected := range m.frozenTickets {
		digest := ledger.Digest{}
		if expected.digest != nil {
			digest = *expected.digest
		}
		record, err := m.closed.Lookup(expected.text, digest)
		var notRun *ledger.ClosedError
		var recordExpired *ledger.RecordExpiredError
		switch {
		case errors.As(err, &recordExpired):
			m.g.Expect(m.frozenAt.Before(expected.key.Expiry.Add(retention))).To(gomega.BeFalse())
		case expected.state == ledger.StateFinished:
			m.g.Expect(err).NotTo(gomega.HaveOccurred())
			m.g.Expect(record.Body).To(gomega.Equal(expected.record.Body))
		case expected.state == ledger.StateStarted:
			m.g.Expect(err).NotTo(gomega.HaveOccurred())
			m.g.Expect(record.Outcome).To(gomega.Equal(outcome.Unknown))
		default:
			m.g.Expect(errors.As(err, &notRun)).To(gomega.BeTrue(), "%v", err)
		}
	}
}

func TestLedgerAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newHarness(t)
		m.issue()
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			m.step(t)
			stats := m.ledger.Stats()
			m.g.Expect(int(stats.Entries)).To(gomega.BeNumerically("<=", m.cfg.MaxEntries))
			m.g.Expect(int(stats.Bytes)).To(gomega.BeNumerically("<=", m.cfg.MaxBytes))
		}
		m.freeze()
		m.checkClosed()
	})
}

func (m *harness) step(t *rapid.T) {
	selected := &modelTicket{}
	if len(m.tickets) > 0 {
		selected = m.tickets[rapid.IntRange(0, len(m.tickets)-1).Draw(t, "ticket")]
	}
	switch rapid.IntRange(0, 12).Draw(t, "step") {
	case 0, 1, 2:
		m.issue()
	case 3, 4, 5:
		m.begin(selected, ledger.DigestOf([]byte(rapid.SampledFrom([]string{"a", "a", "a", "b"}).Draw(t, "body"))))
	case 6, 7:
		m.start(selected)
	case 8, 9:
		m.end(selected, rapid.SampledFrom([]int{0, 1, maxResponse, maxResponse + 1}).Draw(t, "answer"))
	case 10:
		if rapid.IntRange(0, 9).Draw(t, "freeze") == 0 {
			m.freeze()
		}
	default:
		m.clk.Advance(time.Duration(rapid.IntRange(0, 8).Draw(t, "seconds")) * time.Second)
	}
}
