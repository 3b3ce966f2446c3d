package main

import (
	"fmt"
	"time"
)

const (
	slashesTime = 10 * time.Second
	// rootBooking is a path of the route with the prefix "/", and doubledBooking the same
	// with a slash in front, as a caller sends it that joins a base and a path.
	rootBooking    = "/seats/42/book?half=2"
	doubledBooking = "/" + rootBooking
)

// slashes has callers of a route with the prefix "/" send paths that begin with two slashes.
func slashes(env *environment, trouble bool) (verdict, error) {
	if _, _, err := startRegistered(env); err != nil {
		return verdict{}, err
	}
	config := configuration(1, keyTwo)
	config["routes"] = append(config["routes"].([]fields), bookingRoute("seat-book-root", "/"))
	env.store.put(configKey, config)
	h, err := startHost(env)
	if err != nil {
		return verdict{}, err
	}
	uri := rootBooking
	if trouble {
		uri = doubledBooking
	}
	l := &load{}
	for range 2 {
		l.start(newClient(env, h.front, keyOne), book, uri, 200*time.Millisecond)
	}
	time.Sleep(slashesTime)
	answers := l.stop()
	changed, served := 0, 0
	for _, r := range env.runs.all() {
		if r.uri != uri {
			changed++
			env.rec.write("changed: %s was sent with the target %q and ran with %q", r.id, uri, r.uri)
		}
	}
	for _, a := range answers {
		if a.status == 200 {
			served++
		}
	}
	return verdict{broken: changed > 0, text: fmt.Sprintf(
		"UNASKED: %d of %d requests ran with another path than their client had sent (0 allowed); %d were answered with success",
		changed, len(answers), served)}, nil
}
