package config

import "github.com/jessevdk/go-flags"

// Default returns the default settings. Required settings without a default
// are empty, so Check rejects the result until they are set.
func Default() Settings {
	var s Settings
	if _, err := flags.NewParser(&s, flags.None).ParseArgs(nil); err != nil {
		panic(err) // a struct tag or a default value in Settings is malformed
	}
	return s
}
