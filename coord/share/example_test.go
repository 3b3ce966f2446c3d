package share_test

import (
	"fmt"
	"time"

	"github.com/plantainrun/plantainrun/coord/share"
)

// Two hosts share a limit of 100 and one borrows 30 from the other for a second.
func ExampleAllocation() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	a := share.NewAllocation(share.Config{Incarnation: "a@1"}, "tokens")
	b := share.NewAllocation(share.Config{Incarnation: "b@1"}, "tokens")
	a.SetLimit(now, 100, 2)
	b.SetLimit(now, 100, 2)

	req := a.RequestLoan(now, 30, time.Second) // a sends the request to b
	loan, ok := b.Lend(now, req, 40)           // b sends the loan to a
	fmt.Println(ok, a.AcceptLoan(now, loan), a.Available(), b.Available())

	later := now.Add(2 * time.Second)
	a.Advance(later)
	b.Advance(later)
	fmt.Println(a.Available(), b.Available())
	// Output:
	// true true 80 20
	// 50 50
}

// A limiter admits its host's share of a rate.
func ExampleLimiter() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	l := share.NewLimiter(share.Config{Incarnation: "a@1"}, "organisation", now)
	l.SetLimit(now, 1000, 2000, 2) // 1,000 per second and a burst of 2,000 over two hosts

	now = now.Add(time.Second)
	ok, _ := l.Allow(now, 500)
	fmt.Println(ok)
	ok, wait := l.Allow(now, 100)
	fmt.Println(ok, wait)
	// Output:
	// true
	// false 200ms
}
