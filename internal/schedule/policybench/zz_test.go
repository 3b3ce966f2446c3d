package policybench_test

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/plantainrun/plantainrun/internal/schedule"
	"github.com/plantainrun/plantainrun/internal/schedule/policybench"
)

func TestZZ(t *testing.T) {
	load, _ := strconv.ParseFloat(os.Getenv("LOAD"), 64)
	f := policybench.Fault(os.Getenv("FAULT"))
	start := time.Now()
	r := policybench.Run(policybench.Scenario{Name: "final", Policy: func(uint64) schedule.Policy {
		p := schedule.NewSlackPolicy()
		if v := os.Getenv("CLOSED"); v != "" {
			p.ClosedToLong, _ = strconv.ParseFloat(v, 64)
		}
		if v := os.Getenv("LPT"); v != "" {
			p.LongPerTarget, _ = strconv.Atoi(v)
		}
		return p
	}, Load: load, Fault: f, Duration: 5 * time.Minute, Seed: 1})
	fmt.Print(r.Rows())
	l, m := r.LeastShare()
	fmt.Println(l, m, r.Rejected, r.MostPromised, time.Since(start))
}
