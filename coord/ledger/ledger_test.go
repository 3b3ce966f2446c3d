package ledger_test

import (
	"encoding/binary"
	"errors"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/coord/clock"
	"github.com/plantainrun/plantainrun/coord/identity"
	"github.com/plantainrun/plantainrun/coord/ledger"
	"github.com/plantainrun/plantainrun/coord/outcome"
	"github.com/plantainrun/plantainrun/coord/ticket"
)

var owner = identity.Incarnation{Host: "host-1", Start: 7}

func keyFor(seq uint64, expiry time.Time) ledger.Key {
	k := ledger.Key{Seq: seq, Expiry: expiry}
	binary.BigEndian.PutUint64(k.Sum[:], seq)
	return k
}

func TestClosedLedgerRefusesAlteredText(t *testing.T) {
	g := gomega.NewWithT(t)
	clk := clock.NewManual(time.Unix(1000, 0))
	l := ledger.New(owner, clk, ledger.DefaultConfig())
	issuer, err := ticket.NewIssuer(owner, clk, time.Minute)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	text, tk := issuer.Issue()
	digest := ledger.DigestOf([]byte("body"), "POST", "/deposits")
	g.Expect(l.Reserve(ledger.KeyOf(tk, text))).To(gomega.Succeed())
	_, _, err = l.Begin(ledger.KeyOf(tk, text), digest)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(l.MarkStarted(tk.Seq)).To(gomega.Succeed())
	g.Expect(l.Finish(tk.Seq, ledger.Record{Outcome: outcome.Done, Status: 201, Body: []byte("ok")})).To(gomega.Succeed())
	closed := l.Freeze()

	record, err := closed.Lookup(text, digest)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(record.Body).To(gomega.Equal([]byte("ok")))
	flipped := []byte(text)
	last := &flipped[len(flipped)-2] // a character of the MAC; the result is still base64url
	if *last++; *last == '{' || *last == '[' || *last == ':' || *last == '.' || *last == '`' {
		*last = 'a'
	}
	var altered *ledger.UnknownTicketError
	_, err = closed.Lookup(string(flipped), digest)
	g.Expect(errors.As(err, &altered)).To(gomega.BeTrue(), "%v", err)
	var mismatch *ledger.MismatchError
	_, err = closed.Lookup(text, ledger.DigestOf([]byte("other")))
	g.Expect(errors.As(err, &mismatch)).To(gomega.BeTrue(), "%v", err)
}

func TestClosedStoreDropsExpiredLedgers(t *testing.T) {
	g := gomega.NewWithT(t)
	clk := clock.NewManual(time.Unix(1000, 0))
	cfg := ledger.DefaultConfig()
	l := ledger.New(owner, clk, cfg)
	g.Expect(l.Reserve(keyFor(1, clk.Now().Add(time.Minute)))).To(gomega.Succeed())
	store := ledger.NewClosedStore(clk, 1, 1<<20)
	g.Expect(store.Add(l.Freeze())).To(gomega.Succeed())

	other := ledger.New(identity.Incarnation{Host: "host-2", Start: 1}, clk, cfg).Freeze()
	var full *ledger.StoreFullError
	g.Expect(errors.As(store.Add(other), &full)).To(gomega.BeTrue())

	clk.Advance(time.Minute)
	receiver := ledger.NewClosedStore(clk, 1, 1<<20)
	g.Expect(receiver.Add(store.All()[0])).To(gomega.Succeed())
	clk.Advance(cfg.Retention - time.Second)
	_, held := receiver.Get(owner)
	g.Expect(held).To(gomega.BeTrue())
	clk.Advance(time.Second)
	_, held = receiver.Get(owner)
	g.Expect(held).To(gomega.BeFalse(), "sending a ledger to another store must not extend its TTL")
	g.Expect(store.Add(other)).To(gomega.Succeed())
}

func TestSealWaitsForClaims(t *testing.T) {
	g := gomega.NewWithT(t)
	clk := clock.NewManual(time.Unix(1000, 0))
	l := ledger.New(owner, clk, ledger.DefaultConfig())
	key := keyFor(1, clk.Now().Add(time.Minute))
	g.Expect(l.Reserve(key)).To(gomega.Succeed())
	_, _, err := l.Begin(key, ledger.Digest{})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	idle := l.Seal()
	g.Expect(idle).NotTo(gomega.BeClosed())
	g.Expect(l.Release(1)).To(gomega.Succeed())
	g.Expect(idle).To(gomega.BeClosed())
}

