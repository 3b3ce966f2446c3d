package ticket_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/coord/clock"
	"github.com/plantainrun/plantainrun/coord/identity"
	"github.com/plantainrun/plantainrun/coord/ticket"
)

var owner = identity.Incarnation{Host: "host-1", Start: 0xabc}

func newIssuer(t testing.TB, clk clock.Clock, owner identity.Incarnation) *ticket.Issuer {
	t.Helper()
	i, err := ticket.NewIssuer(owner, clk, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	return i
}

func TestVerifyRejectsTicketsNotIssuedHere(t *testing.T) {
	g := gomega.NewWithT(t)
	clk := clock.NewManual(time.Unix(1000, 0))
	issuer := newIssuer(t, clk, owner)
	text, issued := issuer.Issue()
	got, err := issuer.Verify(text)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(got).To(gomega.Equal(issued))
	named, err := ticket.ParseOwner(text)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(named).To(gomega.Equal(owner))

	for i := range text {
		altered := []byte(text)
		altered[i] ^= 'A' ^ 'B'
		_, err := issuer.Verify(string(altered))
		g.Expect(err).To(gomega.HaveOccurred(), "byte %d", i)
	}
	var forged *ticket.ForgedError
	otherKey, _ := newIssuer(t, clk, owner).Issue()
	_, err = issuer.Verify(otherKey)
	g.Expect(errors.As(err, &forged)).To(gomega.BeTrue())

	var other *ticket.WrongOwnerError
	otherProcess, _ := newIssuer(t, clk, identity.Incarnation{Host: "host-1", Start: 0xdef}).Issue()
	_, err = issuer.Verify(otherProcess)
	g.Expect(errors.As(err, &other)).To(gomega.BeTrue())

	var expired *ticket.ExpiredError
	clk.Advance(time.Minute)
	_, err = issuer.Verify(text)
	g.Expect(errors.As(err, &expired)).To(gomega.BeTrue())
}

// Parse returns only typed errors and tickets with an owner, and Verify accepts
// no text other than the one that was issued.
func FuzzParse(f *testing.F) {
	clk := clock.NewManual(time.Unix(1000, 0))
	issuer := newIssuer(f, clk, owner)
	text, _ := issuer.Issue()
	f.Add(text)
	f.Add("")
	f.Add(text + "=")
	f.Add(text[:len(text)-1])
	f.Fuzz(func(t *testing.T, s string) {
		parsed, err := ticket.Parse(s)
		var malformed *ticket.MalformedError
		if err != nil && !errors.As(err, &malformed) {
			t.Fatalf("untyped error %v", err)
		}
		if err == nil && parsed.Owner.Host == "" {
			t.Fatal("Parse accepted a ticket without an owner")
		}
		if _, err := issuer.Verify(s); err == nil && s != text {
			t.Fatalf("Verify accepted %q, which was never issued", s)
		}
	})
}

func BenchmarkIssue(b *testing.B) {
	issuer := newIssuer(b, clock.System{}, owner)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			_, _ = issuer.Issue()
		}
	})
}

func BenchmarkVerify(b *testing.B) {
	issuer := newIssuer(b, clock.System{}, owner)
	text, _ := issuer.Issue()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			_, _ = issuer.Verify(text)
		}
	})
}

func ExampleIssuer() {
	clk := clock.NewManual(time.Unix(1000, 0))
	issuer, _ := ticket.NewIssuer(identity.Incarnation{Host: "host-1", Start: 0xabc}, clk, time.Minute)
	text, _ := issuer.Issue()

	named, _ := ticket.ParseOwner(text)
	fmt.Println(named)
	t, err := issuer.Verify(text)
	fmt.Println(t.Seq, err)
	// Output:
	// host-1@abc
	// 1 <nil>
}
