package dissemination_test

import (
	"errors"
	"fmt"

	"github.com/plantainrun/plantainrun/coord/dissemination"
)

func validate(v dissemination.Value) error {
	if len(v.Body) == 0 {
		return errors.New("empty body")
	}
	return nil
}

func ExampleStore() {
	store := dissemination.NewStore(map[string]dissemination.Validator{"rules": validate})
	fmt.Println(store.Offer(dissemination.NewValue("rules", 2, []byte("second"))).Outcome)
	fmt.Println(store.Offer(dissemination.NewValue("rules", 1, []byte("first"))).Outcome)
	fmt.Println(store.Offer(dissemination.NewValue("rules", 3, nil)).Outcome)
	current, _ := store.Get("rules")
	fmt.Printf("current: %s; highest revision seen: %d\n", current.Body, store.HighestSeen("rules"))
	// Output:
	// adopted
	// older
	// invalid
	// current: second; highest revision seen: 3
}

func ExamplePeerTracker() {
	a := dissemination.NewStore(map[string]dissemination.Validator{"rules": validate})
	b := dissemination.NewStore(map[string]dissemination.Validator{"rules": validate})
	a.Offer(dissemination.NewValue("rules", 7, []byte("body")))

	tracker := dissemination.NewPeerTracker(a)
	tracker.RecordDigest("b", b.Digest()) // b sends its digest
	for _, u := range tracker.PendingUpdates("b") {
		b.Offer(u.Value) // a sends what b is missing
	}
	current, _ := b.Get("rules")
	fmt.Println(current.Revision)
	// Output: 7
}

func ExampleReaders() {
	hosts := []string{"h1", "h2", "h3", "h4", "h5"}
	fmt.Println(len(dissemination.Readers("north", hosts, 2)))
	// Output: 2
}
