package once_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/plantainrun/plantainrun/coord/clock"
	"github.com/plantainrun/plantainrun/coord/identity"
	"github.com/plantainrun/plantainrun/coord/retry"
	"github.com/plantainrun/plantainrun/internal/once"
	"github.com/plantainrun/plantainrun/internal/service"
	standin "github.com/plantainrun/plantainrun/internal/standin/service"
	"github.com/plantainrun/plantainrun/internal/topology"
)

// fixedPicker always picks the same target.
type fixedPicker struct{ addr netip.AddrPort }

func (s fixedPicker) Pick(context.Context, string, []string) (topology.Target, error) {
	return topology.Target{ID: "a", Addr: s.addr}, nil
}
func (fixedPicker) MarkLeaving(topology.Target) {}

// BenchmarkTicketPath reports the duration of a call with a ticket divided by
// that of the same call without one; both open a new connection.
func BenchmarkTicketPath(b *testing.B) {
	_, addr, stop, err := standin.Listen()
	if err != nil {
		b.Fatal(err)
	}
	defer stop()
	client := service.New(service.DefaultConfig())
	budget, _ := retry.New(retry.DefaultConfig())
	cfg := once.DefaultOwnerConfig()
	cfg.Ledger.MaxEntries, cfg.Ledger.MaxBytes = 10_000_000, 8<<30
	owner, err := once.NewOwner(identity.Incarnation{Host: "A", Start: 1}, clock.System{}, cfg, fixedPicker{addr}, client, budget)
	if err != nil {
		b.Fatal(err)
	}
	router := once.NewRouter(owner, nil, nil)
	body := []byte("one seat")
	var plain, ticketed time.Duration
	for b.Loop() {
		start := time.Now()
		if r := client.Do(context.Background(), addr, service.Call{ID: "r", Method: "POST", Path: "/deposits", Body: body}); r.Err != nil {
			b.Fatal(r.Err)
		}
		middle := time.Now()
		text, err := owner.NewTicket()
		if err != nil {
			b.Fatal(err)
		}
		if _, err := router.Execute(context.Background(), once.Call{Ticket: text, Service: "s", Method: "POST", Path: "/deposits", Body: body}); err != nil {
			b.Fatal(err)
		}
		plain += middle.Sub(start)
		ticketed += time.Since(middle)
	}
	b.ReportMetric(float64(ticketed)/float64(plain), "ticket/plain")
	b.ReportMetric(0, "ns/op")
}
