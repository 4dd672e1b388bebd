/**
 * Operators' records: priority classes and the deadline calendar.
 *
 * <p>{@link io.quincelead.policy.Policy} says what the records mean for jobs, {@link
 * io.quincelead.policy.OperatorApi} answers operators' commands on any controller, and {@link
 * io.quincelead.policy.PolicyReconciler} carries out the leader's part. The package owns the
 * records under the store keys of classes, calendar, occurrences, ledger and entry histories, and
 * in memory what the watch cache brings of them and, on the leader, what it has counted since. The
 * records' stored forms are known to its codecs; the commands build their JSON responses
 * themselves.
 *
 * <p>It must not start, stop or place tasks, nor widen what may be preempted: it orders what waits.
 */
package io.quincelead.policy;
