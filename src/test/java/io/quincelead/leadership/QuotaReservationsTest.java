package io.quincelead.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.cluster.JobSpec;
import io.quincelead.cluster.JobTable;
import io.quincelead.cluster.MachineTable;
import io.quincelead.cluster.MachineTypeCatalog;
import io.quincelead.config.Settings;
import io.quincelead.config.TestSettings;
import io.quincelead.policy.Policy;
import io.quincelead.simulation.JobFixtures;
import io.quincelead.simulation.SimulatedClock;
import io.quincelead.store.StoreKeys;
import io.quincelead.store.Transaction;
import io.quincelead.store.UnresponsiveStore;
import io.quincelead.store.WatchCache;
import io.quincelead.transport.WireFormat;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests for which overdue first starts a team's quota is reserved, given the records. */
class QuotaReservationsTest {
    private static final long NOW_MILLIS = 1_000_000;
    private static final long LONG_AGO_MILLIS = NOW_MILLIS - 100_000;
    private static final double LIMIT_CPUS = 24;

    /** The records of jobs and machines as one controller has read them. */
    private static final class Records {
        private final SimulatedClock.SimulatedProcess loop = new SimulatedClock(1).newProcess();
        private final WatchCache watchCache =
                UnresponsiveStore.watchCache(loop, TestSettings.SINGLE_CONTROLLER);
        private final JobTable jobs = new JobTable(loop, watchCache);
        private final QuotaReservations reservations =
                new QuotaReservations(
                        Map.of("blue", new Settings.Team("blue", 8, LIMIT_CPUS, 0, 4)),
                        jobs,
                        new MachineTable(watchCache),
                        new MachineTypeCatalog(watchCache),
                        new Policy(watchCache));
        private long revision;

        /** Adds machines with 4 CPUs and one GPU each. */
        void putMachines(String zone, String... hosts) {
            MachineTypeCatalog.MachineType type =
                    new MachineTypeCatalog.MachineType(
                            "gpu", 4, 1, 16, 60, 1, 1, 0.4, 8, List.of("a", "b"));
            ObjectNode group =
                    WireFormat.newMap().put("k", "gpu").put("s", zone).put("p", false).put("r", 0);
            List.of(hosts).forEach(group.putArray("h")::add);
            watchCache.applyCommitted(
                    new Transaction()
                            .put(StoreKeys.MACHINE_TYPE_PREFIX + "gpu", type.encode())
                            .put(StoreKeys.MACHINE_PREFIX + "group-" + zone, group),
                    ++revision);
        }

        void put(JobSpec spec, long acceptedAtMillis) {
            put(spec, acceptedAtMillis, 0, "");
        }

        /** Adds a job with placements in the record's form: task, host and attempt of each. */
        void put(JobSpec spec, long acceptedAtMillis, long lastAttempt, String placements) {
            ObjectNode job = record(spec, acceptedAtMillis);
            ObjectNode tasks = WireFormat.newMap().put("t", lastAttempt).put("p", placements);
            tasks.putArray("d");
            job.set("k", tasks);
            putRecord(spec, job);
        }

        void putCancelled(JobSpec spec, long acceptedAtMillis) {
            putRecord(spec, record(spec, acceptedAtMillis).put("x", NOW_MILLIS));
        }

        private static ObjectNode record(JobSpec spec, long acceptedAtMillis) {
            ObjectNode job = WireFormat.newMap().put("c", "worker-0").put("at", acceptedAtMillis);
            job.set("s", spec.encode());
            return job;
        }

        private void putRecord(JobSpec spec, ObjectNode job) {
            watchCache.applyCommitted(
                    new Transaction().put("a/j/" + spec.jobId(), job), ++revision);
        }

        List<String> reserved() {
            return reserved("blue");
        }

        List<String> reserved(String team) {
            return reservations.jobsWithReservedQuota(team, NOW_MILLIS).stream()
                    .map(job -> job.spec.jobId())
                    .toList();
        }
    }

    private final Records records = new Records();

    private static JobSpec gang(int number, JobSpec.Priority priority, int tasks, double cpus) {
        return JobFixtures.gang(number, "blue", priority, tasks).cpus(cpus).build();
    }

    @Test
    void oldestOverdueGangGetsTheReservation() {
        records.put(gang(1, JobSpec.Priority.NORMAL, 4, 2), LONG_AGO_MILLIS);
        records.put(gang(2, JobSpec.Priority.BEST_EFFORT, 4, 2), LONG_AGO_MILLIS - 1);
        records.put(gang(3, JobSpec.Priority.NORMAL, 4, 2), NOW_MILLIS - 80_000);
        assertEquals(List.of("wk-000002"), records.reserved());
    }

    @Test
    void nothingIsReservedForGangsThatAreNotOverdue() {
        records.put(gang(1, JobSpec.Priority.NORMAL, 4, 2), NOW_MILLIS - 89_000);
        assertEquals(List.of(), records.reserved());
    }

