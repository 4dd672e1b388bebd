package io.quincelead.simulation;

import static io.quincelead.simulation.ClusterAssertions.assertNoViolations;
import static io.quincelead.simulation.CompoundFaultFixtures.clusterWithReadyMachines;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.cluster.JobSpec;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Transactions of scheduling cycles that the store calls malformed or too large. */
class OversizedRecordTest {
    private static final long WAITING_LIMIT_MILLIS = 90_000;
    private static final long SUBMITTED_AT_MILLIS = 10_000;
    private static final int MAX_TRANSACTION_BYTES = 64 * 1024;

    private static boolean placesTaskOf(ObjectNode transaction, String jobId) {
        for (JsonNode operation : transaction.path("then")) {
            boolean isRecord = operation.path("put").asText().endsWith(jobId);
            if (isRecord && !operation.path("value").path("k").path("p").asText("").isEmpty()) {
                return true;
            }
        }
        return false;
    }

    private static void assertBegan(SimulatedCluster cluster, int id) {
        assertTrue(
                cluster.taskStartsByJob.getOrDefault(JobFixtures.id(id), 0) > 0,
                JobFixtures.id(id) + " waits");
    }

    /** All jobs of a controller waited with one whose record the store refused again and again. */
    @Test
    void jobWithARefusedRecordStopsNoOtherJob() {
        SimulatedCluster cluster = clusterWithReadyMachines(91, 3, 8);
        cluster.start();
        cluster.store.refusesTransaction = body -> placesTaskOf(body, JobFixtures.id(1));
        cluster.submitAfter(
                SUBMITTED_AT_MILLIS,
                JobFixtures.array(1, "red", JobSpec.Priority.NORMAL, 10, 1, 20),
                0);
        for (int id = 2; id <= 7; id++) {
            cluster.submitAfter(
                    SUBMITTED_AT_MILLIS + 1_000,
                    JobFixtures.array(id, "blue", JobSpec.Priority.NORMAL, 2, 1, 10),
                    id % 3);
        }

        cluster.runUntil(SUBMITTED_AT_MILLIS + 1_000 + WAITING_LIMIT_MILLIS);

        for (int id = 2; id <= 7; id++) {
            assertBegan(cluster, id);
        }
        assertTrue(
                cluster.store.refusedTransactions > 0 && cluster.store.refusedTransactions < 30,
                "refused: " + cluster.store.refusedTransactions);
    }

    /** Records that are each short enough were refused together, again and again. */
    @Test
    void recordsThatAreTooLargeTogetherAreWrittenApart() {
        SimulatedCluster cluster = clusterWithReadyMachines(92, 3, 8);
        cluster.start();
        cluster.store.refusesTransaction = body -> body.toString().length() > MAX_TRANSACTION_BYTES;
        List<String> manyTypes = new ArrayList<>(List.of("small"));
        for (int i = 0; i < 480; i++) {
            manyTypes.add(String.format("type-%04d", i));
        }
        // The controllers wait for this one to end, and place all others in one cycle.
        cluster.submitAfter(
                5_000, JobFixtures.array(1, "red", JobSpec.Priority.NORMAL, 64, 1, 30), 0);
        for (int id = 2; id <= 31; id++) {
            cluster.submitAfter(
                    SUBMITTED_AT_MILLIS,
                    JobFixtures.arrayJob(id, "red", JobSpec.Priority.NORMAL, 2)
                            .cpus(0.1)
                            .machineTypes(manyTypes)
                            .runtimeSeconds(20)
                            .build(),
                    0);
        }

        cluster.runUntil(40_000 + WAITING_LIMIT_MILLIS);

        for (int id = 2; id <= 31; id++) {
            assertBegan(cluster, id);
        }
        assertTrue(cluster.store.refusedTransactions > 0, "none was refused");
        assertNoViolations(cluster);
    }
}
