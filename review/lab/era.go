package main

import (
	"fmt"
	"net/http"
	"time"
)

// Bounds of the site, from its sheet.
const (
	stableTime   = 3 * time.Second
	drainTime    = 2 * time.Second
	revokeTime   = 5 * time.Second
	runnerLinger = 3 * time.Second // a leaving runner serves so much longer than drainTime
)

// Times of a drill, in which the store comes back from a copy that is some seconds old.
const (
	quietTime     = 4 * time.Second
	copyAge       = 2500 * time.Millisecond
	awayTime      = 700 * time.Millisecond
	rewriteDelay  = 60 * time.Millisecond
	clientPause   = 50 * time.Millisecond
	observedAfter = 6 * time.Second
)

// eraRevoke takes a key away right after a drill.
func eraRevoke(env *environment, trouble bool) (verdict, error) {
	_, books, err := startRegistered(env)
	if err != nil {
		return verdict{}, err
	}
	env.store.put(configKey, configuration(1, keyTwo))
	h, l, err := startOrders(env)
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(quietTime)

	// A release: two runners start in the seconds before the drill, and the operator changes
	// the configuration. The store acknowledges all of it, and the copy lacks it.
	saved := env.store.copy()
	added, err := startAdded(env, books)
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(copyAge / 2)
	rewrite := func() {
		env.store.put(configKey, configuration(2, keyTwo))
		for _, r := range added {
			r.register("ready", 0)
		}
	}
	rewrite()
	time.Sleep(copyAge / 2)
	if trouble {
		env.store.goAway()
		time.Sleep(awayTime)
		env.store.comeBack(saved)
		time.Sleep(rewriteDelay)
	}
	// The operator takes the key of a tenant away, and all is written again that was lost.
	if trouble {
		env.store.put(configKey, configuration(2, keyTwo))
	}
	env.store.put(configKey, configuration(3))
	revokedAt := time.Now()
	if trouble {
		for _, r := range added {
			time.Sleep(rewriteDelay)
			r.register("ready", 0)
		}
	}
	time.Sleep(revokeTime + observedAfter)
	return judgeRevoked(env, h, l.stop(), revokedAt), nil
}

// judgeRevoked counts the requests that ran with a key that was taken away.
func judgeRevoked(env *environment, h *host, answers []answer, revokedAt time.Time) verdict {
	ranAs := make(map[string]string)
	for _, r := range env.runs.all() {
		ranAs[r.id] = r.tenant
	}
	ran, sent := 0, 0
	var latest time.Duration
	for _, a := range answers {
		after := a.sentAt.Sub(revokedAt)
		if a.key != keyTwo || after <= revokeTime {
			continue
		}
		sent++
		if tenant, ok := ranAs[a.id]; ok {
			ran++
			latest = max(latest, after)
			env.rec.write("revoked: %s was sent %s after the ack that took its key away, and ran for tenant %q", a.id, after.Round(time.Millisecond), tenant)
		}
	}
	return verdict{broken: ran > 0, text: fmt.Sprintf(
		"CONFIG: %d of %d requests that were sent later than %s after the ack that took their key away ran (0 allowed), the last one sent %s after it; host %s ready: %t",
		ran, sent, revokeTime, latest.Round(time.Millisecond), h.name, h.isReady())}
}

// eraDrain has a runner leave some seconds after a drill.
func eraDrain(env *environment, trouble bool) (verdict, error) {
	models, books, err := startRegistered(env)
	if err != nil {
		return verdict{}, err
	}
	env.store.put(configKey, configuration(1, keyTwo))
	h, l, err := startOrders(env)
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(quietTime)

	// Four runners have been started a moment ago and are still cold, so that their entries
	// change with each liveness report. The copy is made after their first one.
	cold := []*runner{models[0], models[1], books[1], books[0]}
	const coldTime = 5 * time.Second
	startedAt := time.Now()
	report := func() {
		for _, r := range cold {
			r.register("ready", max(coldTime-time.Since(startedAt), 0))
		}
	}
	report()
	saved := env.store.copy()
	for range 2 {
		time.Sleep(heartbeatTime)
		report()
	}
	time.Sleep(heartbeatTime / 2)
	if trouble {
		env.store.goAway()
		time.Sleep(awayTime)
		env.store.comeBack(saved)
		time.Sleep(rewriteDelay)
	} else {
		time.Sleep(awayTime)
	}
	report()
	time.Sleep(2*stableTime - time.Second)

	// The store has been stable for longer than stableTime. A runner leaves.
	leaving := books[0]
	leaving.register("draining", 0)
	drainedAt := time.Now()
	time.Sleep(drainTime + runnerLinger)
	env.rec.write("runner %s ends", leaving.id)
	closeServer(leaving.server)
	env.store.remove(serversPrefix + leaving.id)
	time.Sleep(observedAfter)
	return judgeDrained(env, h, l.stop(), leaving, drainedAt), nil
}

// judgeDrained counts the requests that reached a runner after it had left.
func judgeDrained(env *environment, h *host, answers []answer, leaving *runner, drainedAt time.Time) verdict {
	reached := make(map[string]bool)
	late := 0
	var latest time.Duration
	for _, r := range env.runs.all() {
		if r.runner != leaving.id {
			continue
		}
		reached[r.id] = true
		if after := r.at.Sub(drainedAt); after > drainTime {
			late++
			latest = max(latest, after)
			env.rec.write("drained: %s reached %s %s after its leaving was acknowledged", r.id, r.runner, after.Round(time.Millisecond))
		}
	}
	lost := 0
	for _, a := range answers {
		if reached[a.id] && (a.status != http.StatusOK || !a.whole) {
			lost++
			env.rec.write("lost: %s ran at %s, and its client got status %d", a.id, leaving.id, a.status)
		}
	}
	return verdict{broken: late > 0, text: fmt.Sprintf(
		"DRAIN: %d requests reached %s later than %s after its leaving was acknowledged (0 allowed), the last one %s after it; %d orders that it ran got no success as it ended; host %s ready: %t",
		late, leaving.id, drainTime, latest.Round(time.Millisecond), lost, h.name, h.isReady())}
}

// startRegistered starts and registers four model runners and three of the application service.
func startRegistered(env *environment) (models, books []*runner, err error) {
	models, books, err = startFleet(env, modelRunners, 3)
	for _, r := range append(models[:len(models):len(models)], books...) {
		r.register("ready", 0)
	}
	return models, books, err
}

// startAdded starts two more runners of the application service.
func startAdded(env *environment, books []*runner) ([]*runner, error) {
	var added []*runner
	for i := range 2 {
		r, err := startRunner(env, fmt.Sprintf("i-book-%d", len(books)+i), bookService, bookSlots)
		if err != nil {
			return nil, err
		}
		added = append(added, r)
	}
	return added, nil
}

// startOrders starts an entry host and clients of two tenants that place orders.
func startOrders(env *environment) (*host, *load, error) {
	h, err := startHost(env)
	if err != nil {
		return nil, nil, err
	}
	l := &load{}
	for _, key := range []string{keyOne, keyTwo} {
		for range 4 {
			l.start(newClient(env, h.front, key), book, bookPath+"seats", clientPause)
		}
	}
	return h, l, nil
}
