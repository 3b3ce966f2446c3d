package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["lastkey"] = playLastKey }

const (
	revokeBound   = 5 * time.Second // revoke_ms
	revokeGap     = 1500 * time.Millisecond
	revokeMargin  = time.Second // after the bound
	keyedRequests = 9
)

// tenantConfig returns a configuration with one tenant, or none if it has no keys.
func tenantConfig(version int, keys ...string) map[string]any {
	out := config(version)
	out["tenants"] = []any{}
	if len(keys) > 0 {
		out["tenants"] = []any{map[string]any{"name": "hule930", "api_keys": keys, "priority": 1}}
	}
	return out
}

// playLastKey: the keys of the only tenant are taken away, one after the other. A client goes on
// to use the last one.
func playLastKey(l *lab) ([]string, error) {
	if err := l.addServers(3, 0); err != nil {
		return nil, err
	}
	l.store.put(names["config"], tenantConfig(8, apiKey, otherKey))
	if err := l.startHosts(3); err != nil {
		return nil, err
	}
	client := &http.Client{Transport: &http.Transport{}}
	send := func(i int, key string) string {
		id := newID()
		call{method: http.MethodPost, path: "/puxa403/2f", id: id, key: key}.send(client, l.hosts[i%len(l.hosts)], l.rec)
		return id
	}
	for i := range keyedRequests {
		send(i, apiKey)
	}
	ran := func(id string) bool {
		for _, r := range l.fleet.allRuns() {
			if r.id == id {
				return true
			}
		}
		return false
	}
	if l.trouble {
		l.store.put(names["config"], tenantConfig(11, apiKey))
		l.rec.add("the store has accepted version 11, without the key %.4s", otherKey)
		time.Sleep(revokeGap)
		l.store.put(names["config"], tenantConfig(13))
		l.rec.add("the store has accepted version 13, without the key %.4s", apiKey)
	}
	time.Sleep(revokeBound + revokeMargin)
	var broken []string
	for i := range keyedRequests {
		id := send(i, apiKey)
		if l.trouble && ran(id) {
			broken = append(broken, fmt.Sprintf("request %s ran, sent %s after the ack of the version that took its key away", id, revokeBound+revokeMargin))
		}
	}
	const neverKey = "zzzz-in-no-version"
	for i := range keyedRequests {
		if id := send(i, neverKey); ran(id) {
			broken = append(broken, fmt.Sprintf("request %s ran, no version held its key", id))
		}
	}
	return broken, nil
}
