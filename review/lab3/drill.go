package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// revokeBound is revoke_ms.
	revokeBound = 5 * time.Second
	// copyAge is how long after the key was taken away the store goes away, to come back from
	// a copy that is a little older than that.
	copyAge = 6 * time.Second
	// storeAway is how long the store is away.
	storeAway = 500 * time.Millisecond
	// writtenAgain is how long after its return the operator writes again.
	writtenAgain = 1500 * time.Millisecond
	// drillInterval is the time between two requests at a host.
	drillInterval = 50 * time.Millisecond
	// goneKey is the key that is taken away.
	goneKey = "key-that-goes"
)

// drillConfig returns a configuration in which the tenant has the given keys.
func drillConfig(version int, keys ...string) json.RawMessage {
	text := strings.Replace(configText, `"version":7`, fmt.Sprintf(`"version":%d`, version), 1)
	return json.RawMessage(strings.Replace(text, `"`+callerKey+`"`, `"`+strings.Join(keys, `","`)+`"`, 1))
}

// playDrill takes a key away. Seconds later one host is restarted, while the store comes back
// from a copy that still has the key.
func playDrill(l *lab) (bool, error) {
	f, err := newFleet(3, 20*time.Millisecond, false)
	if err != nil {
		return false, err
	}
	defer f.close()
	store := f.views[0].store
	store.Put(wire["config"], drillConfig(9, callerKey, goneKey))
	hosts, err := l.startHosts(f.views[0].addr, f.views[0].addr, f.views[0].addr)
	if err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	store.Put(wire["config"], drillConfig(12, callerKey))
	revokedAt := time.Now()
	l.note("version 12, without the key, is acknowledged")
	var group sync.WaitGroup
	var mu sync.Mutex
	late, callers := 0, newCaller()
	stop := make(chan struct{})
	for i, h := range hosts {
		group.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(drillInterval):
				}
				id := fmt.Sprintf("d%d-%d", i, n)
				sentAt := time.Now()
				a := callers.sendWithKey(h, http.MethodPost, "/order/"+id, id, goneKey, time.Second)
				runs := f.ran(id)
				if runs > 0 || a.status == http.StatusOK {
					l.note("%s at %s with the key, sent %s after the ack: status %d, runs %d", id, h.name, sentAt.Sub(revokedAt).Round(time.Millisecond), a.status, runs)
				}
				if runs > 0 && sentAt.Sub(revokedAt) > revokeBound {
					mu.Lock()
					late++
					mu.Unlock()
				}
			}
		})
	}
	time.Sleep(copyAge)
	if l.trouble {
		if err := l.drill(hosts[1], store.SetDown, store.RestoreCopy); err != nil {
			return false, err
		}
	}
	time.Sleep(3 * time.Second)
	close(stop)
	group.Wait()
	l.note("%d requests with the key that were sent later than %s after the ack have run", late, revokeBound)
	return late == 0, nil
}

// drill restarts a host while the store is away and comes back from a copy.
func (l *lab) drill(h *host, setDown func(bool), restoreCopy func(int) func()) error {
	l.note("the store is away; %s is killed", h.name)
	setDown(true)
	h.kill()
	time.Sleep(storeAway)
	writeAgain := restoreCopy(1)
	setDown(false)
	l.note("the store is back from a copy that is %s old; %s starts", time.Since(l.start).Round(time.Millisecond), h.name)
	if err := l.run(h); err != nil {
		return err
	}
	time.Sleep(writtenAgain)
	writeAgain()
	l.note("the operator has written version 12 again")
	return nil
}
