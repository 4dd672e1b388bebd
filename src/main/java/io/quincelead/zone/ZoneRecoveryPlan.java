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
 * Which services recover first after a loss, and where their capacity comes from. It is computed
 * from what is passed in, and touches nothing else.
 *
 * <p>Order: by class rank, then one replica of every service before any second, then by the
 * fraction that is up, then those covered by an open window. Capacity, in this order: free capacity
 * where the image is; free capacity elsewhere, with the fetch; work that may be displaced, least
 * urgent first; renting in the zones left; none.
 */
final class ZoneRecoveryPlan {
    /** A service on its way back. */
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

    /** Where a replica's capacity comes from; {@code readySeconds}: until the machine is up. */
    private record Source(CandidateMachine machine, String method, double readySeconds) {}

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
    private int rentedCount;

    private ZoneRecoveryPlan(List<CandidateMachine> machines, List<RentableType> rentableTypes) {
        this.machines = new ArrayList<>(machines);
        this.rentableTypes = rentableTypes;
    }

    /**
     * Plans the way back of all missing replicas.
     *
     * @param machines the machines in zones that are not lost; their capacity is used up
     */
    static List<RecoveryStep> compute(
            List<RecoverableService> services,
            List<CandidateMachine> machines,
            List<RentableType> rentableTypes) {
        ZoneRecoveryPlan plan = new ZoneRecoveryPlan(machines, rentableTypes);
        plan.recover(services.stream().map(Recovery::new).toList());
        return plan.steps;
    }

    private void recover(List<Recovery> recoveries) {
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
            Source source = findSource(next);
            if (source == null) {
                addUnavailable(next);
            } else {
                addStep(next, source);
            }
        }
    }

    /** Null when there is no capacity for another replica. */
    private Source findSource(Recovery recovery) {
        CandidateMachine machine = bestWithFreeCapacity(recovery);
        if (machine != null) {
            String method =
                    machine.hasImage(recovery.service) ? "free room, weights there" : "free room";
            return new Source(machine, method, 0);
        }
        machine = bestByDisplacing(recovery);
        if (machine != null) {
            return new Source(machine, "displaces other work", 0);
        }
        return rent(recovery);
    }

    private void addStep(Recovery recovery, Source source) {
        RecoverableService service = recovery.service;
        CandidateMachine machine = source.machine;
        double fetchGb = machine.hasImage(service) ? 0 : service.imageGb();
        machine.allocate(service);
        recovery.replicasByZone.merge(machine.zone(), 1, Integer::sum);
        steps.add(
                new RecoveryStep(
                        steps.size() + 1,
                        service.jobId(),
                        service.jobClass(),
                        recovery.replicaCount,
                        source.method,
                        machine.host() + " in " + machine.zone(),
                        fetchGb,
                        source.readySeconds + machine.offering().fetchSeconds(fetchGb),
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
                        service.jobClass(),
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
                                // Machines with other services' images are left to those.
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

    /** Adds the cheapest machine that can be rented for a replica; null when there is none. */
    private Source rent(Recovery recovery) {
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
                        "new " + type.offering().machineType() + " " + ++rentedCount,
                        type.offering(),
                        type.capacity(),
                        Collections.nCopies(JobSpec.Priority.values().length, Resources.NONE),
                        Set.of());
        machines.add(machine);
        return new Source(
                machine, type.offering().spot() ? "rented, cheap" : "rented", type.bootSeconds());
    }

    /** What keeps the service from another replica, in words. */
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
