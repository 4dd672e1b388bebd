package io.quincelead.leadership;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Two urgent gangs on GPUs at different controllers, in a team whose less urgent arrays refill each
 * CPU that comes free. Priorities here: 0 urgent, 1 normal.
 */
class UrgentGangQuotaTest {
    private static final double LIMIT_CPUS = 24;
    private static final double LIMIT_GPUS = 4;
    private static final int MEMBERS = 3;
    private static final int URGENT = 0;

    /** Splits after which a gang whose quota is free must have it. */
    private static final int MAX_SPLITS = 4;

    /** What a gang needs at one time. */
    private record Gang(int member, double cpus, double gpus) {}

    private static final class Service {
        final SplittableRandom random;
        final double[] cpuShares = {8, 8, 8};
        final double[] cpusUsed = {8, 8, 8};
        final double[] gpuShares = {2, 1, 1};
        final double[] gpusUsed = new double[MEMBERS];
        final List<Gang> waitingGangs = new ArrayList<>();

        Service(long seed) {
            random = new SplittableRandom(seed);
            int first = random.nextInt(MEMBERS);
            int second = (first + 1 + random.nextInt(MEMBERS - 1)) % MEMBERS;
            waitingGangs.add(new Gang(first, 1 + random.nextInt(24), 3 + random.nextInt(2)));
            waitingGangs.add(new Gang(second, 1 + random.nextInt(24), 3 + random.nextInt(2)));
        }

        /** One of the member's array tasks of one CPU ends. */
        void endTask(int member) {
            cpusUsed[member] = Math.max(0, cpusUsed[member] - 1);
        }

        /** The member's array takes what its share leaves beside the reserved gang. */
        void refill(int member) {
            Gang reserved = waitingGangs.get(0);
            double withheld = reserved.member == member ? reserved.cpus : 0;
            while (cpuShares[member] - cpusUsed[member] - withheld >= 1 - 1e-9) {
                cpusUsed[member]++;
            }
        }

        void split() {
            Gang reserved = waitingGangs.get(0);
            double[] urgentCpus = new double[MEMBERS];
            double[] urgentGpus = new double[MEMBERS];
            for (Gang gang : waitingGangs.subList(1, waitingGangs.size())) {
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
                double[] wanted = {urgent[i], normal};
                double[] units = {urgent[i], normal > 0 ? 1 : 0};
                members.add(
                        new QuotaShareCalculator.MemberQuota(shares[i], used[i], wanted, units));
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

        /** Whether some gang has its whole need of both resources. */
        boolean canAnyGangStart() {
            return waitingGangs.stream()
                    .anyMatch(
                            gang ->
                                    cpuShares[gang.member] - cpusUsed[gang.member]
                                                    >= gang.cpus - 1e-9
                                            && gpuShares[gang.member] - gpusUsed[gang.member]
                                                    >= gang.gpus - 1e-9);
        }
    }

    /** CPUs once gathered at one controller and GPUs at another, or half of each at both. */
    @Property(tries = 500, seed = "41")
    void oneOfTwoUrgentGangsGetsItsWholeNeedOfBothResources(@ForAll long seed) {
        Service service = new Service(seed);
        service.split();
        int[] tasksToEnd =
                Arrays.stream(service.cpusUsed).mapToInt(used -> (int) Math.round(used)).toArray();
        while (Arrays.stream(tasksToEnd).sum() > 0 && !service.canAnyGangStart()) {
            int member = service.random.nextInt(MEMBERS);
            switch (service.random.nextInt(3)) {
                case 0 -> service.split();
                case 1 -> service.refill(member);
                default -> {
                    if (tasksToEnd[member] > 0) {
                        tasksToEnd[member]--;
                        service.endTask(member);
                    }
                }
            }
        }
        for (int split = 0; split < MAX_SPLITS && !service.canAnyGangStart(); split++) {
            service.split();
        }
        assertTrue(
                service.canAnyGangStart(),
                () ->
                        service.waitingGangs
                                + " with CPUs "
                                + Arrays.toString(service.cpuShares)
                                + " and GPUs "
                                + Arrays.toString(service.gpuShares));
    }
}