// Of several goroutines that begin the same ticket concurrently, exactly one gets
// the claim.
func TestConcurrentBeginsClaimOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	clk := clock.NewManual(time.Unix(1000, 0))
	l := ledger.New(owner, clk, ledger.DefaultConfig())
	const tickets, workers = 200, 8
	var first [tickets]atomic.Int32
	for seq := range uint64(tickets) {
		g.Expect(l.Reserve(keyFor(seq, clk.Now().Add(time.Minute)))).To(gomega.Succeed())
	}
	var group sync.WaitGroup
	for range workers {
		group.Go(func() {
			for seq := range uint64(tickets) {
				verdict, _, _ := l.Begin(keyFor(seq, clk.Now().Add(time.Minute)), ledger.Digest{})
				if verdict == ledger.Claimed && l.MarkStarted(seq) == nil {
					first[seq].Add(1)
				}
				_ = l.Stats()
			}
		})
	}
	group.Wait()
	for seq := range first {
		g.Expect(first[seq].Load()).To(gomega.BeEquivalentTo(1))
	}
}

// responseBodyBytes is about the size of a service's response to a reservation.
const responseBodyBytes = 256

// fill records n finished calls.
func fill(l *ledger.Ledger, n int, expiry time.Time) {
	for seq := range uint64(n) {
		key := keyFor(seq, expiry)
		_ = l.Reserve(key)
		_, _, _ = l.Begin(key, ledger.Digest{})
		_ = l.MarkStarted(seq)
		body := make([]byte, responseBodyBytes)
		_ = l.Finish(seq, ledger.Record{Outcome: outcome.Done, Status: 201, Body: body})
	}
}

// The accounted size of an entry must not be below the heap memory that it uses.
func TestEntryOverheadIsAccounted(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(heapPerTicket(20_000)).To(gomega.BeNumerically("<=", ledger.EntryOverheadBytes+responseBodyBytes))
}

func heapPerTicket(n int) float64 {
	clk := clock.NewManual(time.Unix(1000, 0))
	cfg := ledger.DefaultConfig()
	cfg.MaxEntries, cfg.MaxBytes = n, 1<<30
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	l := ledger.New(owner, clk, cfg)
	fill(l, n, clk.Now().Add(time.Minute))
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(l)
	return float64(after.HeapAlloc-before.HeapAlloc) / float64(n)
}

func BenchmarkBytesPerTicket(b *testing.B) {
	for b.Loop() {
		b.ReportMetric(heapPerTicket(50_000), "bytes/ticket")
	}
}

func BenchmarkHandover(b *testing.B) {
	const tickets = 10_000
	clk := clock.NewManual(time.Unix(1000, 0))
	l := ledger.New(owner, clk, ledger.DefaultConfig())
	fill(l, tickets, clk.Now().Add(time.Minute))
	for b.Loop() {
		data, err := l.Freeze().MarshalBinary()
		if err != nil {
			b.Fatal(err)
		}
		if _, err := ledger.UnmarshalClosed(data); err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(data))/tickets, "bytes/ticket")
	}
}

func BenchmarkLookup(b *testing.B) {
	for _, shards := range []int{1, 32} {
		b.Run(fmt.Sprint("shards=", shards), func(b *testing.B) {
			const tickets = 50_000
			clk := clock.System{}
			cfg := ledger.DefaultConfig()
			cfg.MaxEntries, cfg.MaxBytes, cfg.Shards = tickets, 1<<30, shards
			l := ledger.New(owner, clk, cfg)
			expiry := clk.Now().Add(time.Hour)
			fill(l, tickets, expiry)
			var next atomic.Uint64
			b.RunParallel(func(pb *testing.PB) {
				seq := next.Add(7919)
				for pb.Next() {
					seq++
					_, _, _ = l.Begin(keyFor(seq%tickets, expiry), ledger.Digest{})
				}
			})
		})
	}
}

func ExampleLedger() {
	clk := clock.NewManual(time.Unix(1000, 0))
	l := ledger.New(identity.Incarnation{Host: "host-1", Start: 7}, clk, ledger.DefaultConfig())
	key := ledger.Key{Seq: 1, Expiry: clk.Now().Add(time.Minute)}
	call := ledger.DigestOf([]byte("seat 12"), "POST", "/reservations")

	_ = l.Reserve(key)
	verdict, _, _ := l.Begin(key, call)
	fmt.Println(verdict == ledger.Claimed)
	_ = l.MarkStarted(key.Seq)
	_ = l.Finish(key.Seq, ledger.Record{Outcome: outcome.Done, Status: 201, Body: []byte("seat 12 is yours")})

	verdict, record, _ := l.Begin(key, call)
	fmt.Println(verdict == ledger.Recorded, string(record.Body))
	// Output:
	// true
	// true seat 12 is yours
}
