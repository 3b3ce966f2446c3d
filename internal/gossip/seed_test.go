package gossip_test

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

func init() { _ = flag.Set("rapid.seed", "1") }

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
