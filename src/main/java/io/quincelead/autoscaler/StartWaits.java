package io.quincelead.autoscaler;

import io.quincelead.cluster.Job;
import io.quincelead.config.constants.AutoscalerConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.scheduler.QueueOrder;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Tracks since when jobs have had pending tasks and none placed. The times are kept in memory only:
 * with a new leader the waits begin again.
 */
final class StartWaits {
    private final EventLoop eventLoop;
    private final Map<Job, Long> waitingSinceMillis = new HashMap<>();

    StartWaits(EventLoop eventLoop) {
        this.eventLoop = eventLoop;
    }

    /** Updates the waits with the jobs that have pending tasks now; all others are forgotten. */
    void observe(List<QueueOrder.QueueEntry> pendingJobs) {
        Set<Job> waitingJobs = new HashSet<>();
        for (QueueOrder.QueueEntry entry : pendingJobs) {
            if (entry.job().placedTaskCount() == 0) {
                waitingJobs.add(entry.job());
                waitingSinceMillis.putIfAbsent(entry.job(), eventLoop.nowMillis());
            }
        }
        waitingSinceMillis.keySet().retainAll(waitingJobs);
    }

    /** Whether the job has waited for a start for longer than a machine should take. */
    boolean isOverdue(Job job) {
        Long sinceMillis = waitingSinceMillis.get(job);
        return sinceMillis != null
                && eventLoop.nowMillis() - sinceMillis > AutoscalerConstants.OVERDUE_START_MILLIS;
    }
}
