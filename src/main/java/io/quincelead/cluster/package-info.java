/**
 * The state of the cluster as all controllers share it: jobs as submitted, the states of their
 * tasks, machines and machine types, zones, members, the leader and the shards.
 *
 * <p>Owns the in-memory tables of these records, which follow the watch cache, their stored forms
 * (the {@code ...Codec} classes, the only ones that know the names of stored fields), and what this
 * process has observed of placements and jobs; the latter is never stored.
 *
 * <p>Decides nothing: it must not write to the store, send messages, run anything by a timer or use
 * a package above it. Changes are planned here ({@code TaskStatePageEdit}, {@code MachineEdits})
 * and committed by those who decide; the tables change only when the store has confirmed.
 */
package io.quincelead.cluster;
