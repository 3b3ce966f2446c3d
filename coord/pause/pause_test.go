package pause_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/coord/clock"
	"github.com/plantainrun/plantainrun/coord/pause"
)

// After a pause, the resumed code may check its mark before the ticker of Run has fired.
func TestMarkIsInvalidBeforeTickerFires(t *testing.T) {
	g := gomega.NewWithT(t)
	clk := clock.NewManual(time.Unix(0, 0))
	d := pause.New(clk, time.Second)
	mark := d.Mark()
	clk.Advance(time.Second)
	g.Expect(mark.Valid()).To(gomega.BeTrue())
	clk.Advance(time.Hour)
	g.Expect(mark.Valid()).To(gomega.BeFalse())
	g.Expect(d.Mark().Valid()).To(gomega.BeTrue())
	g.Expect(d.Stats()).To(gomega.Equal(pause.Stats{Pauses: 1, Longest: time.Hour}))
	g.Expect(pause.Mark{}.Valid()).To(gomega.BeFalse())
}

func TestRunKeepsMarksValidWithoutPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		d := pause.New(clock.System{}, pause.DefaultThreshold)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go d.Run(ctx, pause.DefaultInterval, nil)
		mark := d.Mark()
		time.Sleep(time.Hour)
		g.Expect(mark.Valid()).To(gomega.BeTrue())
	})
}

func ExampleMark() {
	clk := clock.NewManual(time.Unix(0, 0))
	d := pause.New(clk, time.Second)
	mark := d.Mark()
	clk.Advance(time.Minute) // the process is stopped and resumed
	fmt.Println(mark.Valid())
	// Output: false
}
