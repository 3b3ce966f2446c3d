package main

import (
	_ "embed"
	"fmt"
	"strings"
)

// wireNames holds the platform's names, one on a line after the name that is used here.
//
//go:embed wire.txt
var wireNames string

// Names of the platform's protocol.
var (
	headerAttemptID      = wireName("attempt-id")
	headerSignature      = wireName("signature")
	headerNotExecuted    = wireName("not-executed")
	headerExpectInstance = wireName("expect-instance")
	headerInstanceID     = wireName("instance-id")
	headerDeadline       = wireName("deadline")
	headerTokenCount     = wireName("token-count")
	headerPromptPrefix   = wireName("prompt-prefix")
	headerModel          = wireName("model")
	headerTenant         = wireName("tenant")
	headerEra            = wireName("store-era")
	rangePath            = wireName("range-path")
	watchPath            = wireName("watch-path")
	configKey            = wireName("config-key")
	serversPrefix        = wireName("servers-prefix")
)

func wireName(name string) string {
	for _, line := range strings.Split(wireNames, "\n") {
		if key, value, ok := strings.Cut(line, " "); ok && key == name {
			return value
		}
	}
	panic(fmt.Sprintf("no %q in the names of the protocol", name))
}
