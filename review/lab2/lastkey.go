package main

import (
	"fmt"
	"time"

	"github.com/plantainrun/plantainrun/review/lab2/wire"
)

const (
	// revokeTime is revoke_ms of the settings.
	revokeTime = 5 * time.Second
	// strangeKey is a key that no configuration ever held.
	strangeKey = "key-of-nobody"
)

// playLastKey takes the only tenant away, or another one than the caller's, and sends requests
// with its key after the time within which it must not work any more.
func playLastKey(l *lab, trouble bool) (verdict, error) {
	d := l.deployment(plainTargets)
	both := `[{"name":"school","api_keys":["` + apiKey + `"],"priority":1},{"name":"clinic","api_keys":["key-of-clinic"],"priority":1}]`
	before, after := both, `[{"name":"clinic","api_keys":["key-of-clinic"],"priority":1}]`
	if trouble {
		before, after = schoolOnly, `[]`
	}
	d.PutRawConfig(wire.Config(10, before, false))
	hosts, err := l.startHosts(d.StoreAddr, "north", "south", "centre")
	if err != nil {
		return verdict{}, err
	}
	send := func(note, id, key string, front string) int {
		status, body, err := call(front, wire.Call{Method: "POST", Path: "/order/1", ID: id, Key: key, Deadline: 4000}, "x")
		runs := d.RunLog.ForRequest(id)
		l.logf("%s: %s, runs at targets: %d", note, outcome(status, body, err), len(runs))
		for _, r := range runs {
			l.logf("  target %s, tenant %q", r.Target, r.Tenant)
		}
		return len(runs)
	}
	if send("before, the key of the tenant", "a0", apiKey, hosts[0].front) != 1 {
		return verdict{}, standinError("the key does not work to begin with")
	}
	if send("before, a key that nobody holds", "a1", strangeKey, hosts[0].front) != 0 {
		return verdict{}, standinError("a key that nobody holds works to begin with")
	}
	d.PutRawConfig(wire.Config(13, after, false))
	l.logf("the store has acknowledged version 13 with the tenants %s", after)
	time.Sleep(revokeTime + time.Second)
	wrong := 0
	for i, h := range hosts {
		wrong += send(h.name+", the key that was taken away", fmt.Sprintf("b%d", i), apiKey, h.front)
		wrong += send(h.name+", a key that nobody ever held", fmt.Sprintf("c%d", i), strangeKey, h.front)
	}
	if wrong > 0 {
		return verdict{broken: true, reason: fmt.Sprintf("%d requests ran without a valid key", wrong)}, nil
	}
	return verdict{reason: "no request ran without a valid key"}, nil
}
