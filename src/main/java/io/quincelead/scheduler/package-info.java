/**
 * Decides which waiting tasks go to which machines, and puts that on record.
 *
 * <p>Duty: the scheduling cycle ({@link io.quincelead.scheduler.SchedulingCycle}) and what it
 * decides: the order of the queue, placement by the TEBAS pass, preemption, escalation to the
 * leader, eviction from machines that go, and when terminations known by evidence are recorded. By
 * the same order it explains to operators why a job waits.
 *
 * <p>Owned state: the phase of the cycle, the jobs that are being submitted with the next one, the
 * terminations not yet on record, and since when jobs have waited for what. All of it may be lost:
 * what counts is on record.
 *
 * <p>It must not start or kill tasks itself (heartbeat responses do, after the commit), take a task
 * for terminated without evidence, commit without the preconditions of {@link
 * io.quincelead.scheduler.PlanEncoder}, decide while a write is indeterminate, or allocate per task
 * or machine more than it does: it is the hottest path.
 */
package io.quincelead.scheduler;
