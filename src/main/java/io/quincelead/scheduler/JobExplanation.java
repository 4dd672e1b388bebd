package io.quincelead.scheduler;

import java.time.Instant;
import java.util.List;

/**
 * Why a job is where it is in the queue.
 *
 * @param ownEntry its position for all its tasks
 * @param classSource where its priority class comes from
 * @param rankSource where its rank comes from
 * @param tierName as operators know it
 * @param due when it should be done
 * @param dueSource where that time comes from
 * @param ageSeconds since it was accepted
 * @param entitledTasks that should have started by now
 * @param waitsFor what it waits for; "nothing" if no task waits
 * @param firstJobsAhead the first positions before its own
 * @param jobsAheadCount how many positions are before its own; 0 if no task waits
 */
record JobExplanation(
        QueueOrder.QueueEntry ownEntry,
        String classSource,
        String rankSource,
        String tierName,
        Instant due,
        String dueSource,
        double ageSeconds,
        int entitledTasks,
        String waitsFor,
        List<QueueOrder.QueueEntry> firstJobsAhead,
        int jobsAheadCount) {}
