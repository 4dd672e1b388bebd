package io.quincelead.scheduler;

import io.quincelead.cluster.Job;
import io.quincelead.cluster.JobSpec;
import io.quincelead.cluster.JobTable;
import io.quincelead.cluster.Placement;
import io.quincelead.cluster.TaskStatePage;
import io.quincelead.config.constants.RecordConstants;
import io.quincelead.config.constants.SchedulerConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.store.StoreClient;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Task state pages with terminations that are known by evidence but not yet on record, and when
 * they should be. Gathering them saves writes; nothing waits here that somebody needs.
 */
final class UnrecordedTerminations implements TerminationRecorder {
    private record PageRef(Job job, int pageIndex) {}

    private final EventLoop loop;
    private final StoreClient store;
    private final JobTable jobs;
    private final String memberId;

    /** By page, when its terminations are due on record, in milliseconds on the loop's clock. */
    private final Map<PageRef, Long> dueAtMillisByPage = new LinkedHashMap<>();

    UnrecordedTerminations(EventLoop loop, StoreClient store, JobTable jobs, String memberId) {
        this.loop = loop;
        this.store = store;
        this.jobs = jobs;
        this.memberId = memberId;
    }

    /**
     * Notes a termination. It may get on record later, gathered with others of its page, unless
     * somebody else waits for it: the task's next start, another controller, or the leader for the
     * capacity it frees.
     *
     * @param leaderCouldUseCapacity whether work that waits at the leader could go to the machine
     * @return whether it should be recorded at once
     */
    boolean add(Placement placement, boolean leaderCouldUseCapacity) {
        Job job = placement.job;
        boolean ownJob = job.controllerId().equals(memberId);
        boolean gone = placement.phase() == Placement.Phase.GONE;
        // Preempted best-effort work can wait for its next placement while writes are scarce; other
        // work wants it at once.
        boolean canWait =
                gone
                        && job.spec.priority() == JobSpec.Priority.BEST_EFFORT
                        && store.backpressure()
                                > SchedulerConstants.BACKPRESSURE_THRESHOLD_FRACTION;
        boolean urgent = gone && !canWait || job.spec.isGang() || job.isCancelled();
        int pageIndex = placement.taskIndex / RecordConstants.TASKS_PER_STATE_PAGE;
        boolean awaitedElsewhere =
                leaderCouldUseCapacity
                        || !ownJob
                                && job.pageOrEmpty(pageIndex).placements.stream()
                                        .allMatch(Placement::isTerminated);
        dueAtMillisByPage.merge(
                new PageRef(job, pageIndex),
                loop.nowMillis() + delayMillis(urgent, awaitedElsewhere, ownJob),
                Math::min);
        return urgent;
    }

    private long delayMillis(boolean urgent, boolean awaitedElsewhere, boolean ownJob) {
        if (urgent) {
            return 0;
        }
        if (awaitedElsewhere) {
            return SchedulerConstants.AWAITED_COMPLETION_BATCH_MILLIS;
        }
        return store.backpressureDelayMillis(
                ownJob
                        ? SchedulerConstants.COMPLETION_BATCH_MILLIS
                        : SchedulerConstants.AWAITED_COMPLETION_BATCH_MILLIS,
                SchedulerConstants.THROTTLED_COMPLETION_BATCH_MILLIS);
    }

    /** Whether any should be on record by now. */
    boolean isAnyDue() {
        return dueAtMillisByPage.values().stream().anyMatch(due -> due <= loop.nowMillis());
    }

    /** A page that is written anyway takes all its terminations along: only the due ones edit. */
    @Override
    public void recordDue(SchedulingPlan plan) {
        long nowMillis = loop.nowMillis();
        for (Map.Entry<PageRef, Long> entry : new ArrayList<>(dueAtMillisByPage.entrySet())) {
            PageRef ref = entry.getKey();
            Job job = ref.job;
            TaskStatePage page =
                    jobs.get(job.spec.jobId()) == job ? job.pages[ref.pageIndex] : null;
            if (page == null || page.placements.stream().noneMatch(Placement::isTerminated)) {
                dueAtMillisByPage.remove(ref);
            } else if (entry.getValue() <= nowMillis) {
                if (plan.edit(job, ref.pageIndex) == null) {
                    return;
                }
            }
        }
    }

    @Override
    public void recordForQuota(SchedulingPlan plan, JobSpec spec, int tasks) {
        for (PageRef ref : dueAtMillisByPage.keySet()) {
            if (plan.tasksWithinQuotaShare(spec) >= tasks || plan.isFull()) {
                return;
            }
            Job job = ref.job;
            if (job.spec.team().equals(spec.team())
                    && job.controllerId().equals(memberId)
                    && jobs.get(job.spec.jobId()) == job) {
                plan.edit(job, ref.pageIndex);
            }
        }
    }
}
