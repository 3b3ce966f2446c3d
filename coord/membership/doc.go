// Package membership keeps the state of hosts and targets: the platform's
// lagging list joined with what this process and its peers saw.
//
// Nothing here is agreed by vote. Every fact merges in any order to the same
// result, so hosts may hear it late, twice or in another order:
//
//   - An incarnation only moves forward: live, leaving, gone. Of two incarnations of a
//     member, the one with the higher order number (the time at which it started or
//     reported) is current, and the other is gone.
//   - A list replaces an older one, by revision. What a newer list said about
//     leaving members is passed on to hosts that don't have that list yet.
//   - A refusal by a member whose incarnation is unknown holds for a bounded time, or
//     until the list shows the member leaving or absent and then live again.
//   - A suspicion that a host cannot be reached expires unless it is renewed. It is a hint:
//     it decides who is responsible first, and two responsible hosts are harmless.
//
// A Table does no I/O. Methods that change it return the events that peers should hear;
// the digests of its buckets let two tables find what they miss of each other.
package membership
