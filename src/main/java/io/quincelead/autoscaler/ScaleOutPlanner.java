package io.quincelead.autoscaler;

import io.quincelead.cluster.Job;
import io.quincelead.cluster.JobSpec;
import io.quincelead.cluster.MachineTable;
import io.quincelead.cluster.MachineTypeCatalog.MachineType;
import io.quincelead.cluster.Placement;
import io.quincelead.config.OperatorSettings;
import io.quincelead.config.Settings;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.scheduler.ClusterView;
import io.quincelead.scheduler.QueueOrder;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Decides which machines to provision: those for the work that the machines which are up, booting
 * or requested can't finish in time.
 */
final class ScaleOutPlanner {
    private final EventLoop eventLoop;
    private final ClusterView cluster;
    private final QueueOrder queueOrder;
    private final ProvisioningRequests provisioningRequests;
    private final Autoscaler.Callbacks callbacks;
    private final ConstrainedWorkPlanner constrainedWork;
    private final UnconstrainedWorkPlanner unconstrainedWork;
    private final StartWaits startWaits;

    ScaleOutPlanner(
            EventLoop eventLoop,
            Settings settings,
            OperatorSettings operatorSettings,
            ClusterView cluster,
            QueueOrder queueOrder,
            ProvisioningRequests provisioningRequests,
            Autoscaler.Callbacks callbacks) {
        this.eventLoop = eventLoop;
        this.cluster = cluster;
        this.queueOrder = queueOrder;
        this.provisioningRequests = provisioningRequests;
        this.callbacks = callbacks;
        this.constrainedWork =
                new ConstrainedWorkPlanner(
                        settings,
                        operatorSettings,
                        cluster,
                        provisioningRequests,
                        callbacks::isZoneUnavailable);
        this.unconstrainedWork =
                new UnconstrainedWorkPlanner(
                        cluster, provisioningRequests, callbacks::isZoneUnavailable);
        this.startWaits = new StartWaits(eventLoop);
    }

    /**
     * Whether a machine of this offering that is only kept for recent demand should be released,
     * because the cloud lacks machines for work that can't use this one; as of the last plan.
     */
    boolean shouldYieldToBlockedWork(InstanceOffering offering) {
        return constrainedWork.shouldYieldToBlockedWork(offering);
    }

    /**
     * How many machines of which offering to provision now.
     *
     * @param demand what the unconstrained work needs; constrained work is planned task by task
     */
    Map<InstanceOffering, Integer> planScaleOut(CpuDemand demand, CapacityForecast capacity) {
        constrainedWork.begin(cluster.jobs());
        List<QueueOrder.QueueEntry> pendingJobs = pendingJobs();
        ProvisioningPlan plan = new ProvisioningPlan();
        addExistingMachines(plan);
        for (QueueOrder.QueueEntry entry : pendingJobs) {
            if (!cluster.machineTypes().isUnconstrained(entry.job().spec)) {
                constrainedWork.plan(entry.job(), plan);
            }
        }
        callbacks
                .rebalanceDemand()
                .forEach((zone, specs) -> specs.forEach(spec -> planRebalance(spec, zone, plan)));
        unconstrainedWork.plan(demand, capacity, plan);
        planOverdueStarts(pendingJobs, plan);
        return plan.newMachineCounts();
    }

    /**
     * Plans a machine for one task of each unconstrained job that waits for its start for too long:
     * the sum of CPUs doesn't show that no task of the job fits what is free on any machine, or
     * that the machines it was planned on are refused.
     */
    private void planOverdueStarts(List<QueueOrder.QueueEntry> pendingJobs, ProvisioningPlan plan) {
        startWaits.observe(pendingJobs);
        for (QueueOrder.QueueEntry entry : pendingJobs) {
            if (cluster.machineTypes().isUnconstrained(entry.job().spec)
                    && startWaits.isOverdue(entry.job())) {
                constrainedWork.planOneTask(entry.job(), plan);
            }
        }
    }

    /** The jobs with pending tasks, in the order of the queue. */
    private List<QueueOrder.QueueEntry> pendingJobs() {
        long nowMillis = eventLoop.nowMillis();
        List<QueueOrder.QueueEntry> pendingJobs = new ArrayList<>();
        for (Job job : cluster.jobs().all()) {
            if (!job.isCancelled()
                    && job.pendingTaskCount() > 0
                    && nowMillis >= job.notBeforeMillis()) {
                pendingJobs.add(queueOrder.entryFor(job, true, eventLoop.wallClockMillis()));
            }
        }
        pendingJobs.sort(QueueOrder.BY_QUEUE_ORDER);
        return pendingJobs;
    }

    private void addExistingMachines(ProvisioningPlan plan) {
        for (MachineTable.Machine machine : cluster.machines().all()) {
            MachineType machineType = cluster.machineTypes().get(machine.machineType());
            if (!machine.releasing() && !machine.cordoned() && machineType != null) {
                PlannedMachine planned =
                        new PlannedMachine(
                                new InstanceOffering(machineType, machine.zone(), machine.spot()));
                for (Placement placement : cluster.jobs().placementsOn(machine.host()).values()) {
                    planned.reserve(placement.job.spec, 1);
                }
                plan.addExisting(planned);
            }
        }
        for (ProvisioningRequest request : provisioningRequests.openRequests()) {
            MachineType machineType = cluster.machineTypes().get(request.machineType());
            for (int i = 0; machineType != null && i < request.machineCount(); i++) {
                plan.addExisting(
                        new PlannedMachine(
                                new InstanceOffering(machineType, request.zone(), request.spot())));
            }
        }
    }

    /** Plans capacity for one replica that would move to a zone that has recovered. */
    private void planRebalance(JobSpec spec, String zone, ProvisioningPlan plan) {
        for (PlannedMachine machine : plan.machines()) {
            if (machine.offering().zone().equals(zone)
                    && machine.offering().allows(spec)
                    && machine.taskCapacity(spec) > 0) {
                machine.reserve(spec, 1);
                return;
            }
        }
        InstanceOffering offering = cheapestOffering(spec, zone);
        if (offering != null) {
            PlannedMachine machine = new PlannedMachine(offering);
            machine.reserve(spec, 1);
            plan.addNew(machine);
        }
    }

    /** The offering in the zone with the lowest price per machine; null when there is none. */
    private InstanceOffering cheapestOffering(JobSpec spec, String zone) {
        InstanceOffering best = null;
        for (MachineType machineType : cluster.machineTypes().all()) {
            for (boolean spot : new boolean[] {true, false}) {
                InstanceOffering offering = new InstanceOffering(machineType, zone, spot);
                boolean isCandidate =
                        machineType.zones().contains(zone)
                                && offering.allows(spec)
                                && !provisioningRequests.isRefused(offering);
                if (isCandidate
                        && (best == null || offering.pricePerHour() < best.pricePerHour())) {
                    best = offering;
                }
            }
        }
        return best;
    }
}
