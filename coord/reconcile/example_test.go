package reconcile_test

import (
	"fmt"

	"github.com/plantainrun/plantainrun/coord/reconcile"
)

// Two of three targets must keep serving: the first may change, the second only after the
// first is observed to serve the new version.
func ExamplePlan_MayStopServing() {
	old, desired := reconcile.Spec{Model: "m", Version: "1"}, reconcile.Spec{Model: "m", Version: "2"}
	plan := reconcile.NewPlan(7, []reconcile.DesiredState{
		{Target: "a", Spec: desired}, {Target: "b", Spec: desired}, {Target: "c", Spec: desired},
	}, map[string]int{"m": 2}, 0)
	states := map[string]reconcile.ObservedState{
		"a": {Spec: old, Serving: true}, "b": {Spec: old, Serving: true}, "c": {Spec: old, Serving: true},
	}
	fmt.Println(plan.MayStopServing("a", states), plan.MayStopServing("b", states))
	states["a"] = reconcile.ObservedState{Spec: desired, Serving: false} // loading
	fmt.Println(plan.MayStopServing("b", states))
	states["a"] = reconcile.ObservedState{Spec: desired, Serving: true}
	fmt.Println(plan.MayStopServing("b", states))
	// Output:
	// true false
	// false
	// true
}
