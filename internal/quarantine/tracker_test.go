package quarantine_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/plantainrun/plantainrun/internal/catalog"
	"github.com/plantainrun/plantainrun/internal/quarantine"
)

// settleTime is longer than peers' reports take.
const settleTime = time.Second

// reportLog records what a tracker reports, from any goroutine.
type reportLog struct {
	mu      sync.Mutex
	reports []quarantine.Answers
}

func (l *reportLog) add(a quarantine.Answers) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reports = append(l.reports, a)
}

func (l *reportLog) all() []quarantine.Answers {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.reports)
}

func newTracker() (*quarantine.Tracker, *reportLog) {
	reports := &reportLog{}
	return quarantine.New(quarantine.Config{
		Now: time.Now, Report: reports.add,
		HostCount: func() int { return 7 }, Log: zap.NewNop(),
	}), reports
}

func crashAt(engine int, request uint64, parts ...string) quarantine.Crash {
	return quarantine.Crash{Request: request, Target: catalog.TargetKey{ID: fmt.Sprint("engine-", engine)}, Parts: parts}
}

// crashEngines records crashes of different engines under different prompts and waits
// until peers have had time to report answers.
func crashEngines(tr *quarantine.Tracker, count int, parts ...string) {
	for engine := range count {
		tr.RecordCrash(crashAt(engine, uint64(engine), parts...))
	}
	time.Sleep(settleTime)
}

func quarantined(tr *quarantine.Tracker, part string) bool {
	_, found := tr.Quarantined([]string{part})
	return found
}

func TestPartOfManyCrashesIsQuarantinedAndPartsBesideItAreNot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		tr, _ := newTracker()
		for engine := range 3 {
			tr.RecordCrash(crashAt(engine, uint64(engine), "shared", "bad"))
			tr.RecordCrash(crashAt(engine, uint64(10+engine), "shared", fmt.Sprint("other-", engine)))
		}
		time.Sleep(settleTime)
		g.Expect(quarantined(tr, "bad")).To(BeTrue())
		g.Expect(quarantined(tr, "shared")).To(BeFalse())
		g.Expect(quarantined(tr, "other-0")).To(BeFalse())
	})
}

// If only prompts with the part break off, all their shared parts have the same crashes.
func TestOfPartsWithTheSameCrashesTheLeastClearedAndLastIsQuarantined(t *testing.T) {
	for _, cleared := range [][]string{{"first", "last"}, {"first"}, nil} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			tr, _ := newTracker()
			tr.RecordAnswer(cleared)
			crashEngines(tr, 6, "first", "bad", "last")
			expected := "bad"
			if len(cleared) < 2 {
				expected = "last"
			}
			g.Expect(quarantined(tr, expected)).To(BeTrue())
			g.Expect(tr.Entries()).To(HaveLen(1))
		})
	}
}

func TestRepeatsOfOnePromptDoNotQuarantineItsParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr, _ := newTracker()
		for engine := range 5 {
			tr.RecordCrash(crashAt(engine, 1, "rare"))
		}
		time.Sleep(settleTime)
		NewWithT(t).Expect(quarantined(tr, "rare")).To(BeFalse())
	})
}

func TestAnswersClearAPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		tr, reports := newTracker()
		tr.RecordAnswer([]string{"popular"})
		tr.RecordAnswer([]string{"popular"})
		for engine := range 4 {
			tr.RecordCrash(crashAt(engine, uint64(engine), "popular", "elsewhere"))
		}
		tr.RecordPeerAnswers("peer", quarantine.Answers{Part: "elsewhere", Count: 2})
		time.Sleep(settleTime)
		g.Expect(quarantined(tr, "popular")).To(BeFalse())
		g.Expect(quarantined(tr, "elsewhere")).To(BeFalse())
		g.Expect(reports.all()).To(HaveLen(1), "the answers are reported once")
		g.Expect(reports.all()[0].Part).To(Equal("popular"))
	})
}

func TestLateAnswersReleaseAPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		tr, _ := newTracker()
		crashEngines(tr, 3, "slow")
		g.Expect(quarantined(tr, "slow")).To(BeTrue())
		tr.RecordAnswer([]string{"slow"})
		g.Expect(quarantined(tr, "slow")).To(BeFalse())
	})
}

// A host that releases a part without telling the others would be told again that the
// part is in quarantine.
func TestReleaseOfAPartIsReportedToPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		tr, reports := newTracker()
		crashEngines(tr, 3, "slow")
		g.Expect(quarantined(tr, "slow")).To(BeTrue())
		tr.RecordAnswer([]string{"slow"})
		g.Expect(quarantined(tr, "slow")).To(BeFalse())
		time.Sleep(settleTime)
		g.Expect(reports.all()).To(HaveLen(1))
		g.Expect(reports.all()[0].Count).To(BeNumerically(">", 0.9))
		tr.RecordAnswer([]string{"slow"})
		time.Sleep(settleTime)
		g.Expect(reports.all()).To(HaveLen(1), "later answers are not reported")
	})
}

func TestPartThatExplainsMoreCrashesReplacesAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		tr, _ := newTracker()
		for engine := range 3 {
			tr.RecordCrash(crashAt(engine, uint64(engine), "companion", "bad"))
			tr.RecordCrash(crashAt(engine, uint64(10+engine), "bad"))
		}
		time.Sleep(settleTime)
		g.Expect(quarantined(tr, "companion")).To(BeTrue())
		for engine := 3; engine < 7; engine++ {
			tr.RecordCrash(crashAt(engine, uint64(engine), "bad"))
		}
		time.Sleep(settleTime)
		g.Expect(quarantined(tr, "bad")).To(BeTrue())
		g.Expect(quarantined(tr, "companion")).To(BeFalse())
	})
}

// The first prompt after a quarantine tells whether the part still crashes engines.
func TestQuarantineEndsAndOneCrashRenewsItForLonger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		tr, _ := newTracker()
		crashEngines(tr, 3, "bad")
		first := tr.Entries()
		g.Expect(first).To(HaveLen(1))
		time.Sleep(first[0].Period)
		g.Expect(quarantined(tr, "bad")).To(BeFalse())
		tr.RecordCrash(crashAt(7, 7, "bad"))
		time.Sleep(settleTime)
		g.Expect(tr.Entries()).To(HaveLen(1))
		g.Expect(tr.Entries()[0].Period).To(BeNumerically(">", first[0].Period))
	})
}

func TestPeersQuarantineIsTakenOverWithItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		tr, _ := newTracker()
		tr.Merge(quarantine.Entry{Part: "bad", Left: time.Minute, Period: 5 * time.Minute})
		g.Expect(quarantined(tr, "bad")).To(BeTrue())
		time.Sleep(time.Minute)
		g.Expect(quarantined(tr, "bad")).To(BeFalse())
	})
}
