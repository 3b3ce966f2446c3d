// Package reconcile brings targets to the state that a published plan wants,
// without coordination between the processes that do so.
//
// The wanted state of a target, its fencing number, the moments at which it may load and the
// question whether it may stop serving are pure functions of the plan and of what the targets say
// of themselves. So any number of processes may look after the same target.
//
// # Late orders
//
// An order carries the full wanted state and the plan's revision as fencing number. A target
// that checks fencing numbers refuses an order of an older plan and never goes back.
//
// A target that does not check takes an order that was frozen between the last check and the
// send, and may go back to the state of an older plan. The window is as small as one process
// can make it: an order to such a target is sent only while the plan is freshly confirmed and
// if the process was not paused since it read that; the pause detector is asked again as the
// last step before the send. A wrong state ends by itself: the
// responsible process reads each target every Interval and orders again in the
// target's next load slot. So it holds for at most
//
//	Interval + Plan.Cycle() + one read and one order, each at most Timeout
//
// plus the time for which the model's minimum forbids the change, plus the time that the
// target takes to load.
//
// # Rate of loads
//
// The plan's load rate is divided in time: each target may start to load only at its own
// moments of the wall clock, by its rank in the plan. In any second at most as many loads
// start as the rate allows, over all processes, if their wall clocks agree; a difference of d
// between clocks adds the loads of 2d. After a new plan, a process stops orders of the
// old one at once and waits for Settle before it orders by the new one, so
// that processes on two plans don't add up while the plan spreads within that time.
//
// # Minimums
//
// A target may stop serving a model only if enough others serve it on which it can count:
// those that already are as the plan wants, which nobody will change, and those of higher rank, which
// in turn can't count on this one. Whatever the order in which states are read, the highest-ranked
// target that stopped serving counted only targets that still serve, so the minimum holds. Targets
// that can't be read count as not serving.
package reconcile