    /**
     * No machines are drained for these gangs: quota reserved for gangs without machines once left
     * their teams idle.
     */
    @Test
    void urgentGangsWithoutMachinesReserveNothing() {
        records.put(gang(1, JobSpec.Priority.HIGH, 4, 2), LONG_AGO_MILLIS);
        records.put(gang(2, JobSpec.Priority.PRODUCTION, 4, 2), LONG_AGO_MILLIS);
        assertEquals(List.of(), records.reserved());
    }

    private static final String[] FOUR_HOSTS = {"i-000001", "i-000002", "i-000003", "i-000004"};

    private static JobSpec gpuGang(int number, JobSpec.Priority priority) {
        return JobFixtures.gang(number, "blue", priority, 4)
                .cpus(3)
                .gpus(1)
                .zoneAffinity(true)
                .build();
    }

    /**
     * Adds an array of the same team with running tasks of two CPUs, spread over the four hosts.
     */
    private void putRunningTasks(int number, JobSpec.Priority priority, int tasks) {
        JobSpec spec = JobFixtures.array(number, "blue", priority, 30, 2, 10);
        StringBuilder placements = new StringBuilder();
        for (int i = 0; i < tasks; i++) {
            placements.append(i).append(' ').append(FOUR_HOSTS[i % 4]).append(" 1;");
        }
        records.put(spec, LONG_AGO_MILLIS, 1, placements.toString());
    }

    /** Less urgent work of its team once kept an urgent gang from its quota indefinitely. */
    @Test
    void urgentGangBlockedByLessUrgentWorkGetsTheOnlyReservation() {
        records.putMachines("a", FOUR_HOSTS);
        putRunningTasks(1, JobSpec.Priority.NORMAL, 4);
        records.put(array(2), LONG_AGO_MILLIS - 20_000);
        records.put(gpuGang(3, JobSpec.Priority.HIGH), LONG_AGO_MILLIS);
        records.put(gpuGang(4, JobSpec.Priority.HIGH), LONG_AGO_MILLIS - 10_000);
        assertEquals(List.of("wk-000004"), records.reserved());
        records.put(gpuGang(5, JobSpec.Priority.PRODUCTION), LONG_AGO_MILLIS);
        assertEquals(List.of("wk-000005"), records.reserved());
    }

    @Test
    void nothingIsReservedForAnUrgentGangThatIsNotOverdue() {
        records.putMachines("a", FOUR_HOSTS);
        records.put(gpuGang(1, JobSpec.Priority.HIGH), NOW_MILLIS - 89_000);
        assertEquals(List.of(), records.reserved());
    }

    /** Quota reserved for a gang that waits for machines would be idle. */
    @Test
    void nothingIsReservedForAnUrgentGangWhoseMachinesRunEquallyUrgentWork() {
        records.putMachines("a", FOUR_HOSTS);
        records.put(gpuGang(1, JobSpec.Priority.HIGH), LONG_AGO_MILLIS);
        JobSpec otherTeams = JobFixtures.array(2, "green", JobSpec.Priority.HIGH, 1, 2, 10);
        records.put(otherTeams, LONG_AGO_MILLIS, 1, "0 i-000002 1;");
        assertEquals(List.of(), records.reserved());
    }

    @Test
    void nothingIsReservedForAnUrgentGangThatFitsNoSingleZone() {
        records.putMachines("a", FOUR_HOSTS[0], FOUR_HOSTS[1]);
        records.putMachines("b", FOUR_HOSTS[2], FOUR_HOSTS[3]);
        records.put(gpuGang(1, JobSpec.Priority.HIGH), LONG_AGO_MILLIS);
        assertEquals(List.of(), records.reserved());
    }

    /**
     * Two urgent gangs that together exceed the team's GPUs would otherwise leave CPUs idle for
     * both.
     */
    @Test
    void urgentGangBehindEquallyUrgentWorkReservesNothing() {
        records.putMachines("a", FOUR_HOSTS);
        records.putMachines("b", "i-000005", "i-000006", "i-000007", "i-000008");
        records.put(
                gpuGang(1, JobSpec.Priority.HIGH),
                LONG_AGO_MILLIS,
                1,
                "0 i-000001 1;1 i-000002 1;2 i-000003 1;3 i-000004 1;");
        records.put(gpuGang(2, JobSpec.Priority.HIGH), LONG_AGO_MILLIS);
        assertEquals(List.of(), records.reserved());
    }

    /** A gang that finds no machines leaves the quota to other jobs after its turn. */
    @Test
    void reservationTurnsAlternateWithPauses() {
        long beginMillis = NOW_MILLIS - 90_000;
        records.put(gang(1, JobSpec.Priority.NORMAL, 4, 2), beginMillis - 119_000);
        assertEquals(List.of("wk-000001"), records.reserved());
        records.put(gang(1, JobSpec.Priority.NORMAL, 4, 2), beginMillis - 121_000);
        assertEquals(List.of(), records.reserved());
        records.put(gang(1, JobSpec.Priority.NORMAL, 4, 2), beginMillis - 149_000);
        assertEquals(List.of(), records.reserved());
        records.put(gang(2, JobSpec.Priority.NORMAL, 4, 2), beginMillis - 10_000);
        assertEquals(List.of("wk-000002"), records.reserved());
        records.put(gang(1, JobSpec.Priority.NORMAL, 4, 2), beginMillis - 151_000);
        assertEquals(List.of("wk-000001"), records.reserved());
    }

