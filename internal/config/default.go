package config

import "github.com/jessevdk/go-flags"

// Default returns the settings that hold without any flag or variable. They
// lack what has no default, so Check refuses them as they are.
func Default() Settings {
	var s Settings
	if _, err := flags.NewParser(&s, flags.None).ParseArgs(nil); err != nil {
		panic(err) // a malformed tag or default in Settings
	}
	return s
}
