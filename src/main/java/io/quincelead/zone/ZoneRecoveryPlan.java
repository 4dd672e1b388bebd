package io.quincelead.zone;

import io.quincelead.cluster.JobSpec;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Plans in which order services recover after a loss of zones, and where their capacity comes from.
 * The plan is computed from the arguments alone, and nothing else is changed.
 *
 * <p>Order of services: by class rank, then one replica of every service before any second, then by
 * the fraction of replicas that is up, then those covered by an open window first. Sources of
 * capacity, in this order: free capacity on machines that have the image; free capacity elsewhere,
 * with the image fetch; displaceable work, least urgent first; newly provisioned machines in the
 * zones that are not lost; none.
 */
final class ZoneRecoveryPlan {
    /** A service with its surviving replicas and those planned so far. */
    private static final class Recovery {
        private final RecoverableService service;
        private final Map<String, Integer> replicasByZone;
        private int replicaCount;

        private Recovery(RecoverableService service) {
            this.service = service;
            this.replicasByZone = new LinkedHashMap<>(service.survivorsByZone());
            this.replicaCount =
                    service.survivorsByZone().values().stream().mapToInt(count -> count).sum();
        }

        private int replicasIn(String zone) {
            return replicasByZone.getOrDefault(zone, 0);
        }

        private boolean allowsAnotherIn(String zone) {
            return replicasIn(zone) < service.maxTasksPerZone();
        }
    }

    /** Where a replica's capacity comes from; {@code bootSeconds}: time until the machine is up. */
    private record CapacitySource(
            CandidateMachine machine, String description, double bootSeconds) {}

    private static final Comparator<Recovery> RECOVERY_ORDER =
            Comparator.comparingInt((Recovery recovery) -> recovery.service.classRank())
                    .thenComparing(recovery -> recovery.replicaCount > 0)
                    .thenComparingDouble(
                            recovery ->
                                    recovery.replicaCount / (double) recovery.service.taskCount())
                    .thenComparing(recovery -> !recovery.service.coveredByWindow())
                    .thenComparing(recovery -> recovery.service.jobId());

    private final List<CandidateMachine> machines;
    private final List<RentableType> rentableTypes;
    private final List<RecoveryStep> steps = new ArrayList<>();
    private int provisionedCount;

    private ZoneRecoveryPlan(List<CandidateMachine> machines, List<RentableType> rentableTypes) {
        this.machines = new ArrayList<>(machines);
        this.rentableTypes = rentableTypes;
    }

    /**
     * Plans the recovery of all missing replicas.
     *
     * @param machines the machines in zones that are not lost; the plan allocates their capacity
     */
    static List<RecoveryStep> compute(
            List<RecoverableService> services,
            List<CandidateMachine> machines,
            List<RentableType> rentableTypes) {
        ZoneRecoveryPlan plan = new ZoneRecoveryPlan(machines, rentableTypes);
        plan.planSteps(services.stream().map(Recovery::new).toList());
        return plan.steps;
    }

    private void planSteps(List<Recovery> recoveries) {
        while (true) {
            Recovery next =
                    recoveries.stream()
                            .filter(
                                    recovery ->
                                            recovery.replicaCount < recovery.service.taskCount())
                            .min(RECOVERY_ORDER)
                            .orElse(null);
            if (next == null) {
                return;
            }
            next.replicaCount++;
            CapacitySource source = findSource(next);
            if (source == null) {
                addUnavailable(next);
            } else {
                addStep(next, source);
            }
        }
    }

    /** The capacity for another replica of the service; null if there is none. */
    private CapacitySource findSource(Recovery recovery) {
        CandidateMachine machine = bestWithFreeCapacity(recovery);
        if (machine != null) {
            String description =
                    machine.hasImage(recovery.service) ? "free room, weights there" : "free room";
            return new CapacitySource(machine, description, 0);
        }
        machine = bestByDisplacing(recovery);
        if (machine != null) {
            return new CapacitySource(machine, "displaces other work", 0);
        }
        return provision(recovery);
    }

