/**
 * Leader election and the cluster-wide duties of the leader.
 *
 * <p>Duty: elect the leader; assign machines to the controllers' shards under increasing fencing
 * tokens; split each team's limit into quota shares; reassign the jobs of lost controllers.
 *
 * <p>Owned state: the leader's record and the fencing token counter in the store, and the shards'
 * records: no other component grants machines or quota in them. Memory holds only state that may be
 * lost with the process: the misrouted workers, when each member was first seen, and when each duty
 * last ran.
 *
 * <p>What it must not do: decide without the precondition on the leader's record, or while one of
 * its own writes is indeterminate; start, stop or place tasks; communicate with workers, users or
 * the cloud. In every committed state a machine has one owner under one fencing token, and the sum
 * of a team's quota shares, plus the use beyond them, never exceeds the team's limit.
 */
package io.quincelead.leadership;
