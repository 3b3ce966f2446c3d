package rendezvous_test

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/plantainrun/plantainrun/coord/rendezvous"
)

// Removing a node must not move the keys of other nodes.
func TestRemovingANodeMovesOnlyItsKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		count := rapid.IntRange(2, 20).Draw(t, "nodes")
		nodes := make([]string, 0, count)
		for i := range count {
			nodes = append(nodes, fmt.Sprintf("host-%d", i))
		}
		removed := rapid.IntRange(0, count-1).Draw(t, "lost")
		key := rapid.String().Draw(t, "key")
		before := rendezvous.Owner(key, nodes)
		remaining := append(append([]string{}, nodes[:removed]...), nodes[removed+1:]...)
		after := rendezvous.Owner(key, remaining)
		if before != nodes[removed] {
			g.Expect(after).To(gomega.Equal(before))
		}
		g.Expect(rendezvous.Top(key, nodes, 3)[0]).To(gomega.Equal(before))
	})
}
