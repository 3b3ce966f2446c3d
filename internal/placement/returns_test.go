package placement_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/internal/placement"
	"github.com/plantainrun/plantainrun/internal/standin/fleetmodel"
)

const returnObjective = 4 * time.Second

// contendedPrompt is a long prompt under admission.
func contendedPrompt(key placement.PromptKey) placement.Request {
	return placement.Request{
		Service: "llm", Engine: &engineSpec, PromptTokens: longPromptTokens, OutputTokens: 200, Objective: returnObjective, Contended: true, Key: key, Patience: 12 * time.Second,
	}
}

// busyPlacer returns a Placer whose two engines have the given backlog.
func busyPlacer(clock *manualClock, backlog time.Duration) *placement.Placer {
	placer := placement.NewPlacer(clock.Now, 1)
	for i, target := range engineTargets(2) {
		placer.RemoteStarted("busy", placement.Job{ID: placement.JobID(i), Service: "llm", Weight: 1, Objective: returnObjective,
			Shares: []placement.Share{{Target: target.TargetKey, PrefillTime: backlog, Decodes: true}}})
	}
	return placer
}

// refusals collects what a Placer tells of refused prompts.
type refusals struct {
	placement.JobObserver
	refused  []placement.RefusedPrompt
	returned []placement.PromptKey
}

func (r *refusals) PromptRefused(p placement.RefusedPrompt) { r.refused = append(r.refused, p) }

func (r *refusals) PromptReturned(_ string, key placement.PromptKey) {
	r.returned = append(r.returned, key)
}

func refuse(g Gomega, placer *placement.Placer, key placement.PromptKey) *placement.BacklogError {
	_, err := placer.Place(contendedPrompt(key), engineTargets(2))
	var backlogged *placement.BacklogError
	g.Expect(errors.As(err, &backlogged)).To(BeTrue())
	return backlogged
}

// A caller who was refused at one host is recognised at another one, once for each refusal,
// with the time since its first try. A prompt with another key is another one.
func TestReturnIsRecognisedAtAnotherHost(t *testing.T) {
	g := NewWithT(t)
	clock := newManualClock()
	here, there := busyPlacer(clock, 3*time.Second), busyPlacer(clock, 3*time.Second)
	told := &refusals{}
	here.SetObserver(told)
	there.SetObserver(&refusals{})
	refuse(g, here, 7)
	refuse(g, here, 7) // the same prompt of a second caller
	for _, p := range told.refused {
		there.RecordPeerRefused("here", p)
		there.RecordPeerRefused("here", p) // told again after a reconnect
	}
	clock.advance(1500 * time.Millisecond)
	g.Expect(there.RecogniseReturn("llm", 8)).To(BeZero())
	for range 2 {
		earlier := there.RecogniseReturn("llm", 7)
		g.Expect(earlier.Returned).To(BeTrue())
		g.Expect(earlier.Waited).To(Equal(1500 * time.Millisecond))
	}
	g.Expect(there.RecogniseReturn("llm", 7)).To(BeZero())
	here.RecordPeerReturned("llm", 7)
	g.Expect(here.RecogniseReturn("llm", 7).Returned).To(BeTrue(), "the second caller has not come back")
	g.Expect(told.returned).To(Equal([]placement.PromptKey{7}))
	g.Expect(here.RecogniseReturn("llm", 7)).To(BeZero())
}

// A caller who has given up is not expected any more, and a host that joins later learns only
// of those who may still come.
func TestRefusalIsForgottenOnceTheCallerHasGivenUp(t *testing.T) {
	g := NewWithT(t)
	clock := newManualClock()
	placer := busyPlacer(clock, 3*time.Second)
	refuse(g, placer, 1)
	clock.advance(5 * time.Second)
	known := placer.RefusedPrompts("")
	g.Expect(known).To(HaveLen(1))
	g.Expect(known[0].Waited).To(Equal(5 * time.Second))
	g.Expect(known[0].Wait).To(BeNumerically("<", 0))
	g.Expect(known[0].Expires).To(Equal(7 * time.Second))
	clock.advance(8 * time.Second)
	g.Expect(placer.RefusedPrompts("")).To(BeEmpty())
	g.Expect(placer.RecogniseReturn("llm", 1)).To(BeZero())
}

