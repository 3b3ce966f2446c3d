package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["quarantine"] = playQuarantine }

const (
	recovery    = 12 * time.Second // recovery_s
	downTime    = 1500 * time.Millisecond
	silenceTime = 1200 * time.Millisecond
	silenceGap  = 2500 * time.Millisecond // from the beginning of one to that of the next
	watchTime   = 15 * time.Second        // of the requests that count
	leastServed = 0.25
)

// playQuarantine: all processes are killed and start again. Then each server falls silent for a
// second or so, one after the other. The clients ask for the state of the same thing again and again.
func playQuarantine(l *lab) ([]string, error) {
	if err := l.addServers(3, 0); err != nil {
		return nil, err
	}
	if err := l.startHosts(3); err != nil {
		return nil, err
	}
	poll := func() call {
		return call{method: http.MethodGet, path: "/cufi504/fi50/2f", id: newID()}
	}
	var all []*traffic
	for _, h := range l.hosts {
		all = append(all, startTraffic(l, h, poll))
	}
	time.Sleep(5 * time.Second)
	faultAt := time.Now()
	if l.trouble {
		l.rec.add("all processes are killed")
		for _, h := range l.hosts {
			h.kill()
		}
		time.Sleep(downTime)
		for _, h := range l.hosts {
			if err := h.start(l.dir); err != nil {
				return nil, err
			}
		}
		for _, h := range l.hosts {
			if err := h.awaitReady(); err != nil {
				return nil, err
			}
		}
	}
	backAt := time.Now()
	l.rec.add("all machines are back")
	for _, s := range l.plain {
		if l.trouble {
			time.Sleep(silenceGap - silenceTime)
			s.fallSilent(silenceTime)
		}
	}
	time.Sleep(time.Until(backAt.Add(recovery + watchTime)))
	var ends sync.WaitGroup
	for _, t := range all {
		ends.Go(t.end)
	}
	ends.Wait()
	before, after := share{}, share{}
	for _, t := range all {
		for _, a := range t.answers {
			sent := t.sentAt[a.id]
			ok := a.err == nil && a.status == http.StatusOK
			switch {
			case sent.Before(faultAt):
				before.add(ok)
			case sent.After(backAt.Add(recovery)):
				after.add(ok)
			}
		}
	}
	l.rec.add("served before the final fault: %s; of those sent later than %s after the machines were back: %s", before, recovery, after)
	if before.part() < leastServed || after.part() >= leastServed {
		return nil, nil
	}
	return []string{fmt.Sprintf("served %s of the requests sent later than %s after the machines were back, %s before the final fault", after, recovery, before)}, nil
}

// share counts requests and those that were served.
type share struct{ served, sent int }

func (s *share) add(served bool) {
	s.sent++
	if served {
		s.served++
	}
}

func (s share) part() float64 { return float64(s.served) / float64(max(s.sent, 1)) }

// String returns the counts.
func (s share) String() string { return fmt.Sprintf("%d of %d", s.served, s.sent) }
