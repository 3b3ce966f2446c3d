package main

import (
	_ "embed" // of the names
	"strings"
)

//go:embed wire.txt
var wireText string

// wire holds the platform's names of headers and keys.
var wire = parseWire(wireText)

// parseWire parses lines of the form key=name.
func parseWire(text string) map[string]string {
	names := make(map[string]string)
	for _, line := range strings.Split(text, "\n") {
		if key, name, ok := strings.Cut(line, "="); ok && !strings.HasPrefix(line, "#") {
			names[key] = name
		}
	}
	return names
}
