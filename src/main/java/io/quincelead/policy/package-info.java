/**
 * Operators' records: priority classes and the deadline calendar.
 *
 * <p>{@link io.quincelead.policy.Policy} derives jobs' effective priorities and limits from the
 * records, {@link io.quincelead.policy.OperatorApi} answers operators' commands on any controller,
 * and {@link io.quincelead.policy.PolicyReconciler} makes the leader's changes to the records. The
 * package owns the records under the store keys of classes, calendar, occurrences, ledger and entry
 * histories. In memory it keeps what the watch cache delivers of them and, on the leader, what has
 * been counted since. The package's codecs define the stored forms; the commands build their JSON
 * responses themselves.
 *
 * <p>The package must not start, stop or place tasks, nor widen what may be preempted: it only
 * orders waiting jobs.
 */
package io.quincelead.policy;
