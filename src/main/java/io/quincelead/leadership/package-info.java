/**
 * What one controller, the leader, does for all of them.
 *
 * <p>Duty: elect the leader; assign machines to the controllers' shards under rising fencing
 * tokens; split each team's limit into quota shares; reassign the jobs of lost controllers.
 *
 * <p>Owned state: the leader's record and the fencing token counter in the store, and the shards'
 * records, which nobody else grants machines or quota on. In memory only what may be lost with the
 * process: which workers are misrouted, since when members have been seen, and when each duty last
 * ran.
 *
 * <p>What it must not do: decide without the precondition on the leader's record, or while a write
 * of its own is indeterminate; start, stop or place tasks; talk to workers, users or the cloud. A
 * machine has one owner under one fencing token in every committed state, and the sum of a team's
 * quota shares, with what is in use beyond them, never passes its limit.
 */
package io.quincelead.leadership;
