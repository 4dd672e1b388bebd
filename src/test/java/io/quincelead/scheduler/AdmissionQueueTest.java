package io.quincelead.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.quincelead.cluster.Job;
import io.quincelead.cluster.JobSpec;
import io.quincelead.config.constants.StoreConstants;
import io.quincelead.simulation.JobFixtures;
import io.quincelead.store.Transaction;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class AdmissionQueueTest {
    private final ClusterFixture cluster = new ClusterFixture(1, new SplittableRandom(1));
    private final AdmissionQueue queue = new AdmissionQueue(cluster.loop, cluster.jobs);
    private final List<String> outcomes = new ArrayList<>();

    private static JobSpec spec(int id) {
        return JobFixtures.array(id, "red", JobSpec.Priority.HIGH, 1, 1, 10);
    }

    private Job add(int id, long timeoutMillis) {
        Job job = new Job(spec(id), ClusterFixture.MEMBER_ID, 0);
        queue.add(
                job,
                timeoutMillis,
                outcome -> outcomes.add(job.spec.jobId() + " " + outcome.result()));
        return job;
    }

    private static List<String> ids(List<AdmissionQueue.Submission> taken) {
        return taken.stream().map(submission -> submission.job().spec.jobId()).toList();
    }

    @Test
    void rejectsOnlyJobsPastTheirTimeout() {
        add(1, -1);
        add(2, 0);

        queue.expire();

        assertEquals(List.of("wk-000001 REJECTED"), outcomes);
        assertEquals(1, queue.size());
    }

    @Test
    void takesJobsInSubmissionOrder() {
        add(1, 10);
        add(2, 10);
        add(3, 10);

        assertEquals(List.of("wk-000001", "wk-000002"), ids(queue.takeAtMost(2)));
        assertEquals(1, queue.size());
    }

    @Test
    void reportsConflictForAJobAlreadyOnRecord() {
        add(1, 10);
        cluster.addWaitingJob(spec(1));

        assertTrue(queue.takeAtMost(2).isEmpty());
        assertEquals(List.of("wk-000001 CONFLICT"), outcomes);
    }

    @Test
    void requeuesJobsNotInTheConflictInOrder() {
        Job first = add(1, 10);
        add(2, 10);
        add(3, 10);
        List<AdmissionQueue.Submission> taken = queue.takeAtMost(3);

        queue.respond(
                taken,
                new Transaction.Outcome(Transaction.Result.CONFLICT, 0, Set.of(first.storeKey())));

        assertEquals(List.of("wk-000001 CONFLICT"), outcomes);
        assertEquals(List.of("wk-000002", "wk-000003"), ids(queue.takeAtMost(3)));
    }

    @Test
    void requeuesAllJobsWhenTheStoreThrottles() {
        add(1, 10);
        List<AdmissionQueue.Submission> taken = queue.takeAtMost(1);

        queue.respond(taken, new Transaction.Outcome(Transaction.Result.THROTTLED, 0, Set.of()));

        assertEquals(List.of(), outcomes);
        assertEquals(1, queue.size());
    }

    @Test
    void reportsAnIndeterminateOutcome() {
        add(1, 10);
        List<AdmissionQueue.Submission> taken = queue.takeAtMost(1);

        queue.respond(
                taken, new Transaction.Outcome(Transaction.Result.INDETERMINATE, 0, Set.of()));

        assertEquals(List.of("wk-000001 INDETERMINATE"), outcomes);
        assertTrue(queue.isEmpty());
    }

    @Test
    void acceptsAJobOnceAndNoMoreThanItsCapacity() {
        for (int id = 1; id <= StoreConstants.MAX_PENDING_COMMITS; id++) {
            assertTrue(queue.accepts(new Job(spec(id), ClusterFixture.MEMBER_ID, 0)));
            add(id, 10);
            assertFalse(queue.accepts(new Job(spec(id), ClusterFixture.MEMBER_ID, 0)));
        }
        int next = StoreConstants.MAX_PENDING_COMMITS + 1;

        assertFalse(queue.accepts(new Job(spec(next), ClusterFixture.MEMBER_ID, 0)));
    }
}
