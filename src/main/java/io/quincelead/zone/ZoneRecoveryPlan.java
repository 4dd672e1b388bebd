package io.quincelead.zone;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Which models return first after a loss, and where their capacity comes from meanwhile. A value:
 * made of what is handed in, it touches nothing. Order: by class rank, then one replica of every
 * model before any second, then by the share that is missing, then those covered by an open window.
 * Capacity, in order: free room where the weights are; free room elsewhere, with the fetch; work
 * that may be displaced, least first; renting in the zones left; what can't be had.
 */
final class ZoneRecoveryPlan {
    /**
     * A model: a service with its replicas. {@code up}: those left, by zone; {@code zoneMost}: how
     * many one zone may have.
     */
    record LostService(
            String jobId,
            String jobClass,
            int classRank,
            int priority,
            int taskCount,
            Map<String, Integer> survivorsByZone,
            boolean coveredByWindow,
            double cpus,
            double memoryGb,
            double gpus,
            String image,
            double imageGb,
            List<String> machineTypes,
            String requiredZone,
            boolean allowsSpot,
            int maxTasksPerZone) {
        int survivorCount() {
            return survivorsByZone.values().stream().mapToInt(n -> n).sum();
        }
    }

    /**
     * A machine in a zone that is left, with its free room; {@code displaceable}: more of it that
     * work of less urgency holds.
     */
    static final class CandidateMachine {
        final String host;
        final String machineType;
        final String zone;
        final boolean spot;
        double freeCpus;
        double freeMemoryGb;
        double freeGpus;
        final double pullGbPerSecond;
        final Set<String> cachedImages;

        /** CPUs, GB and GPUs held by work that may be stopped, by the urgency that may stop it. */
        final List<double[]> displaceableByPriority;

        CandidateMachine(
                String host,
                String machineType,
                String zone,
                boolean spot,
                double freeCpus,
                double freeMemoryGb,
                double freeGpus,
                double pullGbPerSecond,
                Set<String> cachedImages,
                List<double[]> displaceableByPriority) {
            this.host = host;
            this.machineType = machineType;
            this.zone = zone;
            this.spot = spot;
            this.freeCpus = freeCpus;
            this.freeMemoryGb = freeMemoryGb;
            this.freeGpus = freeGpus;
            this.pullGbPerSecond = pullGbPerSecond;
            this.cachedImages = cachedImages;
            this.displaceableByPriority = displaceableByPriority;
        }

        boolean allows(LostService service) {
            return (service.machineTypes == null || service.machineTypes.contains(machineType))
                    && (service.requiredZone == null || service.requiredZone.equals(zone))
                    && (service.allowsSpot || !spot);
        }

        boolean fits(LostService service) {
            return freeCpus >= service.cpus - 1e-9
                    && freeMemoryGb >= service.memoryGb - 1e-9
                    && freeGpus >= service.gpus - 1e-9;
        }

        /**
         * The least urgent work that would have to go is stopped first; null if all of it isn't
         * enough.
         */
        Integer displacingPriority(LostService service) {
            double availableCpus = freeCpus;
            double availableMemoryGb = freeMemoryGb;
            double availableGpus = freeGpus;
            for (int priority = displaceableByPriority.size() - 1;
                    priority > service.priority;
                    priority--) {
                availableCpus += displaceableByPriority.get(priority)[0];
                availableMemoryGb += displaceableByPriority.get(priority)[1];
                availableGpus += displaceableByPriority.get(priority)[2];
                if (availableCpus >= service.cpus - 1e-9
                        && availableMemoryGb >= service.memoryGb - 1e-9
                        && availableGpus >= service.gpus - 1e-9) {
                    return priority;
                }
            }
            return null;
        }

        void allocate(LostService service) {
            double missingCpus = service.cpus - freeCpus;
            double missingMemoryGb = service.memoryGb - freeMemoryGb;
            double missingGpus = service.gpus - freeGpus;
            for (int priority = displaceableByPriority.size() - 1;
                    priority > service.priority
                            && (missingCpus > 1e-9 || missingMemoryGb > 1e-9 || missingGpus > 1e-9);
                    priority--) {
                double[] displaced = displaceableByPriority.get(priority);
                freeCpus += displaced[0];
                freeMemoryGb += displaced[1];
                freeGpus += displaced[2];
                missingCpus -= displaced[0];
                missingMemoryGb -= displaced[1];
                missingGpus -= displaced[2];
                displaceableByPriority.set(priority, new double[3]);
            }
            freeCpus -= service.cpus;
            freeMemoryGb -= service.memoryGb;
            freeGpus -= service.gpus;
        }
    }

