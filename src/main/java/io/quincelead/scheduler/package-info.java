/**
 * Decides on which machines waiting tasks are placed, and records the placements.
 *
 * <p>Responsibilities: the scheduling cycle ({@link io.quincelead.scheduler.SchedulingCycle}) and
 * its decisions: the order of the queue, placement by the TEBAS pass, preemption, escalation to the
 * leader, eviction from machines that are reclaimed or cordoned, and when terminations known by
 * evidence are recorded. By the same queue order it explains to operators why a job waits.
 *
 * <p>Owned state: the phase of the cycle, the jobs that the next cycle admits, the terminations not
 * yet on record, and since when jobs have waited for what. All of it may be lost, since the records
 * in the store are authoritative.
 *
 * <p>This package must not start or kill tasks itself (heartbeat responses do, after the commit),
 * treat a task as terminated without evidence, commit without the preconditions of {@link
 * io.quincelead.scheduler.PlanEncoder}, decide while a write is indeterminate, or add memory
 * allocations per task or machine, since the cycle is the hottest path.
 */
package io.quincelead.scheduler;
