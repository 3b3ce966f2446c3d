package passmodel_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/internal/catalog"
	"github.com/plantainrun/plantainrun/internal/standin/passmodel"
)

// engineSpec holds the engine figures that both users publish.
var engineSpec = catalog.Engine{
	Slots: 16, MemoryTokens: 232000, StepTime: 1020 * time.Microsecond, StepTimePerSeq: 2260 * time.Nanosecond,
	StepTimePerKiloToken: 4310 * time.Nanosecond, PrefillRate: 206000, AttentionTimePerMPairs: 138 * time.Microsecond, StepsPerPass: 43,
}

type eventTimes struct{ events []time.Duration }

func (times *eventTimes) request(prompt, events int) *passmodel.Request {
	return &passmodel.Request{PromptTokens: prompt, OutputEvents: events, OnEvent: func(_ int, now time.Duration) { times.events = append(times.events, now) }}
}

func TestPrefillTimeMatchesPublishedFigures(t *testing.T) {
	for _, tokens := range []int{5000, 45000, 133000} {
		g := NewWithT(t)
		fleet := passmodel.NewFleet(engineSpec, 1)
		var times eventTimes
		fleet.Submit(times.request(tokens, 1), []int{0})
		fleet.Advance(time.Minute)
		g.Expect(times.events).To(HaveLen(1))
		prefill := engineSpec.PrefillTime(tokens)
		pass := time.Duration(engineSpec.StepsPerPass+tokens/2048+2) * 2 * engineSpec.StepTime
		g.Expect(times.events[0]).To(BeNumerically("~", prefill+pass/2, pass/2+prefill/20), "%d tokens", tokens)
	}
}

func TestSharedPrefillIsFaster(t *testing.T) {
	g := NewWithT(t)
	first := func(engines ...int) time.Duration {
		fleet := passmodel.NewFleet(engineSpec, 4)
		var times eventTimes
		fleet.Submit(times.request(133000, 1), engines)
		fleet.Advance(time.Minute)
		return times.events[0]
	}
	g.Expect(first(0, 1, 2, 3)).To(BeNumerically("<", first(0)*35/100))
}

func TestLongPrefillDelaysOtherStreams(t *testing.T) {
	g := NewWithT(t)
	fleet := passmodel.NewFleet(engineSpec, 1)
	var short, long eventTimes
	fleet.Submit(short.request(5000, 20), []int{0})
	fleet.Advance(200 * time.Millisecond)
	fleet.Submit(long.request(133000, 1), []int{0})
	fleet.Advance(time.Minute)
	maxGap := time.Duration(0)
	for i := 1; i < len(short.events); i++ {
		maxGap = max(maxGap, short.events[i]-short.events[i-1])
	}
	g.Expect(maxGap).To(BeNumerically(">", time.Second))
}

func TestLowerPriorityValueIsAdmittedFirst(t *testing.T) {
	g := NewWithT(t)
	oneSlot := engineSpec
	oneSlot.Slots = 1
	fleet := passmodel.NewFleet(oneSlot, 1)
	var running, late, urgent eventTimes
	fleet.Submit(running.request(5000, 5), []int{0})
	lateRequest := late.request(5000, 1)
	lateRequest.Priority = 8
	fleet.Submit(lateRequest, []int{0})
	fleet.Submit(urgent.request(5000, 1), []int{0})
	fleet.Advance(time.Minute)
	g.Expect(urgent.events[0]).To(BeNumerically("<", late.events[0]))
}
