package dissemination_test

import (
	"errors"
	"fmt"

	"github.com/plantainrun/plantainrun/coord/dissemination"
)

func validate(v dissemination.Value) error {
	if len(v.Body) == 0 {
		return errors.New("empty; publish a body")
	}
	return nil
}

func ExampleStore() {
	store := dissemination.NewStore(map[string]dissemination.Validator{"rules": validate})
	fmt.Println(store.Offer(dissemination.NewValue("rules", 2, []byte("second"))).Outcome)
	fmt.Println(store.Offer(dissemination.NewValue("rules", 1, []byte("first"))).Outcome)
	fmt.Println(store.Offer(dissemination.NewValue("rules", 3, nil)).Outcome)
	good, _ := store.Get("rules")
	fmt.Printf("in force: %s; judged up to revision %d\n", good.Body, store.HighestSeen("rules"))
	// Output:
	// adopted
	// older
	// invalid
	// in force: second; judged up to revision 3
}

func ExamplePeerTracker() {
	a := dissemination.NewStore(map[string]dissemination.Validator{"rules": validate})
	b := dissemination.NewStore(map[string]dissemination.Validator{"rules": validate})
	a.Offer(dissemination.NewValue("rules", 7, []byte("body")))

	peersOfA := dissemination.NewPeerTracker(a)
	peersOfA.RecordDigest("b", b.Digest()) // b sends its digest
	for _, u := range peersOfA.PendingUpdates("b") {
		b.Offer(u.Value) // a sends what b lacks
	}
	good, _ := b.Get("rules")
	fmt.Println(good.Revision)
	// Output: 7
}

func ExampleReaders() {
	hosts := []string{"h1", "h2", "h3", "h4", "h5"}
	fmt.Println(len(dissemination.Readers("north", hosts, 2)))
	// Output: 2
}