    /** A type that can be rented in a zone that is left. */
    record RentableType(
            String machineType,
            String zone,
            boolean spot,
            double cpus,
            double memoryGb,
            double gpus,
            double pullGbPerSecond,
            double bootSeconds,
            double price) {}

    /**
     * One replica's way back. {@code etaS}: seconds from the evidence on; negative: never, as
     * things are.
     */
    record RecoveryStep(
            int position,
            String jobId,
            String jobClass,
            int replicaNumber,
            String method,
            String location,
            double fetchGb,
            double etaSeconds,
            String reason) {}

    private ZoneRecoveryPlan() {}

    static List<RecoveryStep> compute(
            List<LostService> services,
            List<CandidateMachine> candidates,
            List<RentableType> rentableTypes) {
        List<RecoveryStep> steps = new ArrayList<>();
        Map<LostService, Integer> restoredCounts = new LinkedHashMap<>();
        Map<LostService, Map<String, Integer>> replicasByService = new LinkedHashMap<>();
        services.forEach(
                service -> {
                    restoredCounts.put(service, 0);
                    replicasByService.put(service, new LinkedHashMap<>(service.survivorsByZone));
                });
        List<CandidateMachine> machines = new ArrayList<>(candidates);
        int rentedCount = 0;
        while (true) {
            LostService next =
                    restoredCounts.keySet().stream()
                            .filter(
                                    service ->
                                            service.survivorCount() + restoredCounts.get(service)
                                                    < service.taskCount)
                            .min(recoveryOrder(restoredCounts))
                            .orElse(null);
            if (next == null) {
                return steps;
            }
            int replicaNumber = next.survivorCount() + restoredCounts.get(next) + 1;
            restoredCounts.merge(next, 1, Integer::sum);
            CandidateMachine target =
                    bestWithFreeCapacity(next, machines, replicasByService.get(next));
            String method = "free room, weights there";
            double fetchGb = 0;
            double etaSeconds = 0;
            String reason =
                    replicaNumber == 1
                            ? "no replica is left"
                            : replicaNumber - 1 + " of " + next.taskCount + " are up";
            if (target != null && !target.cachedImages.contains(next.image)) {
                method = "free room";
                fetchGb = next.imageGb;
            }
            if (target == null) {
                target = bestByDisplacing(next, machines, replicasByService.get(next));
                method = "displaces other work";
                fetchGb =
                        target != null && !target.cachedImages.contains(next.image)
                                ? next.imageGb
                                : 0;
            }
            if (target == null) {
                RentableType rentableType =
                        cheapestRentable(next, rentableTypes, replicasByService.get(next));
                if (rentableType != null) {
                    target =
                            new CandidateMachine(
                                    "new " + rentableType.machineType + " " + ++rentedCount,
                                    rentableType.machineType,
                                    rentableType.zone,
                                    rentableType.spot,
                                    rentableType.cpus,
                                    rentableType.memoryGb,
                                    rentableType.gpus,
                                    rentableType.pullGbPerSecond,
                                    new java.util.HashSet<>(),
                                    List.of(
                                            new double[3],
                                            new double[3],
                                            new double[3],
                                            new double[3]));
                    machines.add(target);
                    method = rentableType.spot ? "rented, cheap" : "rented";
                    fetchGb = next.imageGb;
                    etaSeconds = rentableType.bootSeconds;
                }
            }
            if (target == null) {
                steps.add(
                        new RecoveryStep(
                                steps.size() + 1,
                                next.jobId,
                                next.jobClass,
                                replicaNumber,
                                "can't be had",
                                "-",
                                0,
                                -1,
                                bindingConstraint(next, machines, replicasByService.get(next))));
                continue;
            }
            target.allocate(next);
            target.cachedImages.add(next.image);
            replicasByService.get(next).merge(target.zone, 1, Integer::sum);
            steps.add(
                    new RecoveryStep(
                            steps.size() + 1,
                            next.jobId,
                            next.jobClass,
                            replicaNumber,
                            method,
                            target.host + " in " + target.zone,
                            fetchGb,
                            etaSeconds + fetchGb / Math.max(target.pullGbPerSecond, 0.01),
                            reason));
        }
    }

