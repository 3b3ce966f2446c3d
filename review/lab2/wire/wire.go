// Package wire holds the texts that a small deployment is made of: requests of callers,
// settings of a host and configurations of the operator. Placeholders stand between two @.
package wire

import (
	_ "embed" // for the texts
	"strconv"
	"strings"
)

var (
	//go:embed request.txt
	request string
	//go:embed prompt.txt
	prompt string
	//go:embed settings.txt
	settings string
	//go:embed config.json
	config string
	//go:embed catchall.txt
	catchAllRoute string
	//go:embed engine.json
	engine string
)

// fill replaces placeholders; pairs holds their names and values in turn.
func fill(text string, pairs ...string) string {
	for i := 0; i < len(pairs); i += 2 {
		pairs[i] = "@" + pairs[i] + "@"
	}
	return strings.NewReplacer(pairs...).Replace(text)
}

// Call is a request of a caller.
type Call struct {
	Method, Path, ID, Key string
	Deadline              int    // milliseconds
	Extra                 string // header lines
	Length                int    // of the body, in bytes
}

// Head returns the head of the request.
func (c Call) Head() string {
	return fill(request, "METHOD", c.Method, "PATH", c.Path, "ID", c.ID, "KEY", c.Key,
		"DEADLINE", strconv.Itoa(c.Deadline), "EXTRA", c.Extra, "LENGTH", strconv.Itoa(c.Length))
}

// ShortHead returns a head without what a sound caller says of itself.
func ShortHead(path string, length int) string {
	return "POST " + path + " HTTP/1.1\r\nHost: shop.example\r\nContent-Length: " + strconv.Itoa(length) + "\r\n\r\n"
}

// Prompt returns the header lines of a prompt.
func Prompt(tokens, parts string) string { return fill(prompt, "TOKENS", tokens, "PARTS", parts) }

// Settings returns the settings of a host.
func Settings(pairs ...string) string { return fill(settings, pairs...) }

// Config returns a configuration. tenants is its JSON list; with catchAll it has a route for
// all paths that no other route begins.
func Config(version int, tenants string, catchAll bool) string {
	routes := ""
	if catchAll {
		routes = strings.TrimSpace(catchAllRoute)
	}
	return fill(config, "VERSION", strconv.Itoa(version), "TENANTS", tenants, "ROUTES", routes)
}

// Engine returns the registration of an engine that started at a time, in Unix milliseconds.
func Engine(address string, startedMilli int64) string {
	return fill(engine, "ADDRESS", address, "BORN", strconv.FormatInt(startedMilli, 10))
}
