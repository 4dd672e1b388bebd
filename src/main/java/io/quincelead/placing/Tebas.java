package io.quincelead.placing;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;

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
        return (int) Math.max(0, cap);
    }

    /** Assigns up to {@code tasks} tasks; returns how many found no room. */
    public static int pass(List<Seat> machines, int tasks, int beta) {
        int n = machines.size();
        if (n == 0 || tasks <= 0) {
            return tasks;
        }
        // Each member with room takes a task at least, so the first sweep of a small job ends within the first machines.
        List<Seat> sorted = first(machines, tasks);
        int groups = Math.max(1, n / beta);
        int size = n / groups;
        int left = tasks;
        boolean progress = true;
        while (left > 0 && progress) {
            progress = false;
            int average = 0;
            for (int i = 0; i < sorted.size() && left > 0; i++) {
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

    private static int order(Seat a, Seat b) {
        int byFitness = Double.compare(b.fitness, a.fitness);
        int byRoom = byFitness != 0 ? byFitness : Double.compare(b.room, a.room);
        return byRoom != 0 ? byRoom : a.host.compareTo(b.host);
    }

    /** The machines by descending Fitness; of many, only as many as the job has tasks: the pass gets no further. */
    private static List<Seat> first(List<Seat> machines, int tasks) {
        boolean all = tasks >= machines.size() / 2;
        for (int i = 0; !all && i < machines.size(); i++) {
            all = machines.get(i).remainCap <= 0;
        }
        if (all) {
            List<Seat> sorted = new ArrayList<>(machines);
            sorted.sort(Tebas::order);
            return sorted;
        }
        PriorityQueue<Seat> best = new PriorityQueue<>(tasks + 1, (a, b) -> order(b, a));
        for (Seat s : machines) {
            if (best.size() < tasks) {
                best.add(s);
            } else if (order(s, best.peek()) < 0) {
                best.poll();
                best.add(s);
            }
        }
        List<Seat> sorted = new ArrayList<>(best);
        sorted.sort(Tebas::order);
        return sorted;
    }
}
