package io.quincelead.scheduler;

import io.quincelead.cluster.Job;
import io.quincelead.cluster.JobTable;
import io.quincelead.config.constants.StoreConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.eventloop.IndependentSteps;
import io.quincelead.store.StoreKeys;
import io.quincelead.store.Transaction;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Queue of urgent jobs that are being submitted, in order of arrival: the next cycle records them,
 * together with their first placements if there are any. Each submission's handler is called
 * exactly once.
 */
final class AdmissionQueue {
    /** A job that waits to be recorded until {@code deadlineMillis} in event-loop time. */
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

    /** Whether the job may be added: the queue is not full and does not contain the job. */
    boolean accepts(Job job) {
        return waiting.size() < StoreConstants.MAX_PENDING_COMMITS
                && waiting.stream()
                        .noneMatch(
                                submission -> submission.job.spec.jobId().equals(job.spec.jobId()));
    }

    void add(Job job, long timeoutMillis, Transaction.OutcomeHandler onOutcome) {
        waiting.addLast(new Submission(job, loop.nowMillis() + timeoutMillis, onOutcome));
    }

    /** Rejects the submissions that have passed their deadline. */
    void expire() {
        while (!waiting.isEmpty() && waiting.peekFirst().deadlineMillis < loop.nowMillis()) {
            waiting.pollFirst()
                    .onOutcome
                    .onOutcome(new Transaction.Outcome(Transaction.Result.REJECTED, 0, Set.of()));
        }
    }

    /** Removes and returns the first submissions, at most {@code maxCount}. */
    List<Submission> takeAtMost(int maxCount) {
        List<Submission> taken = new ArrayList<>();
        while (!waiting.isEmpty() && taken.size() < maxCount) {
            Submission submission = waiting.pollFirst();
            if (jobs.get(submission.job.spec.jobId()) == null) {
                taken.add(submission);
            } else {
                // Another submission of the same job has been recorded meanwhile: the job must
                // neither be reported as new nor be planned twice.
                submission.onOutcome.onOutcome(
                        new Transaction.Outcome(
                                Transaction.Result.CONFLICT, 0, Set.of(submission.job.storeKey())));
            }
        }
        return taken;
    }

    /**
     * Reports the outcome of a cycle's transaction to the submissions that were in it. Submissions
     * that a conflict does not concern, and all of them if the store throttled the write, wait for
     * the next cycle instead.
     */
    void respond(List<Submission> taken, Transaction.Outcome outcome) {
        IndependentSteps steps = new IndependentSteps();
        for (int i = taken.size() - 1; i >= 0; i--) {
            Submission submission = taken.get(i);
            if (outcome.result() == Transaction.Result.THROTTLED
                    || outcome.result() == Transaction.Result.CONFLICT
                            && !concerns(outcome, submission.job)) {
                waiting.addFirst(submission);
            } else {
                steps.run(() -> submission.onOutcome.onOutcome(outcome));
            }
        }
        steps.throwFirstFailure();
    }

    private static boolean concerns(Transaction.Outcome outcome, Job job) {
        return outcome.failedKeys().contains(job.storeKey())
                || outcome.failedKeys().contains(StoreKeys.FINAL_STATE_PREFIX + job.spec.jobId());
    }
}
