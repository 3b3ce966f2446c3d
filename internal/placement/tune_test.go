package placement_test

import (
	"fmt"
	"os"
	"testing"
	"time"
)

func TestTune(t *testing.T) {
	if os.Getenv("TUNE") == "" {
		t.Skip()
	}
	scaled := func(k kind, x float64) kind { k.perSecond *= x; return k }
	wide := handbook
	loads := map[string][]kind{
		"1 even 0.85":      {scaled(question, .85), scaled(review, .85), scaled(wide, .85)},
		"2 even 1.15":      {scaled(question, 1.15), scaled(review, 1.15), scaled(wide, 1.15)},
		"3 handbooks":      {scaled(question, .38), scaled(review, 1.3), scaled(wide, 2.7)},
		"4 handbooks 0.85": {scaled(question, .32), scaled(review, 1.1), scaled(wide, 2.3)},
		"5 questions":      {scaled(question, 2.4), scaled(review, .5), scaled(wide, .05)},
		"6 questions 1.1":  {scaled(question, 2.64), scaled(review, .5), scaled(wide, .05)},
	}
	worth := map[string]float64{"question": 1.3, "review": 3.9, "handbook": 15}
	total := 0.0
	for _, name := range []string{"1 even 0.85", "2 even 1.15", "3 handbooks", "4 handbooks 0.85", "5 questions", "6 questions 1.1"} {
		var got, owed float64
		shares := map[string]*tally{}
		for seed := uint64(0); seed < 8; seed++ {
			for k, ta := range play(scenario{kinds: loads[name], hosts: 6, engines: 23, length: 12 * time.Second, lag: 3 * time.Millisecond}, seed) {
				if shares[k] == nil {
					shares[k] = &tally{}
				}
				shares[k].asked += ta.asked
				shares[k].inTime += ta.inTime
				got += worth[k] * (0.25*float64(ta.asked) + 0.75*float64(ta.inTime))
				owed += worth[k] * float64(ta.asked)
			}
		}
		fmt.Printf("%-18s q %.3f r %.3f h %.3f worth %.3f\n", name, shares["question"].share(), shares["review"].share(), shares["handbook"].share(), got/owed)
		total += got / owed
	}
	fmt.Printf("TOTAL %.4f\n", total/6)
}
