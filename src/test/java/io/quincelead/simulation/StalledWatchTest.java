package io.quincelead.simulation;

import static io.quincelead.simulation.ClusterAssertions.assertAllJobsFinished;
import static io.quincelead.simulation.CompoundFaultFixtures.clusterWithReadyMachines;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.cluster.JobSpec;
import io.quincelead.config.Settings;
import io.quincelead.config.constants.TransportConstants;
import io.quincelead.transport.WireFormat;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A controller whose watch can't follow the store while the others go on. */
class StalledWatchTest {
    /** Time within which everything is answered once the store serves a controller again. */
    private static final long RECOVERY_LIMIT_MILLIS = 10_000;

    private static final int OPERATIONS_PER_COMMIT = 12;
    private static final int VALUE_CHARS = 1_800;

    private final List<Integer> readyStatuses = new ArrayList<>();
    private int recordedChanges;

    private static SimulatedCluster cluster(long seed) {
        SimulatedCluster cluster = clusterWithReadyMachines(seed, 5, 20);
        cluster.storeLimits = new Settings.StoreLimits(600, 250, 8, OPERATIONS_PER_COMMIT);
        cluster.start();
        cluster.runUntil(10_000);
        return cluster;
    }

    /** Records changes of keys that no controller uses, at this rate, until the given time. */
    private void recordChanges(SimulatedCluster cluster, int changesPerSecond, long untilMillis) {
        if (cluster.nowMillis() >= untilMillis) {
            return;
        }
        ObjectNode commit = WireFormat.newMap();
        commit.putArray("guards");
        ArrayNode operations = commit.putArray("then");
        for (int i = 0; i < OPERATIONS_PER_COMMIT; i++) {
            operations
                    .addObject()
                    .put("put", "a/zz/" + recordedChanges++ % 500)
                    .put("value", "x".repeat(VALUE_CHARS));
        }
        cluster.network.call(
                SimulatedCluster.USERS_ADDRESS,
                SimulatedCluster.STORE_ADDRESS,
                "POST",
                "/commit",
                WireFormat.CBOR.encode(commit),
                1_000,
                (status, body, retryAfterSeconds) -> {});
        cluster.after(
                1_000L * OPERATIONS_PER_COMMIT / changesPerSecond,
                () -> recordChanges(cluster, changesPerSecond, untilMillis));
    }

    private void probeReadiness(SimulatedCluster cluster, int controller) {
        cluster.network.call(
                SimulatedCluster.USERS_ADDRESS,
                cluster.controllers.get(controller).userAddress,
                "GET",
                "/ready",
                null,
                1_000,
                (status, body, retryAfterSeconds) -> readyStatuses.add(status));
    }

    /** A watch's response over the client's limit was asked for again and again, for ever. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void controllerCatchesUpWithMoreChangesThanOneResponseHolds(long seed) {
        SimulatedCluster cluster = cluster(seed);
        int refused = (cluster.leaderIndex() + 1) % 5;
        int other = (cluster.leaderIndex() + 2) % 5;
        JobSpec longJob = JobFixtures.array(1, "red", JobSpec.Priority.NORMAL, 12, 1, 300);
        cluster.submit(longJob, other);
        cluster.faults.injectStoreRefusal(refused, 40_000);
        cluster.expectFaultsUntil(50_000);
        recordChanges(cluster, 240, 50_000);

        cluster.runUntil(50_500);
        assertTrue(
                recordedChanges < cluster.store.maxRetainedChanges, "no 410: " + recordedChanges);
        assertTrue(
                (long) recordedChanges * VALUE_CHARS > 4L * TransportConstants.MAX_RESPONSE_BYTES);
        cluster.cancel(longJob.jobId(), refused);
        cluster.submitAfter(
                4_000, JobFixtures.array(2, "red", JobSpec.Priority.NORMAL, 2, 1, 5), refused);
        cluster.runUntil(50_500 + RECOVERY_LIMIT_MILLIS);

        assertTrue(cluster.cancellationConfirmedAtMillis(longJob.jobId()) >= 0, "not cancelled");
        assertEquals(2, cluster.taskStartsByJob.getOrDefault("wk-000002", 0));
        cluster.runUntil(90_000);
        assertAllJobsFinished(cluster, 2);
    }

    /**
     * Such a controller kept its lease, said that it was ready, accepted jobs and kept its work.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void workOfAControllerWithAStalledWatchIsReassigned(int afterLeader) {
        SimulatedCluster cluster = cluster(3);
        int stalled = (cluster.leaderIndex() + afterLeader) % 5;
        int other = (stalled + 1) % 5;
        String memberId = cluster.controllers.get(stalled).memberId;
        JobSpec ownJob = JobFixtures.array(1, "red", JobSpec.Priority.NORMAL, 12, 1, 40);
        cluster.submit(ownJob, stalled);
        cluster.runUntil(14_000);
        cluster.store.setWatchDelayed(cluster.controllers.get(stalled).ip, true);
        cluster.submitAfter(
                500, JobFixtures.array(2, "red", JobSpec.Priority.NORMAL, 12, 1, 20), stalled);
        recordChanges(cluster, 12, 40_000);

        cluster.runUntil(14_000 + RECOVERY_LIMIT_MILLIS);
        assertNull(cluster.store.value("a/n/" + memberId));
        assertNull(cluster.store.value("a/b/" + memberId));
        assertNotEquals(stalled, cluster.leaderIndex());
        probeReadiness(cluster, stalled);
        cluster.cancelAfter(1_000, ownJob.jobId(), other);
        cluster.submitAfter(
                1_000, JobFixtures.array(3, "red", JobSpec.Priority.NORMAL, 2, 1, 5), stalled);
        cluster.runUntil(14_000 + 2 * RECOVERY_LIMIT_MILLIS);
        assertEquals(List.of(503), readyStatuses);
        assertTrue(cluster.cancellationConfirmedAtMillis(ownJob.jobId()) >= 0, "not cancelled");
        assertEquals(2, cluster.acceptedJobCount(), "it accepted a job");
        assertTrue(cluster.taskStartsByJob.getOrDefault("wk-000002", 0) >= 12, "not reassigned");

        cluster.runUntil(40_000);
        cluster.store.setWatchDelayed(cluster.controllers.get(stalled).ip, false);
        cluster.runUntil(40_000 + RECOVERY_LIMIT_MILLIS);
        assertNotNull(cluster.store.value("a/n/" + memberId));
        probeReadiness(cluster, stalled);
        cluster.runUntil(90_000);
        assertEquals(List.of(503, 200), readyStatuses);
        assertAllJobsFinished(cluster, 3);
    }
}
