package schedule_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/coord/clock"
	"github.com/plantainrun/plantainrun/coord/outcome"
	"github.com/plantainrun/plantainrun/coord/share"
	"github.com/plantainrun/plantainrun/internal/engineapi"
	"github.com/plantainrun/plantainrun/internal/rules"
	"github.com/plantainrun/plantainrun/internal/schedule"
	"github.com/plantainrun/plantainrun/internal/standin/enginemodel"
	"github.com/plantainrun/plantainrun/internal/topology"
)

// hostPair is two hosts that share engines and exchange messages.
type hostPair struct {
	now      time.Time
	clock    *clock.Manual
	hosts    map[string]*schedule.Local
	messages []func()
}

func newHostPair(targets ...topology.Target) *hostPair {
	p := &hostPair{now: epoch, clock: clock.NewManual(epoch), hosts: map[string]*schedule.Local{}}
	names := []string{"host-1", "host-2"}
	for _, name := range names {
		p.hosts[name] = schedule.New(schedule.Config{
			Self: name, Clock: p.clock,
			SendLoanRequest: func(peer string, req schedule.MemoryLoanRequest) {
				p.send(func() {
					if loan, ok := p.hosts[peer].Lend(p.now, req); ok {
						p.send(func() { p.hosts[name].AcceptLoan(p.now, loan) })
					}
				})
			},
			SendLoanReturn: func(peer, target string, id share.LoanID) {
				p.send(func() { p.hosts[peer].LoanReturned(p.now, target, id) })
			},
		})
	}
	for _, name := range names {
		l := p.hosts[name]
		l.SetTargets(targets)
		l.SetHosts(names, nil)
		for _, t := range targets {
			l.Report(p.now, t.ID, engineapi.LoadReport{
				Incarnation: "1", Model: "advice", ObservedMS: p.now.UnixMilli(), PrefillRate: prefillRate, DecodeRate: decodeRate,
			})
		}
	}
	return p
}

func (p *hostPair) send(deliver func()) { p.messages = append(p.messages, deliver) }

// step advances the time by a millisecond, delivers the messages sent before and
// polls both hosts.
func (p *hostPair) step() {
	p.clock.Advance(time.Millisecond)
	p.now = p.now.Add(time.Millisecond)
	arrived := p.messages
	p.messages = nil
	for _, deliver := range arrived {
		deliver()
	}
	for _, name := range []string{"host-1", "host-2"} {
		p.hosts[name].Poll(p.now)
	}
}

func group(name string, count int) []topology.Target {
	var targets []topology.Target
	for i := range count {
		e := engine(fmt.Sprintf("%s-%d", name, i), engineSize)
		e.Group = name
		targets = append(targets, e)
	}
	return targets
}

// Two prompts at two hosts each need most of the only group of engines. They must
// run one after the other, also under a load of short prompts: without an order
// among the claims, each host could hold memory that the other waits for.
func TestGroupPromptsDoNotDeadlock(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newHostPair(group("g", 3)...)
	granted := map[string]schedule.Grant{}
	offer := func(host, id string, tokens int) {
		req := schedule.Request{
			ID: id, Partner: "p", Organisation: host, Model: "advice", PromptTokens: tokens, MaxTokens: 100,
			Arrival: p.now, Deadline: p.now.Add(5 * time.Minute),
		}
		_, err := p.hosts[host].Offer(p.now, req, func(gr schedule.Grant, err error) {
			g.Expect(err).NotTo(gomega.HaveOccurred(), id)
			granted[id] = gr
		})
		g.Expect(err).NotTo(gomega.HaveOccurred(), id)
	}
	ends := map[string]time.Time{}
	step := func() {
		p.step()
		for id, gr := range granted {
			if _, known := ends[id]; !known {
				gr.FirstToken(p.now)
				ends[id] = p.now.Add(time.Second)
			}
			if ends[id].Equal(p.now) {
				delete(granted, id)
				gr.Release(p.now, outcome.Done)
			}
		}
	}
	offer("host-1", "long-1", 110_000)
	offer("host-2", "long-2", 110_000)
	for i := range 20_000 {
		if i%100 == 0 {
			offer("host-1", fmt.Sprintf("short-1-%d", i), 1_000)
			offer("host-2", fmt.Sprintf("short-2-%d", i), 1_000)
		}
		step()
		total := map[string]int{}
		for _, l := range p.hosts {
			for _, s := range l.Snapshot().Targets {
				total[s.ID] += s.Reserved
				g.Expect(total[s.ID]).To(gomega.BeNumerically("<=", engineSize))
			}
		}
	}
	g.Expect(ends).To(gomega.HaveKey("long-1"))
	g.Expect(ends).To(gomega.HaveKey("long-2"))
}

