// Package rendezvous distributes keys over nodes by rendezvous hashing, also known
// as highest random weight hashing (Thaler and Ravishankar, "Using name-based
// mappings to increase hit rates", IEEE/ACM Transactions on Networking, 1998).
// When a node joins or leaves, only the keys that it gains or loses move.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Owner returns the node with the highest weight for key, or "" if there are no nodes.
func Owner(key string, nodes []string) string {
	var best string
	var bestWeight uint64
	for _, n := range nodes {
		w := weight(key, n)
		if best == "" || w > bestWeight || (w == bestWeight && n < best) {
			best, bestWeight = n, w
		}
	}
	return best
}

// Top returns up to count nodes in descending order of weight for key.
func Top(key string, nodes []string, count int) []string {
	type ranked struct {
		node   string
		weight uint64
	}
	all := make([]ranked, 0, len(nodes))
	for _, n := range nodes {
		all = append(all, ranked{node: n, weight: weight(key, n)})
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.node, b.node))
	})
	top := make([]string, 0, min(count, len(all)))
	for _, r := range all[:min(count, len(all))] {
		top = append(top, r.node)
	}
	return top
}

func weight(key, node string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(node)
	return d.Sum64()
}
