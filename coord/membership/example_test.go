package membership_test

import (
	"fmt"
	"time"

	"github.com/plantainrun/plantainrun/coord/clock"
	"github.com/plantainrun/plantainrun/coord/identity"
	"github.com/plantainrun/plantainrun/coord/membership"
)

// A report by the target itself overrides a lagging list, and is gossiped to peers.
func ExampleTable() {
	clk := clock.NewManual(time.Unix(1000, 0))
	local, remote := membership.New(clk, membership.Config{}), membership.New(clk, membership.Config{})
	for _, t := range []*membership.Table{local, remote} {
		t.SetHosts(1, []membership.Entry{{ID: "host-1", Domain: "north"}})
		t.SetTargets(1, []membership.Entry{{ID: "engine-1", Domain: "north"}})
	}
	events := local.ObserveTarget("engine-1", "start-7", clk.Now(), true)
	fmt.Println(remote.TargetState("engine-1"), remote.ResponsibleHost("engine-1"))
	remote.Apply(events)
	fmt.Println(remote.TargetState("engine-1"))
	// Output:
	// live host-1
	// leaving
}

// A host's process is gone once a later process of the same host was seen.
func ExampleTable_IncarnationGone() {
	t := membership.New(clock.NewManual(time.Unix(1000, 0)), membership.Config{})
	first := identity.Incarnation{Host: "host-1", Start: 9}
	second := identity.Incarnation{Host: "host-1", Start: 4}
	t.ObserveHost(first, time.Unix(100, 0))
	fmt.Println(t.IncarnationGone(first))
	t.ObserveHost(second, time.Unix(200, 0))
	fmt.Println(t.IncarnationGone(first), t.IncarnationGone(second))
	// Output:
	// false
	// true false
}