// With equal weights, each organisation with demand gets at least nine tenths of
// its fair share in each window of ten seconds, regardless of what another
// organisation of its partner sends and of the weights and objective in that
// partner's rules.
func TestFairShareUnderBurst(t *testing.T) {
	g := gomega.NewWithT(t)
	const engines, window, windows = 2, 10 * time.Second, 6
	var targets []topology.Target
	models := map[string]*enginemodel.Engine{}
	for i := range engines {
		e := engine(fmt.Sprint(i), engineSize)
		targets = append(targets, e)
		models[e.ID] = enginemodel.New(enginemodel.Config{
			MemoryTokens: engineSize, PrefillRate: prefillRate, DecodeInterval: 20 * time.Millisecond,
		}, epoch, uint64(i))
	}
	d := newHarness(targets...)
	d.local.SetRules([]rules.Set{
		{Partner: "p", Objective: rules.ObjectiveFirstToken, Organisations: []rules.Organisation{
			{Name: "burst", Weight: 50}, {Name: "small", Weight: 50},
		}},
		{Partner: "q", Objective: rules.ObjectiveSlowdown, Organisations: []rules.Organisation{{Name: "only", Weight: 1}}},
	})
	// Two organisations of p, one of which sends ten times as much in larger prompts, and one of q.
	flows := []struct {
		partner, org  string
		tokens, depth int
		share         float64
	}{{"p", "burst", 4_000, 200, 0.25}, {"p", "small", 2_000, 40, 0.25}, {"q", "only", 1_000, 120, 0.5}}
	open := make([]int, len(flows))
	served := make([]float64, len(flows))
	flowOf, running := map[string]int{}, map[string]schedule.Grant{}
	submit := func(id string, gr schedule.Grant, flow int) {
		running[id] = gr
		err := models[gr.Target().ID].Submit(d.now, enginemodel.Job{
			ID: id, PromptTokens: flows[flow].tokens, MaxTokens: 10, Priority: gr.Priority(), Deadline: d.now.Add(time.Hour),
		})
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	refill := func() {
		for i, f := range flows {
			for ; open[i] < f.depth; open[i]++ {
				id := fmt.Sprint(len(flowOf))
				flowOf[id] = i
				_, err := d.local.Offer(d.now, schedule.Request{
					ID: id, Partner: f.partner, Organisation: f.org, Model: "advice", PromptTokens: f.tokens, MaxTokens: 10,
					Arrival: d.now, Deadline: d.now.Add(time.Hour),
				}, func(gr schedule.Grant, _ error) { submit(id, gr, i) })
				g.Expect(err).NotTo(gomega.HaveOccurred())
			}
		}
	}
	handle := func(ev enginemodel.Event) {
		i := flowOf[ev.ID]
		switch ev.Kind {
		case enginemodel.FirstToken:
			served[i] += float64(flows[i].tokens)
			running[ev.ID].FirstToken(ev.At)
		case enginemodel.Finished:
			open[i]--
			running[ev.ID].Release(ev.At, outcome.Done)
		}
	}
	for w := range windows {
		clear(served)
		for range window / (10 * time.Millisecond) {
			refill()
			d.advance(10 * time.Millisecond)
			for _, t := range targets {
				for _, ev := range models[t.ID].Advance(d.now) {
					handle(ev)
				}
			}
		}
		if w == 0 {
			continue // the engines still run requests from before the other organisations had demand
		}
		total := served[0] + served[1] + served[2]
		g.Expect(total).To(gomega.BeNumerically(">", 0.9*engines*prefillRate*window.Seconds()))
		for i, f := range flows {
			g.Expect(served[i]).To(gomega.BeNumerically(">=", 0.9*f.share*total), "%s in window %d", f.org, w)
		}
	}
}