    @Test
    void gangThatNeverFitsTheLimitReservesNothing() {
        records.put(gang(1, JobSpec.Priority.NORMAL, 13, 2), LONG_AGO_MILLIS);
        assertEquals(List.of(), records.reserved());
    }

    @Test
    void gangThatNeverFitsBesideServicesReservesNothing() {
        JobSpec service = JobFixtures.service(1, "blue", JobSpec.Priority.NORMAL, 3).build();
        records.put(service, LONG_AGO_MILLIS, 1, "0 i-000001 1;1 i-000001 1;2 i-000002 1;");
        records.put(gang(2, JobSpec.Priority.NORMAL, 11, 2), LONG_AGO_MILLIS);
        records.put(gang(3, JobSpec.Priority.NORMAL, 10, 2), LONG_AGO_MILLIS + 1);
        assertEquals(List.of("wk-000003"), records.reserved());
    }

    @Test
    void reservationEndsWhenTheGangIsCancelledOrStarted() {
        JobSpec first = gang(1, JobSpec.Priority.NORMAL, 2, 2);
        JobSpec second = gang(2, JobSpec.Priority.NORMAL, 2, 2);
        records.put(first, LONG_AGO_MILLIS);
        records.put(second, LONG_AGO_MILLIS + 1);
        assertEquals(List.of("wk-000001"), records.reserved());
        records.putCancelled(first, LONG_AGO_MILLIS);
        assertEquals(List.of("wk-000002"), records.reserved());
        records.put(second, LONG_AGO_MILLIS + 1, 1, "0 i-000001 1;1 i-000002 1;");
        assertEquals(List.of(), records.reserved());
    }

    /** A misconfigured job fails on every machine until its user cancels it. */
    @Test
    void gangWithTooManyFailedAttemptsReservesNothing() {
        JobSpec gang = gang(1, JobSpec.Priority.NORMAL, 2, 2);
        records.put(gang, LONG_AGO_MILLIS, 2, "");
        assertEquals(List.of("wk-000001"), records.reserved());
        records.put(gang, LONG_AGO_MILLIS, 3, "");
        assertEquals(List.of(), records.reserved());
    }

    @Test
    void oneGangAndTheFirstTaskOfOneOtherJobGetReservationsTogether() {
        records.put(array(1), LONG_AGO_MILLIS - 10_000);
        records.put(array(2), LONG_AGO_MILLIS - 9_000);
        records.put(gang(3, JobSpec.Priority.NORMAL, 11, 2), LONG_AGO_MILLIS - 8_000);
        records.put(gang(4, JobSpec.Priority.NORMAL, 2, 2), LONG_AGO_MILLIS - 7_000);
        assertEquals(List.of("wk-000001", "wk-000003"), records.reserved());
    }

    @Test
    void jobsThatDoNotFitTogetherGetReservationsOneAfterTheOther() {
        records.put(gang(1, JobSpec.Priority.NORMAL, 12, 2), LONG_AGO_MILLIS - 10_000);
        records.put(array(2), LONG_AGO_MILLIS - 9_000);
        assertEquals(List.of("wk-000001"), records.reserved());
        records.put(array(3), LONG_AGO_MILLIS - 11_000);
        assertEquals(List.of("wk-000003"), records.reserved());
    }

    @Test
    void arrayWithAStartedTaskReservesNothing() {
        records.put(array(1), LONG_AGO_MILLIS, 1, "0 i-000001 1;");
        assertEquals(List.of(), records.reserved());
    }

    private static JobSpec array(int number) {
        return JobFixtures.array(number, "blue", JobSpec.Priority.NORMAL, 5, 2, 10);
    }

    @Test
    void teamMissingFromTheSettingsReservesNothing() {
        assertEquals(List.of(), records.reserved("nobody"));
    }

    @Test
    void reservationsDoNotDependOnTheOrderOfTheRecords() {
        List<JobSpec> gangs =
                List.of(
                        gang(1, JobSpec.Priority.NORMAL, 4, 2),
                        gang(2, JobSpec.Priority.NORMAL, 4, 2),
                        gang(3, JobSpec.Priority.BEST_EFFORT, 4, 2));
        Records other = new Records();
        for (int i = 0; i < gangs.size(); i++) {
            records.put(gangs.get(i), LONG_AGO_MILLIS);
            other.put(gangs.get(gangs.size() - 1 - i), LONG_AGO_MILLIS);
        }
        assertEquals(List.of("wk-000001"), records.reserved());
        assertEquals(records.reserved(), other.reserved());
    }
}
