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
 * Tracks task state pages with terminations that are known by evidence but not yet on record, and
 * when they are due to be recorded. Batching them saves writes; terminations that something else
 * waits for are recorded sooner.
 */
final class UnrecordedTerminations implements TerminationRecorder {
    private record PageRef(Job job, int pageIndex) {}

    private final EventLoop loop;
    private final StoreClient store;
    private final JobTable jobs;
    private final String memberId;

    /**
     * By page, the event-loop time in milliseconds at which its terminations are due to be
     * recorded.
     */
    private final Map<PageRef, Long> dueAtMillisByPage = new LinkedHashMap<>();

    UnrecordedTerminations(EventLoop loop, StoreClient store, JobTable jobs, String memberId) {
        this.loop = loop;
        this.store = store;
        this.jobs = jobs;
        this.memberId = memberId;
    }

    /**
     * Adds a termination. It may be recorded later, batched with others of its page, unless
     * something else waits for it: the task's next start, another controller, or the leader for the
     * capacity that it frees.
     *
     * @param leaderCouldUseCapacity whether work that waits at the leader could be placed on the
     *     machine
     * @return whether the termination should be recorded at once
     */
    boolean add(Placement placement, boolean leaderCouldUseCapacity) {
        Job job = placement.job;
        boolean ownJob = job.controllerId().equals(memberId);
        boolean gone = placement.phase() == Placement.Phase.GONE;
        // Preempted best-effort work can wait for its next placement while writes are scarce; other
        // work needs it at once.
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
                SchedulerConstants.FULL_BACKPRESSURE_COMPLETION_BATCH_MILLIS);
    }

    /** Whether any termination is due to be recorded. */
    boolean isAnyDue() {
        return dueAtMillisByPage.values().stream().anyMatch(due -> due <= loop.nowMillis());
    }

    /**
     * Adds edits of the pages that are due. Other pages need none: a page that is edited for
     * another reason includes all its terminations.
     */
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
                if (plan.edit(job, ref.pageIndex) == null && plan.isFull()) {
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