// A flood of refusals takes bounded memory, and the latest ones are kept.
func TestRefusalsTakeBoundedMemory(t *testing.T) {
	g := NewWithT(t)
	const flood, bound = 20_000, 4096
	placer := placement.NewPlacer(newManualClock().Now, 1)
	for i := range uint64(flood) {
		placer.RecordPeerRefused("peer", placement.RefusedPrompt{ID: i, Key: placement.PromptKey(i + 1), Service: "llm", Expires: time.Minute})
	}
	g.Expect(len(placer.RefusedPrompts("peer"))).To(BeNumerically("<=", bound))
	g.Expect(placer.RecogniseReturn("llm", flood).Returned).To(BeTrue())
}

// A caller who comes back as promised is admitted where a new one is refused, and until it
// comes its prompt counts as work to come, but not for long after that.
func TestPromisedPromptComesBeforeNewOnes(t *testing.T) {
	g := NewWithT(t)
	clock := newManualClock()
	placer := busyPlacer(clock, 1300*time.Millisecond)
	promise := refuse(g, placer, 1)
	g.Expect(promise.Promised).To(BeTrue())
	refuse(g, placer, 2)
	earlier := placer.RecogniseReturn("llm", 1)
	g.Expect(earlier.Promised).To(BeTrue())
	returned := contendedPrompt(1)
	returned.Waited, returned.Promised = earlier.Waited, earlier.Promised
	_, err := placer.Place(returned, engineTargets(2))
	g.Expect(err).NotTo(HaveOccurred())
}

// Guards against room that is kept for callers who don't come a third time.
func TestCallerWhoIsRefusedAgainIsPromisedNoRoom(t *testing.T) {
	g := NewWithT(t)
	placer := busyPlacer(newManualClock(), 1300*time.Millisecond)
	returned := contendedPrompt(1)
	returned.Returned = true
	var refused *placement.BacklogError
	_, err := placer.Place(returned, engineTargets(2))
	g.Expect(errors.As(err, &refused)).To(BeTrue())
	g.Expect(refused.Promised).To(BeFalse())
	g.Expect(refuse(g, placer, 2).Promised).To(BeTrue(), "there is room for one who is refused for the first time")
}

// Promised prompts whose callers don't come hold back no other prompt for long, so a promise
// idles no engine.
func TestPromisesLapse(t *testing.T) {
	g := NewWithT(t)
	clock := newManualClock()
	placer := placement.NewPlacer(clock.Now, 1)
	for i := range uint64(200) {
		placer.RecordPeerRefused("lost", placement.RefusedPrompt{
			ID: i, Key: placement.PromptKey(i + 10), Service: "llm", Expires: time.Minute, Work: 3 * time.Second, Promised: true, Wait: time.Millisecond,
		})
	}
	refuse(g, placer, 1)
	clock.advance(time.Second)
	_, err := placer.Place(contendedPrompt(2), engineTargets(2))
	g.Expect(err).NotTo(HaveOccurred())
}

// Of the callers who were promised room and come back when told, fewer than one in twenty are
// refused again, whatever the load.
func TestPromisesAreKept(t *testing.T) {
	for name, load := range fleetmodel.Loads() {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			load.Contention = true
			returned, promised, again, broken := 0, 0, 0, 0
			for _, r := range playLoad(load) {
				s := r["long"]
				returned, promised, again, broken = returned+s.Returned, promised+s.Promised, again+s.RefusedAgain, broken+s.PromisesBroken
			}
			t.Logf("%d callers came back, %d of them promised room; %d refused again, %d of them promised room", returned, promised, again, broken)
			g.Expect(promised).To(BeNumerically(">", 0))
			g.Expect(float64(broken)).To(BeNumerically("<=", float64(promised)/20))
		})
	}
}

// Guards against measuring what is promised at all engines by the sample of them that a host
// compares: promises that leave room at each engine hold back no prompt, however many there are.
func TestPromisesAreSpreadOverAllEngines(t *testing.T) {
	const promisedPerEngine = time.Second // of the 1.2 s within which engines have to begin
	for _, engines := range []int{23, 96, 195, 500} {
		t.Run(fmt.Sprint(engines), func(t *testing.T) {
			g := NewWithT(t)
			placer := placement.NewPlacer(newManualClock().Now, 1)
			for i := range uint64(engines) {
				placer.RecordPeerRefused("peer", placement.RefusedPrompt{
					ID: i, Key: placement.PromptKey(i + 10), Service: "llm", Expires: time.Minute, Work: promisedPerEngine, Promised: true,
				})
			}
			_, err := placer.Place(contendedPrompt(1), engineTargets(engines))
			g.Expect(err).NotTo(HaveOccurred())
		})
	}
}
