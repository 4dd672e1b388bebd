package io.quincelead.placing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The TEBAS pass (Liu et al., "TEBAS: A Time-Efficient Balance-Aware Scheduling Strategy for Batch Processing Jobs",
 * Algorithm 1): spreads a job's tasks over machines by looking at one task only.
 */
public final class Tebas {
    private Tebas() { }

    /** A machine as the pass sees it. */
    public static final class Seat {
        public final String host;
        final double fitness;
        final double room;
        /** Tasks of the job that still fit. */
        public int remainCap;
        /** Tasks the pass has assigned. */
        public int assigned;

        public Seat(String host, double fitness, double room, int remainCap) {
            this.host = host;
            this.fitness = fitness;
            this.room = room;
            this.remainCap = remainCap;
        }
    }

    /** Fitness = 1 / ((1 - alpha) + alpha / k), k being the task's CPU demand times the machine's frequency. */
    public static double fitness(double alpha, double vcpus, double frequency) {
        double k = Math.max(vcpus * frequency, 1e-6);
        return 1 / ((1 - alpha) + alpha / k);
    }

    /** The smaller of free CPU, memory and GPUs, each over the task's demand. */
    public static int remainCap(double freeCpu, double freeRam, double freeGpu, double cpu, double ram, double gpu) {
        double cap = Integer.MAX_VALUE;
        cap = cpu > 0 ? Math.min(cap, (freeCpu + 1e-9) / cpu) : cap;
        cap = ram > 0 ? Math.min(cap, (freeRam + 1e-9) / ram) : cap;
        cap = gpu > 0 ? Math.min(cap, (freeGpu + 1e-9) / gpu) : cap;
        return (int) Math.max(0, Math.floor(cap));
    }

    /** Assigns up to {@code tasks} tasks; returns how many found no room. */
    public static int pass(List<Seat> machines, int tasks, int beta) {
        List<Seat> sorted = new ArrayList<>(machines);
        sorted.sort(Comparator.comparingDouble((Seat s) -> -s.fitness).thenComparingDouble(s -> -s.room).thenComparing(s -> s.host));
        int n = sorted.size();
        if (n == 0) {
            return tasks;
        }
        int groups = Math.max(1, n / beta);
        int size = n / groups;
        int left = tasks;
        boolean progress = true;
        while (left > 0 && progress) {
            progress = false;
            int average = 0;
            for (int i = 0; i < n && left > 0; i++) {
                int group = Math.min(i / size, groups - 1);
                if (i == group * size) {
                    average = left / (group < groups - 1 ? size : n - size * (groups - 1));
                }
                Seat s = sorted.get(i);
                int take = Math.min(left, Math.min(Math.max(average, 1), s.remainCap));
                if (take > 0) {
                    s.assigned += take;
                    s.remainCap -= take;
                    left -= take;
                    progress = true;
                }
            }
        }
        return left;
    }
}
