package io.quincelead.scheduler;

import java.time.Instant;
import java.util.List;

/**
 * Explains a job's position in the queue.
 *
 * @param ownEntry the job's queue entry for all its tasks
 * @param classSource where its priority class comes from
 * @param rankSource where its rank comes from
 * @param tierName name of the tier as shown to operators
 * @param due when the job should be complete
 * @param dueSource where the due time comes from
 * @param ageSeconds seconds since the job was accepted
 * @param entitledTasks number of tasks that should have started by now
 * @param waitsFor what the job waits for; "nothing" if no task waits
 * @param firstJobsAhead the first queue entries before the job's own
 * @param jobsAheadCount how many queue entries are before the job's own; 0 if no task waits
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
