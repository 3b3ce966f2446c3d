package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["encoded"] = playEncoded }

const (
	stable     = 3 * time.Second // stable_ms
	cutTime    = 9 * time.Second
	servedPart = 2.0 / 3 // of the part that the other machines serve
	// failedSlack and failedPart are how many of all first tries may fail at the machine.
	failedSlack = 10
	failedPart  = 1.0 / 50
)

// encodedPath holds a word in Shift_JIS, as a client has to write it in a path.
const encodedPath = "/puxa403/%8DD%96y/2f"

// playEncoded: one machine is partitioned from all servers. The clients' paths hold bytes that are
// not UTF-8, percent-encoded.
func playEncoded(l *lab) ([]string, error) {
	if err := l.addServers(3, 0); err != nil {
		return nil, err
	}
	links, err := l.startBehindLinks()
	if err != nil {
		return nil, err
	}
	book := func() call { return call{method: http.MethodPost, path: encodedPath, body: "a seat", id: newID()} }
	var all []*traffic
	for _, h := range l.hosts {
		all = append(all, startTraffic(l, h, book))
	}
	time.Sleep(2 * time.Second)
	cutAt := time.Now()
	if l.trouble {
		l.rec.add("%s is partitioned from all servers", l.hosts[0].name)
		cutAll(links)
	}
	time.Sleep(cutTime)
	var ends sync.WaitGroup
	for _, t := range all {
		ends.Go(t.end)
	}
	ends.Wait()
	var sent, served [2]int // at the machine, and at the others
	for i, t := range all {
		other := min(i, 1)
		for _, a := range t.answers {
			if t.sentAt[a.id].Before(cutAt.Add(stable)) {
				continue
			}
			sent[other]++
			if a.err == nil && a.status == http.StatusOK && a.header.Get(names["seal"]) != "" {
				served[other]++
			}
		}
	}
	l.rec.add("from %s after the cut began: %s served %d of %d first tries, the others %d of %d", stable, l.hosts[0].name, served[0], sent[0], served[1], sent[1])
	failed := sent[0] - served[0]
	here, there := float64(served[0])/float64(sent[0]), float64(served[1])/float64(sent[1])
	if here >= servedPart*there || float64(failed) <= failedSlack+failedPart*float64(sent[0]+sent[1]) {
		return nil, nil
	}
	return []string{fmt.Sprintf("%s served %d of %d first tries, the other machines %d of %d", l.hosts[0].name, served[0], sent[0], served[1], sent[1])}, nil
}
