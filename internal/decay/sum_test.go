package decay_test

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/internal/decay"
)

func TestTermsLoseWeightExponentially(t *testing.T) {
	const timeConstant = 10 * time.Second
	g := NewWithT(t)
	start := time.Unix(1000, 0)
	var s decay.Sum
	g.Expect(s.Value(start, timeConstant)).To(BeZero())
	s.Add(2, start, timeConstant)
	g.Expect(s.Value(start, timeConstant)).To(Equal(2.0))
	s.Add(1, start.Add(timeConstant), timeConstant)
	g.Expect(s.Value(start.Add(timeConstant), timeConstant)).To(BeNumerically("~", 2/math.E+1, 1e-9))
	s.Set(5, start.Add(timeConstant))
	g.Expect(s.Value(start.Add(2*timeConstant), timeConstant)).To(BeNumerically("~", 5/math.E, 1e-9))
}
