package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

func init() { cases["tickets"] = playTickets }

const (
	longPrompts = 8                      // of each client
	clientDelay = 300 * time.Millisecond // of the second client after the first
	// firstOther is the first number of the second client where the numbers differ.
	firstOther = 1001
)

// playTickets: the clients of two tenants number their attempts, each from 1, and use the same
// machine. Their prompts are too long for one engine.
func playTickets(l *lab) ([]string, error) {
	if err := l.addServers(1, 3); err != nil {
		return nil, err
	}
	if err := l.startHosts(3); err != nil {
		return nil, err
	}
	client := &http.Client{Transport: &http.Transport{}}
	var mu sync.Mutex
	notWhole := 0
	for number := 1; number <= longPrompts; number++ {
		var both sync.WaitGroup
		send := func(key string, number int) {
			c := call{method: http.MethodPost, path: "/lohu930/2f", body: "a long prompt of " + key, id: strconv.Itoa(number), key: key, header: map[string]string{
				names["deadline"]: "15000", names["tokens"]: "300000,80", names["model"]: "m", names["prefix"]: fmt.Sprintf("5c1e07a2:800,%x:299200", number),
			}}
			if a := c.send(client, l.hosts[0], l.rec); a.err != nil || a.status != http.StatusOK {
				mu.Lock()
				defer mu.Unlock()
				notWhole++
			}
		}
		both.Go(func() { send(apiKey, number) })
		time.Sleep(clientDelay)
		both.Go(func() {
			if l.trouble {
				send(otherKey, number)
			} else {
				send(otherKey, firstOther+number)
			}
		})
		both.Wait()
	}
	l.rec.add("%d of %d requests were not answered whole", notWhole, 2*longPrompts)
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	var broken []string
	for _, ticket := range l.fleet.shared {
		broken = append(broken, "two requests used ticket "+ticket+" at the same time")
	}
	return broken, nil
}
