package share_test

import "flag"

// A fixed seed makes the property tests draw the same cases in each run.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.steps", "80")
	_ = flag.Set("rapid.checks", "250")
}
