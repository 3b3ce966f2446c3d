// Package reconcile brings targets to the desired state of a published plan without
// coordination between the processes that do so.
//
// The desired state of a target, its fencing number, the times at which it may load and the
// decision whether it may stop serving are pure functions of the plan and of the states that
// the targets report. So any number of processes may reconcile the same target.
//
// An order is a call of Target.SetState: a request to a target to change to its desired state.
//
// # Late orders
//
// An order carries the complete desired state and, as fencing number, the revision of the
// plan. A target that checks fencing numbers refuses an order from an older plan and so never
// returns to an older state.
//
// A target that does not check them accepts an order that was delayed by a pause of the sender
// between its last check and the send, and may return to the state of an older plan. The window
// is as small as one process can make it: an order to such a target is sent only if the plan
// has been confirmed recently and the process has not been paused since it read the plan; the
// pause detector is checked again as the last step before the send. A wrong state is corrected
// automatically: the responsible process reads each target every Interval and sends another
// order in the target's next load slot. So a wrong state lasts at most
//
//	Interval + Plan.SlotCycle() + one read and one order, each at most Timeout
//
// plus the time for which the model's minimum forbids the change, plus the time that the
// target takes to load.
//
// # Rate of loads
//
// The plan's load rate is divided in time: each target may start to load only in its own
// slots of the wall clock, which follow from its rank in the plan. In any second at most as
// many loads start as the rate allows, over all processes, if their wall clocks agree; a
// difference of d between clocks adds the loads of 2d. When a process learns of a new plan, it
// stops sending orders of the old one immediately and waits for SettleDelay before it sends
// orders of the new one, so that the loads of two plans do not add up if the new plan reaches
// all processes within that time.
//
// # Minimums
//
// A target may stop serving a model only if enough other targets serve it that will keep
// serving: those that already have their desired state, which no process will change, and
// those of higher rank, which in turn cannot count this one. In whatever order the states are
// read, the highest-ranked target that stopped serving counted only targets that still serve,
// so the minimum holds. Targets that cannot be read count as not serving.
package reconcile