    private static Comparator<LostService> recoveryOrder(Map<LostService, Integer> restoredCounts) {
        return Comparator.comparingInt(LostService::classRank)
                .thenComparing(service -> service.survivorCount() + restoredCounts.get(service) > 0)
                .thenComparingDouble(
                        service ->
                                (service.survivorCount() + restoredCounts.get(service))
                                        / (double) service.taskCount)
                .thenComparing(service -> !service.coveredByWindow)
                .thenComparing(LostService::jobId);
    }

    private static boolean zoneAllows(
            LostService service, String zone, Map<String, Integer> replicasByZone) {
        return replicasByZone.getOrDefault(zone, 0) < service.maxTasksPerZone;
    }

    private static CandidateMachine bestWithFreeCapacity(
            LostService service,
            List<CandidateMachine> machines,
            Map<String, Integer> replicasByZone) {
        return machines.stream()
                .filter(
                        candidate ->
                                candidate.allows(service)
                                        && candidate.fits(service)
                                        && zoneAllows(service, candidate.zone, replicasByZone))
                .min(
                        Comparator.comparing(
                                        (CandidateMachine candidate) ->
                                                !candidate.cachedImages.contains(service.image))
                                .thenComparing(
                                        candidate -> replicasByZone.getOrDefault(candidate.zone, 0))
                                // Where others' weights are is left to them.
                                .thenComparing(
                                        candidate ->
                                                candidate.cachedImages.contains(service.image)
                                                        ? 0
                                                        : candidate.cachedImages.size())
                                .thenComparing(
                                        candidate ->
                                                service.imageGb
                                                        / Math.max(candidate.pullGbPerSecond, 0.01))
                                .thenComparing(candidate -> candidate.host))
                .orElse(null);
    }

    private static CandidateMachine bestByDisplacing(
            LostService service,
            List<CandidateMachine> machines,
            Map<String, Integer> replicasByZone) {
        return machines.stream()
                .filter(
                        candidate ->
                                candidate.allows(service)
                                        && zoneAllows(service, candidate.zone, replicasByZone)
                                        && candidate.displacingPriority(service) != null)
                .min(
                        Comparator.comparing(
                                        (CandidateMachine candidate) ->
                                                -candidate.displacingPriority(service))
                                .thenComparing(
                                        candidate ->
                                                !candidate.cachedImages.contains(service.image))
                                .thenComparing(candidate -> candidate.host))
                .orElse(null);
    }

    private static RentableType cheapestRentable(
            LostService service,
            List<RentableType> rentableTypes,
            Map<String, Integer> replicasByZone) {
        return rentableTypes.stream()
                .filter(
                        type ->
                                type.cpus >= service.cpus
                                        && type.memoryGb >= service.memoryGb
                                        && type.gpus >= service.gpus
                                        && (service.machineTypes == null
                                                || service.machineTypes.contains(type.machineType))
                                        && (service.requiredZone == null
                                                || service.requiredZone.equals(type.zone))
                                        && (service.allowsSpot || !type.spot)
                                        && zoneAllows(service, type.zone, replicasByZone))
                .min(
                        Comparator.comparingDouble(RentableType::price)
                                .thenComparing(type -> replicasByZone.getOrDefault(type.zone, 0))
                                .thenComparing(RentableType::zone))
                .orElse(null);
    }

    private static String bindingConstraint(
            LostService service,
            List<CandidateMachine> machines,
            Map<String, Integer> replicasByZone) {
        if (service.requiredZone != null
                && machines.stream()
                        .noneMatch(candidate -> candidate.zone.equals(service.requiredZone))) {
            return "it may run in " + service.requiredZone + " alone";
        }
        if (machines.stream().anyMatch(candidate -> candidate.allows(service))
                && machines.stream()
                        .filter(candidate -> candidate.allows(service))
                        .noneMatch(
                                candidate -> zoneAllows(service, candidate.zone, replicasByZone))) {
            return "at most " + service.maxTasksPerZone + " of its replicas may be in one zone";
        }
        return service.machineTypes != null
                ? "no machine of " + service.machineTypes + " is free or can be rented"
                : "no room, and nothing can be rented in the zones left";
    }
}
