package io.quincelead.scheduler;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;

/**
 * The TEBAS pass (Liu et al., "TEBAS: A Time-Efficient Balance-Aware Scheduling Strategy for Batch
 * Processing Jobs", Algorithm 1): spreads a job's tasks over machines by looking at one task only.
 */
public final class Tebas {
    private Tebas() {}

    /** A machine as one pass sees it. Created for that pass and modified by it. */
    static final class CandidateMachine {
        final String host;
        final double fitness;
        final double initialCapacity;

        /** Tasks of the job that still fit. */
        int remainingCapacity;

        /** Tasks the pass has assigned. */
        int assigned;

        CandidateMachine(
                String host, double fitness, double initialCapacity, int remainingCapacity) {
            this.host = host;
            this.fitness = fitness;
            this.initialCapacity = initialCapacity;
            this.remainingCapacity = remainingCapacity;
        }
    }

    /**
     * Fitness = 1 / ((1 - alpha) + alpha / k), k being the task's CPU demand times the machine's
     * frequency.
     *
     * @param alpha the part of a task that runs in parallel, 0 to 1
     * @param frequency relative clock frequency of the machine, 1 for a typical one
     */
    static double fitness(double alpha, double cpus, double frequency) {
        double k = Math.max(cpus * frequency, 1e-6);
        return 1 / ((1 - alpha) + alpha / k);
    }

    /**
     * How many tasks fit: the smallest of free CPUs, memory and GPUs, each divided by the task's
     * demand. Resources that the task doesn't demand are ignored.
     */
    public static int taskCapacity(
            double freeCpus,
            double freeMemoryGb,
            double freeGpus,
            double cpus,
            double memoryGb,
            double gpus) {
        double capacity = Integer.MAX_VALUE;
        capacity = cpus > 0 ? Math.min(capacity, (freeCpus + 1e-9) / cpus) : capacity;
        capacity = memoryGb > 0 ? Math.min(capacity, (freeMemoryGb + 1e-9) / memoryGb) : capacity;
        capacity = gpus > 0 ? Math.min(capacity, (freeGpus + 1e-9) / gpus) : capacity;
        return (int) Math.max(0, capacity);
    }

    /**
     * Assigns up to {@code tasks} tasks to the machines; returns how many found no free capacity.
     *
     * @param beta number of machines in a group, by its name in the paper
     */
    static int assign(List<CandidateMachine> machines, int tasks, int beta) {
        int machineCount = machines.size();
        if (machineCount == 0 || tasks <= 0) {
            return tasks;
        }
        // Each machine with free capacity takes at least one task, so the first sweep of a small
        // job ends within the first machines.
        List<CandidateMachine> sorted = fittestFirst(machines, tasks);
        int groupCount = Math.max(1, machineCount / beta);
        int groupSize = machineCount / groupCount;
        int unassigned = tasks;
        boolean progressed = true;
        while (unassigned > 0 && progressed) {
            progressed = false;
            int average = 0;
            for (int i = 0; i < sorted.size() && unassigned > 0; i++) {
                int group = Math.min(i / groupSize, groupCount - 1);
                if (i == group * groupSize) {
                    average =
                            unassigned
                                    / (group < groupCount - 1
                                            ? groupSize
                                            : machineCount - groupSize * (groupCount - 1));
                }
                CandidateMachine machine = sorted.get(i);
                int count =
                        Math.min(
                                unassigned,
                                Math.min(Math.max(average, 1), machine.remainingCapacity));
                if (count > 0) {
                    machine.assigned += count;
                    machine.remainingCapacity -= count;
                    unassigned -= count;
                    progressed = true;
                }
            }
        }
        return unassigned;
    }

    private static int compare(CandidateMachine a, CandidateMachine b) {
        int byFitness = Double.compare(b.fitness, a.fitness);
        int byCapacity =
                byFitness != 0 ? byFitness : Double.compare(b.initialCapacity, a.initialCapacity);
        return byCapacity != 0 ? byCapacity : a.host.compareTo(b.host);
    }

    /**
     * The machines by descending fitness; if there are many, only as many as the job has tasks,
     * since the pass gets no further.
     */
    private static List<CandidateMachine> fittestFirst(List<CandidateMachine> machines, int tasks) {
        boolean all = tasks >= machines.size() / 2;
        for (int i = 0; !all && i < machines.size(); i++) {
            all = machines.get(i).remainingCapacity <= 0;
        }
        if (all) {
            List<CandidateMachine> sorted = new ArrayList<>(machines);
            sorted.sort(Tebas::compare);
            return sorted;
        }
        PriorityQueue<CandidateMachine> best =
                new PriorityQueue<>(tasks + 1, (a, b) -> compare(b, a));
        for (CandidateMachine machine : machines) {
            if (best.size() < tasks) {
                best.add(machine);
            } else if (compare(machine, best.peek()) < 0) {
                best.poll();
                best.add(machine);
            }
        }
        List<CandidateMachine> sorted = new ArrayList<>(best);
        sorted.sort(Tebas::compare);
        return sorted;
    }
}
