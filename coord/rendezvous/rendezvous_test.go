package rendezvous_test

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/plantainrun/plantainrun/coord/rendezvous"
)

// A node that leaves must move only its own keys.
func TestOwnerMovesOnlyKeysOfTheLostNode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		count := rapid.IntRange(2, 20).Draw(t, "nodes")
		nodes := make([]string, 0, count)
		for i := range count {
			nodes = append(nodes, fmt.Sprintf("host-%d", i))
		}
		lost := rapid.IntRange(0, count-1).Draw(t, "lost")
		key := rapid.String().Draw(t, "key")
		before := rendezvous.Owner(key, nodes)
		rest := append(append([]string{}, nodes[:lost]...), nodes[lost+1:]...)
		after := rendezvous.Owner(key, rest)
		if before != nodes[lost] {
			g.Expect(after).To(gomega.Equal(before))
		}
		g.Expect(rendezvous.Top(key, nodes, 3)[0]).To(gomega.Equal(before))
	})
}
