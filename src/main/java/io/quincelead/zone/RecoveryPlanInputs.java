package io.quincelead.zone;

import io.quincelead.cluster.Job;
import io.quincelead.cluster.JobSpec;
import io.quincelead.cluster.MachineTable;
import io.quincelead.cluster.MachineTypeCatalog.MachineType;
import io.quincelead.cluster.Placement;
import io.quincelead.cluster.TaskStatePage;
import io.quincelead.policy.EffectivePriority;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Collects the inputs of a recovery plan from the cluster state, as if the given zones were lost.
 */
final class RecoveryPlanInputs {
    private final ZoneView view;
    private final Set<String> lostZones;

    RecoveryPlanInputs(ZoneView view, Set<String> lostZones) {
        this.view = view;
        this.lostZones = lostZones;
    }

    /** All services, with the replicas they have outside the lost zones. */
    List<RecoverableService> services() {
        List<RecoverableService> services = new ArrayList<>();
        for (Job job : view.cluster().jobs().all()) {
            if (job.spec.isService() && !job.isCancelled()) {
                services.add(service(job));
            }
        }
        return services;
    }

    private RecoverableService service(Job job) {
        JobSpec spec = job.spec;
        EffectivePriority priority = view.cluster().policy().effectivePriorityOf(job);
        return new RecoverableService(
                spec.jobId(),
                priority.priorityClass() == null ? "" : priority.priorityClass().name(),
                priority.rank(),
                spec.priority().ordinal(),
                spec.taskCount(),
                survivorsByZone(job),
                priority.isCovered(),
                demand(spec),
                spec.image(),
                spec.imageSizeGb(),
                spec.machineTypes(),
                spec.zone(),
                spec.preemptible(),
                view.cluster().policy().maxTasksPerZone(job));
    }

    private Map<String, Integer> survivorsByZone(Job job) {
        Map<String, Integer> survivorsByZone = new TreeMap<>();
        for (TaskStatePage page : job.pages) {
            for (Placement placement : page == null ? List.<Placement>of() : page.placements) {
                MachineTable.Machine machine = view.cluster().machines().get(placement.host);
                if (machine != null
                        && !placement.isTerminated()
                        && !lostZones.contains(machine.zone())) {
                    survivorsByZone.merge(machine.zone(), 1, Integer::sum);
                }
            }
        }
        return survivorsByZone;
    }

    private static Resources demand(JobSpec spec) {
        return new Resources(spec.cpus(), spec.memoryGb(), spec.gpus());
    }

    private static Resources capacity(MachineType machineType) {
        return new Resources(machineType.cpus(), machineType.memoryGb(), machineType.gpus());
    }

    /** The machines outside the lost zones that are up, reachable and not cordoned. */
    List<CandidateMachine> machines() {
        List<CandidateMachine> candidates = new ArrayList<>();
        for (MachineTable.Machine machine : view.cluster().machines().all()) {
            MachineType machineType = view.cluster().machineTypes().get(machine.machineType());
            if (!machine.releasing()
                    && !machine.cordoned()
                    && machineType != null
                    && !lostZones.contains(machine.zone())
                    && !Boolean.TRUE.equals(view.visibility().isBooting(machine.host()))
                    && view.visibility().isReachable(machine.host())) {
                candidates.add(candidate(machine, machineType));
            }
        }
        return candidates;
    }

    private CandidateMachine candidate(MachineTable.Machine machine, MachineType machineType) {
        Resources free = capacity(machineType);
        List<Resources> displaceableByPriority =
                new ArrayList<>(
                        Collections.nCopies(JobSpec.Priority.values().length, Resources.NONE));
        for (Placement placement : view.cluster().jobs().placementsOn(machine.host()).values()) {
            if (!placement.isTerminated()) {
                JobSpec spec = placement.job.spec;
                free = free.minus(demand(spec));
                if (!spec.isGang()) {
                    int priority = spec.priority().ordinal();
                    displaceableByPriority.set(
                            priority, displaceableByPriority.get(priority).plus(demand(spec)));
                }
            }
        }
        return new CandidateMachine(
                machine.host(),
                new MachineOffering(
                        machine.machineType(),
                        machine.zone(),
                        machine.spot(),
                        machineType.imagePullGbPerSecond()),
                free,
                displaceableByPriority,
                view.cluster().imageCaches().images(machine.host()));
    }

    /** All machine types, spot and not, in the zones that are not lost. */
    List<RentableType> rentableTypes() {
        List<RentableType> types = new ArrayList<>();
        for (MachineType machineType : view.cluster().machineTypes().all()) {
            for (String zone : machineType.zones()) {
                if (!lostZones.contains(zone)) {
                    types.add(rentableType(machineType, zone, true));
                    types.add(rentableType(machineType, zone, false));
                }
            }
        }
        return types;
    }

    private static RentableType rentableType(MachineType machineType, String zone, boolean spot) {
        return new RentableType(
                new MachineOffering(
                        machineType.name(), zone, spot, machineType.imagePullGbPerSecond()),
                capacity(machineType),
                machineType.bootSeconds(),
                machineType.pricePerHour(spot));
    }
}