    private void addStep(Recovery recovery, CapacitySource source) {
        RecoverableService service = recovery.service;
        CandidateMachine machine = source.machine;
        double fetchGb = machine.hasImage(service) ? 0 : service.imageGb();
        machine.allocate(service);
        recovery.replicasByZone.merge(machine.zone(), 1, Integer::sum);
        steps.add(
                new RecoveryStep(
                        steps.size() + 1,
                        service.jobId(),
                        service.priorityClassName(),
                        recovery.replicaCount,
                        source.description,
                        machine.host() + " in " + machine.zone(),
                        fetchGb,
                        source.bootSeconds + machine.offering().fetchSeconds(fetchGb),
                        recovery.replicaCount == 1
                                ? "no replica is left"
                                : recovery.replicaCount
                                        - 1
                                        + " of "
                                        + service.taskCount()
                                        + " are up"));
    }

    private void addUnavailable(Recovery recovery) {
        RecoverableService service = recovery.service;
        steps.add(
                new RecoveryStep(
                        steps.size() + 1,
                        service.jobId(),
                        service.priorityClassName(),
                        recovery.replicaCount,
                        "can't be had",
                        "-",
                        0,
                        -1,
                        bindingConstraint(recovery)));
    }

    private CandidateMachine bestWithFreeCapacity(Recovery recovery) {
        RecoverableService service = recovery.service;
        return machines.stream()
                .filter(
                        machine ->
                                machine.offering().allows(service)
                                        && machine.fits(service)
                                        && recovery.allowsAnotherIn(machine.zone()))
                .min(
                        Comparator.comparing(
                                        (CandidateMachine machine) -> !machine.hasImage(service))
                                .thenComparing(machine -> recovery.replicasIn(machine.zone()))
                                // Machines that have other services' images are left to those
                                // services.
                                .thenComparing(
                                        machine ->
                                                machine.hasImage(service)
                                                        ? 0
                                                        : machine.cachedImageCount())
                                .thenComparing(
                                        machine ->
                                                machine.offering().fetchSeconds(service.imageGb()))
                                .thenComparing(CandidateMachine::host))
                .orElse(null);
    }

    private CandidateMachine bestByDisplacing(Recovery recovery) {
        RecoverableService service = recovery.service;
        return machines.stream()
                .filter(
                        machine ->
                                machine.offering().allows(service)
                                        && recovery.allowsAnotherIn(machine.zone())
                                        && machine.displacedPriority(service) != null)
                .min(
                        Comparator.comparing(
                                        (CandidateMachine machine) ->
                                                -machine.displacedPriority(service))
                                .thenComparing(machine -> !machine.hasImage(service))
                                .thenComparing(CandidateMachine::host))
                .orElse(null);
    }

    /** Adds the cheapest machine that can be provisioned for a replica; null if there is none. */
    private CapacitySource provision(Recovery recovery) {
        RecoverableService service = recovery.service;
        RentableType type =
                rentableTypes.stream()
                        .filter(
                                rentable ->
                                        rentable.capacity().covers(service.demand(), 0)
                                                && rentable.offering().allows(service)
                                                && recovery.allowsAnotherIn(
                                                        rentable.offering().zone()))
                        .min(
                                Comparator.comparingDouble(RentableType::pricePerHour)
                                        .thenComparing(
                                                rentable ->
                                                        recovery.replicasIn(
                                                                rentable.offering().zone()))
                                        .thenComparing(rentable -> rentable.offering().zone()))
                        .orElse(null);
        if (type == null) {
            return null;
        }
        CandidateMachine machine =
                new CandidateMachine(
                        "new " + type.offering().machineType() + " " + ++provisionedCount,
                        type.offering(),
                        type.capacity(),
                        Collections.nCopies(JobSpec.Priority.values().length, Resources.NONE),
                        Set.of());
        machines.add(machine);
        return new CapacitySource(
                machine, type.offering().spot() ? "rented, cheap" : "rented", type.bootSeconds());
    }

    /** The constraint that prevents another replica of the service, as text. */
    private String bindingConstraint(Recovery recovery) {
        RecoverableService service = recovery.service;
        if (service.requiredZone() != null
                && machines.stream()
                        .noneMatch(machine -> machine.zone().equals(service.requiredZone()))) {
            return "it may run in " + service.requiredZone() + " alone";
        }
        List<CandidateMachine> allowed =
                machines.stream().filter(machine -> machine.offering().allows(service)).toList();
        if (!allowed.isEmpty()
                && allowed.stream()
                        .noneMatch(machine -> recovery.allowsAnotherIn(machine.zone()))) {
            return "at most " + service.maxTasksPerZone() + " of its replicas may be in one zone";
        }
        return service.machineTypes() != null
                ? "no machine of " + service.machineTypes() + " is free or can be rented"
                : "no room, and nothing can be rented in the zones left";
    }
}
