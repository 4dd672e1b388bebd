package io.quincelead.scheduler;

import io.quincelead.cluster.Job;
import io.quincelead.cluster.JobTable;
import io.quincelead.config.constants.StoreConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.store.StoreKeys;
import io.quincelead.store.Transaction;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Urgent jobs that are being submitted, in the order they came: the next cycle records them,
 * together with their first placements if there are any. Each one's handler is called exactly once.
 */
final class AdmissionQueue {
    /** A job that waits to be recorded until {@code deadlineMillis} on the loop's clock. */
    record Submission(Job job, long deadlineMillis, Transaction.OutcomeHandler onOutcome) {}

    private final EventLoop loop;
    private final JobTable jobs;
    private final ArrayDeque<Submission> waiting = new ArrayDeque<>();

    AdmissionQueue(EventLoop loop, JobTable jobs) {
        this.loop = loop;
        this.jobs = jobs;
    }

    boolean isEmpty() {
        return waiting.isEmpty();
    }

    int size() {
        return waiting.size();
    }

    /** Whether the job may wait here: the queue is not full, and it does not wait already. */
    boolean accepts(Job job) {
        return waiting.size() < StoreConstants.MAX_WAITING_COMMITS
                && waiting.stream()
                        .noneMatch(entry -> entry.job.spec.jobId().equals(job.spec.jobId()));
    }

    void add(Job job, long patienceMillis, Transaction.OutcomeHandler onOutcome) {
        waiting.addLast(new Submission(job, loop.nowMillis() + patienceMillis, onOutcome));
    }

    /** Rejects those that have waited longer than they were willing to. */
    void expire() {
        while (!waiting.isEmpty() && waiting.peekFirst().deadlineMillis < loop.nowMillis()) {
            waiting.pollFirst()
                    .onOutcome
                    .onOutcome(new Transaction.Outcome(Transaction.Result.REJECTED, 0, Set.of()));
        }
    }

    /** Takes out the first ones, at most {@code most}. */
    List<Submission> takeAtMost(int most) {
        List<Submission> taken = new ArrayList<>();
        while (!waiting.isEmpty() && taken.size() < most) {
            Submission entry = waiting.pollFirst();
            if (jobs.get(entry.job.spec.jobId()) == null) {
                taken.add(entry);
            } else {
                // Recorded since it came, by another submission of the same job: it must neither
                // be reported as new nor be planned twice.
                entry.onOutcome.onOutcome(
                        new Transaction.Outcome(
                                Transaction.Result.CONFLICT, 0, Set.of(entry.job.storeKey())));
            }
        }
        return taken;
    }

    /**
     * Tells the outcome of a cycle's transaction to the jobs that were in it. Those that a conflict
     * does not concern, and all when the store was too busy, wait for the next cycle instead.
     */
    void respond(List<Submission> taken, Transaction.Outcome outcome) {
        for (int i = taken.size() - 1; i >= 0; i--) {
            Submission entry = taken.get(i);
            if (outcome.result() == Transaction.Result.THROTTLED
                    || outcome.result() == Transaction.Result.CONFLICT
                            && !concerns(outcome, entry.job)) {
                waiting.addFirst(entry);
            } else {
                entry.onOutcome.onOutcome(outcome);
            }
        }
    }

    private static boolean concerns(Transaction.Outcome outcome, Job job) {
        return outcome.failedKeys().contains(job.storeKey())
                || outcome.failedKeys().contains(StoreKeys.FINAL_STATE_PREFIX + job.spec.jobId());
    }
}
