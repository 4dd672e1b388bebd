package io.quincelead.leadership;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Two urgent gangs with GPUs at different controllers, in a team whose less urgent arrays refill
 * each CPU that becomes free. Priorities in this test: 0 urgent, 1 normal.
 */
class UrgentGangQuotaTest {
    private static final double LIMIT_CPUS = 24;
    private static final double LIMIT_GPUS = 4;
    private static final int MEMBERS = 3;
    private static final int URGENT = 0;

    /** Number of splits after which a gang must have its quota if enough is free. */
    private static final int MAX_SPLITS = 4;

    /** A gang at a member, with the CPUs and GPUs that it needs at once. */
    private record Gang(int member, double cpus, double gpus) {}

    /** Simulates a team: each member's array refills its CPU share, and two gangs are pending. */
    private static final class TeamSimulation {
        final SplittableRandom random;
        final double[] cpuShares = {8, 8, 8};
        final double[] cpusUsed = {8, 8, 8};
        final double[] gpuShares = {2, 1, 1};
        final double[] gpusUsed = new double[MEMBERS];
        final List<Gang> pendingGangs = new ArrayList<>();

        TeamSimulation(long seed) {
            random = new SplittableRandom(seed);
            int first = random.nextInt(MEMBERS);
            int second = (first + 1 + random.nextInt(MEMBERS - 1)) % MEMBERS;
            pendingGangs.add(new Gang(first, 1 + random.nextInt(24), 3 + random.nextInt(2)));
            pendingGangs.add(new Gang(second, 1 + random.nextInt(24), 3 + random.nextInt(2)));
        }

        /** Ends one of the member's array tasks of one CPU. */
        void endTask(int member) {
            cpusUsed[member] = Math.max(0, cpusUsed[member] - 1);
        }

        /** Starts tasks of the member's array on the share not withheld for the reserved gang. */
        void refill(int member) {
            Gang reserved = pendingGangs.get(0);
            double withheld = reserved.member == member ? reserved.cpus : 0;
            while (cpuShares[member] - cpusUsed[member] - withheld >= 1 - 1e-9) {
                cpusUsed[member]++;
            }
        }

        void split() {
            Gang reserved = pendingGangs.get(0);
            double[] urgentCpus = new double[MEMBERS];
            double[] urgentGpus = new double[MEMBERS];
            for (Gang gang : pendingGangs.subList(1, pendingGangs.size())) {
                urgentCpus[gang.member] += gang.cpus;
                urgentGpus[gang.member] += gang.gpus;
            }
            split(LIMIT_CPUS, cpuShares, cpusUsed, urgentCpus, 200, reserved.member, reserved.cpus);
            split(LIMIT_GPUS, gpuShares, gpusUsed, urgentGpus, 0, reserved.member, reserved.gpus);
        }

        private static void split(
                double limit,
                double[] shares,
                double[] used,
                double[] urgent,
                double normal,
                int reservedMember,
                double need) {
            double[] reserved = new double[MEMBERS];
            reserved[reservedMember] = need;
            double before = committed(shares, used);
            List<QuotaShareCalculator.MemberQuota> members = new ArrayList<>();
            for (int i = 0; i < MEMBERS; i++) {
                double[] pendingByPriority = {urgent[i], normal};
                double[] units = {urgent[i], normal > 0 ? 1 : 0};
                members.add(
                        new QuotaShareCalculator.MemberQuota(
                                shares[i], used[i], pendingByPriority, units));
            }
            double[] next =
                    QuotaShareCalculator.split(
                            limit,
                            0,
                            members,
                            new QuotaShareCalculator.Reservation(reserved, URGENT),
                            false);
            System.arraycopy(next, 0, shares, 0, MEMBERS);
            assertTrue(
                    committed(shares, used) <= Math.max(limit, before) + 1e-6, "beyond the limit");
        }

        private static double committed(double[] shares, double[] used) {
            double sum = 0;
            for (int i = 0; i < MEMBERS; i++) {
                sum += Math.max(shares[i], used[i]);
            }
            return sum;
        }

        /** Whether some gang has all CPUs and GPUs that it needs. */
        boolean canAnyGangStart() {
            return pendingGangs.stream()
                    .anyMatch(
                            gang ->
                                    cpuShares[gang.member] - cpusUsed[gang.member]
                                                    >= gang.cpus - 1e-9
                                            && gpuShares[gang.member] - gpusUsed[gang.member]
                                                    >= gang.gpus - 1e-9);
        }
    }

    /**
     * One controller once accumulated the CPUs and another one the GPUs, or both got half of each,
     * so neither gang could start.
     */
    @Property(tries = 500, seed = "41")
    void oneOfTwoUrgentGangsGetsItsWholeNeedOfBothResources(@ForAll long seed) {
        TeamSimulation simulation = new TeamSimulation(seed);
        simulation.split();
        int[] tasksToEnd =
                Arrays.stream(simulation.cpusUsed)
                        .mapToInt(used -> (int) Math.round(used))
                        .toArray();
        while (Arrays.stream(tasksToEnd).sum() > 0 && !simulation.canAnyGangStart()) {
            int member = simulation.random.nextInt(MEMBERS);
            switch (simulation.random.nextInt(3)) {
                case 0 -> simulation.split();
                case 1 -> simulation.refill(member);
                default -> {
                    if (tasksToEnd[member] > 0) {
                        tasksToEnd[member]--;
                        simulation.endTask(member);
                    }
                }
            }
        }
        for (int split = 0; split < MAX_SPLITS && !simulation.canAnyGangStart(); split++) {
            simulation.split();
        }
        assertTrue(
                simulation.canAnyGangStart(),
                () ->
                        simulation.pendingGangs
                                + " with CPUs "
                                + Arrays.toString(simulation.cpuShares)
                                + " and GPUs "
                                + Arrays.toString(simulation.gpuShares));
    }
}
