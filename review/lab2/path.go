package main

import (
	"fmt"
	"strings"

	"github.com/plantainrun/plantainrun/review/lab2/wire"
)

// playPath sends requests whose path begins with two slashes, on a route for all paths, and
// compares what the targets were asked for.
func playPath(l *lab, trouble bool) (verdict, error) {
	d := l.deployment(plainTargets)
	d.PutRawConfig(wire.Config(10, schoolOnly, true))
	hosts, err := l.startHosts(d.StoreAddr, "north")
	if err != nil {
		return verdict{}, err
	}
	paths := []string{"/reports/2026/list?page=2", "/reports//2026/list"}
	if trouble {
		paths = append(paths, "//reports/2026/list?page=2", "//other.example/secret/1", "/reports/2026?")
	}
	wrong := 0
	for i, path := range paths {
		id := fmt.Sprintf("%016x", i+1)
		status, body, err := call(hosts[0].front, wire.Call{Method: "POST", Path: path, ID: id, Key: apiKey, Deadline: 4000}, "x")
		l.logf("sent %s: %s", path, outcome(status, body, err))
		for _, r := range d.RunLog.ForRequest(id) {
			l.logf("  target %s ran it with the request target %s", r.Target, r.Path)
			if r.Path != path && !strings.HasSuffix(path, "?") {
				wrong++
			}
		}
	}
	if wrong > 0 {
		return verdict{broken: true, reason: fmt.Sprintf("%d requests ran with another path", wrong)}, nil
	}
	return verdict{reason: "all requests ran with the paths that were sent"}, nil
}
