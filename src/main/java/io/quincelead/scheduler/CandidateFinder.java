package io.quincelead.scheduler;

import io.quincelead.cluster.ImageCaches;
import io.quincelead.cluster.JobSpec;
import io.quincelead.config.OperatorSettings;
import io.quincelead.config.constants.SchedulerConstants;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds the machines with free capacity for a job's tasks, with their fitness for the TEBAS pass.
 */
final class CandidateFinder {
    private final OperatorSettings operatorSettings;
    private final ImageCaches imageCaches;
    private final SchedulingPlan plan;

    CandidateFinder(
            OperatorSettings operatorSettings, ImageCaches imageCaches, SchedulingPlan plan) {
        this.operatorSettings = operatorSettings;
        this.imageCaches = imageCaches;
        this.plan = plan;
    }

    /**
     * The machines with free capacity for a task of the job, by zone.
     *
     * @param tier tier of the job's queue entry
     * @param lastResort whether machines that are withheld from the job or reserved for the
     *     leader's work are included
     * @param ownShardOnly whether only machines of this controller's shard are included
     * @param tasksByHost number of tasks of the job that have been assigned already
     */
    Map<String, List<Tebas.CandidateMachine>> candidatesByZone(
            JobSpec spec,
            int tier,
            boolean lastResort,
            boolean ownShardOnly,
            Map<String, Integer> tasksByHost) {
        Map<String, List<Tebas.CandidateMachine>> candidatesByZone = new LinkedHashMap<>();
        boolean urgent = spec.isUrgent();
        for (MachinePool pool : plan.pools.values()) {
            if (!(lastResort ? pool.allows(spec) : pool.suits(spec, tier))) {
                continue;
            }
            List<Tebas.CandidateMachine> candidates = null;
            double clockFactor = clockFactor(pool);
            // Where the start delay doesn't matter, a pool's machines differ only in whether they
            // have the image.
            double fitnessWithImage = fitness(spec, pool, clockFactor, true, 0);
            double fitnessWithoutImage = fitness(spec, pool, clockFactor, false, 0);
            for (FreeCapacity machine : pool.machines) {
                int capacity =
                        ownShardOnly && !machine.inOwnShard
                                        || !machine.hasFreeCapacity()
                                        || tier >= machine.reservedForTier
                                ? 0
                                : machine.taskCapacity(spec)
                                        - (tasksByHost.isEmpty()
                                                ? 0
                                                : tasksByHost.getOrDefault(machine.host, 0));
                if (capacity > 0) {
                    boolean hasImage = imageCaches.probablyHasImage(machine.host, spec.image());
                    double fitness;
                    if (urgent && machine.startDelaySeconds > 0) {
                        fitness =
                                fitness(
                                        spec,
                                        pool,
                                        clockFactor,
                                        hasImage,
                                        machine.startDelaySeconds);
                    } else {
                        fitness = hasImage ? fitnessWithImage : fitnessWithoutImage;
                    }
                    if (candidates == null) {
                        candidates =
                                candidatesByZone.computeIfAbsent(pool.zone, z -> new ArrayList<>());
                    }
                    candidates.add(
                            new Tebas.CandidateMachine(machine.host, fitness, capacity, capacity));
                }
            }
        }
        return candidatesByZone;
    }

    private double clockFactor(MachinePool pool) {
        return operatorSettings
                .clockSpeedByMachineType()
                .getOrDefault(pool.machineType.name(), 1.0);
    }

    private double fitness(
            JobSpec spec,
            MachinePool pool,
            double clockFactor,
            boolean hasImage,
            double startDelaySeconds) {
        return Tebas.fitness(
                operatorSettings.parallelFraction(),
                spec.cpus(),
                effectiveFrequency(spec, pool, clockFactor, hasImage, startDelaySeconds));
    }

    /**
     * The machine's effective frequency for this task, which doesn't run while its image is pulled.
     * Where pulls take as long as the tasks themselves, the paper's gain of a machine depends
     * mostly on whether it has the image.
     */
    private static double effectiveFrequency(
            JobSpec spec,
            MachinePool pool,
            double clockFactor,
            boolean hasImage,
            double startDelaySeconds) {
        double pullSeconds =
                hasImage
                        ? 0
                        : spec.imageSizeGb()
                                / Math.max(pool.machineType.imagePullGbPerSecond(), 0.01);
        double runSeconds =
                spec.isService()
                        ? SchedulerConstants.SERVICE_RANKING_RUNTIME_SECONDS
                        : Math.max(spec.runtimeSeconds(), 1);
        // Where heartbeats are rare, it also matters to work that should start at once how soon a
        // start can be sent to the worker.
        return clockFactor * runSeconds / (runSeconds + pullSeconds + startDelaySeconds);
    }
}
