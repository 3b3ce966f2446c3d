// Command lab4 plays the cases 11 to 15 of the third review against the project's own
// programs: stand-ins of the store, the servers and the clients, on loopback.
package main

import (
	_ "embed"
	"strings"
)

//go:embed names.txt
var namesText string

// names holds the names of the users' platform, by a short word.
var names = parseNames()

func parseNames() map[string]string {
	out := make(map[string]string)
	for _, line := range strings.Split(namesText, "\n") {
		if key, value, ok := strings.Cut(line, "="); ok {
			out[key] = value
		}
	}
	return out
}
