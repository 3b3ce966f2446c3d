package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["poison"] = playPoison }

const (
	poisonBody    = "a file that crashes engines"
	poisonSpacing = 250 * time.Millisecond
	poisonTime    = 80 * time.Second
	thirdCrash    = 3
	allowedAfter  = 3 // arrivals later than stable_ms after the third crash
)

// playPoison: a request that crashes each server that begins to run it comes again and again, at
// one machine after the other.
func playPoison(l *lab) ([]string, error) {
	if err := l.addServers(1, 8); err != nil {
		return nil, err
	}
	for _, s := range l.engines {
		s.poison = poisonBody
	}
	if err := l.startHosts(6); err != nil {
		return nil, err
	}
	client := &http.Client{Transport: &http.Transport{}}
	body := poisonBody
	if !l.trouble {
		body = "a file"
	}
	var sent sync.WaitGroup
	var mu sync.Mutex
	sentAt := make(map[string]time.Time)
	ticker := time.NewTicker(poisonSpacing)
	defer ticker.Stop()
	for i := range int(poisonTime / poisonSpacing) {
		<-ticker.C
		sent.Go(func() {
			c := call{method: http.MethodPost, path: "/lohu930/2f", body: body, id: newID(), header: map[string]string{
				names["deadline"]: "10000", names["tokens"]: "45000,80", names["model"]: "m", names["prefix"]: "5c1e07a2:40,91bd3f06:44960",
			}}
			mu.Lock()
			sentAt[c.id] = time.Now()
			mu.Unlock()
			c.send(client, l.hosts[i%len(l.hosts)], l.rec)
		})
	}
	sent.Wait()
	if !l.trouble {
		return nil, nil
	}
	third, ok := l.fleet.crashTime(thirdCrash)
	if !ok {
		return nil, errNoCrash
	}
	var late []string
	for _, r := range l.fleet.allRuns() {
		if after := sentAt[r.id].Sub(third); after > stable {
			late = append(late, fmt.Sprintf("request %s, sent %.1f s after the third crash, reached server %s", r.id, after.Seconds(), r.server))
		}
	}
	if len(late) <= allowedAfter {
		return nil, nil
	}
	return late, nil
}
