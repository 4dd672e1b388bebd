/**
 * The cluster state that all controllers share: jobs as submitted, the states of their tasks,
 * machines and machine types, zones, members, the leader and the shards.
 *
 * <p>Owns the in-memory tables of these records, which follow the watch cache; their stored forms
 * (the {@code ...Codec} classes, the only ones that know the names of stored fields); and what this
 * process has observed about placements and jobs, which is never stored.
 *
 * <p>Makes no decisions: this package must not write to the store, send messages, schedule timers
 * or depend on a higher-level package. Changes are prepared with {@code TaskStatePageEdit} and
 * {@code MachineEdits} and committed by the packages that decide on them; the tables change only
 * after the store has confirmed a change.
 */
package io.quincelead.cluster;
