package io.quincelead.scheduler;

import io.quincelead.cluster.Job;
import io.quincelead.cluster.JobTable;
import io.quincelead.config.constants.SchedulerConstants;
import io.quincelead.eventloop.EventLoop;
import java.util.HashMap;
import java.util.Map;

/** Tracks since when no task of a waiting job has found a machine in this controller's passes. */
final class UnservedJobTracker {
    private final EventLoop loop;
    private final JobTable jobs;
    private final Map<Job, Long> unservedSinceMillis = new HashMap<>();

    UnservedJobTracker(EventLoop loop, JobTable jobs) {
        this.loop = loop;
        this.jobs = jobs;
    }

    void markServed(Job job) {
        unservedSinceMillis.put(job, loop.nowMillis());
    }

    /** Whether the job has been unserved for too long; its time begins with the first call. */
    boolean isUnservedTooLong(Job job) {
        long sinceMillis = unservedSinceMillis.computeIfAbsent(job, j -> loop.nowMillis());
        return loop.nowMillis() - sinceMillis > SchedulerConstants.MAX_UNSERVED_MILLIS;
    }

    void forgetFinishedJobs() {
        unservedSinceMillis
                .keySet()
                .removeIf(job -> job.waitingTaskCount() == 0 || jobs.get(job.spec.jobId()) != job);
    }

    void clear() {
        unservedSinceMillis.clear();
    }
}
