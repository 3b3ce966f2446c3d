// Package membership tracks the state of hosts and targets. It combines the lists that the
// platform publishes, which lag behind, with what this process and its peers observed.
//
// There is no consensus protocol. Every event merges to the same result in any order, so
// hosts may receive events late, more than once or reordered:
//
//   - An incarnation only moves forward: live, leaving, gone. Of two incarnations of a
//     member, the one with the higher timestamp (the time at which it started or reported)
//     is current, and the other is gone.
//   - A list replaces one with a lower revision. The members that a newer list shows as
//     leaving are gossiped to hosts that do not have that list yet.
//   - If the incarnation of a member that refused work is unknown, the refusal is valid for
//     a bounded time, or until the list shows the member as leaving or absent and then as
//     live again.
//   - A suspicion that a host is unreachable expires unless it is renewed. It is only a hint:
//     it changes which host is responsible for a target, and two responsible hosts do no harm.
//
// A Table does no I/O. Methods that change it return the events to gossip to peers. Two
// tables compare the digests of their buckets to find the events that either of them lacks.
package membership
