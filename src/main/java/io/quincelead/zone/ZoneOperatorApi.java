package io.quincelead.zone;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.cluster.ImageCaches;
import io.quincelead.cluster.Job;
import io.quincelead.cluster.JobSpec;
import io.quincelead.cluster.JobTable;
import io.quincelead.cluster.MachineTable;
import io.quincelead.cluster.MachineTypeCatalog;
import io.quincelead.cluster.Placement;
import io.quincelead.cluster.TaskStatePage;
import io.quincelead.cluster.ZoneTable;
import io.quincelead.policy.EffectivePriority;
import io.quincelead.policy.OperatorApi;
import io.quincelead.policy.Policy;
import io.quincelead.store.Transaction;
import io.quincelead.store.WatchCache;
import io.quincelead.transport.WireFormat;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** What operators ask and order about zones. */
public final class ZoneOperatorApi {
    private final boolean isWatched;
    private final WatchCache watchCache;
    private final JobTable jobs;
    private final MachineTable machines;
    private final MachineTypeCatalog catalog;
    private final ImageCaches imageCaches;
    private final ZoneTable zoneTable;
    private final Policy policy;
    private final OperatorApi operatorApi;
    private final ZoneRecoveryController.MachineVisibility machineVisibility;

    public ZoneOperatorApi(
            boolean isWatched,
            WatchCache watchCache,
            JobTable jobs,
            MachineTable machines,
            MachineTypeCatalog catalog,
            ImageCaches imageCaches,
            ZoneTable zoneTable,
            Policy policy,
            OperatorApi operatorApi,
            ZoneRecoveryController.MachineVisibility machineVisibility) {
        this.isWatched = isWatched;
        this.watchCache = watchCache;
        this.jobs = jobs;
        this.machines = machines;
        this.catalog = catalog;
        this.imageCaches = imageCaches;
        this.zoneTable = zoneTable;
        this.policy = policy;
        this.operatorApi = operatorApi;
        this.machineVisibility = machineVisibility;
        operatorApi.register("/ops/zones/list", this::listZones);
        operatorApi.register("/ops/zones/plan", this::planRecovery);
        operatorApi.register(
                "/ops/zones/hold",
                (body, reply) -> applyOrder(body, reply, ZoneTable.OperatorOrder.HOLD));
        operatorApi.register(
                "/ops/zones/release",
                (body, reply) -> applyOrder(body, reply, ZoneTable.OperatorOrder.RELEASE));
    }

    private Set<String> zoneNames() {
        Set<String> names = new TreeSet<>();
        catalog.all().forEach(s -> names.addAll(s.zones()));
        machines.all().forEach(m -> names.add(m.zone()));
        zoneTable.all().forEach(z -> names.add(z.name()));
        return names;
    }

    private void listZones(ObjectNode request, OperatorApi.Responder reply) {
        ObjectNode response = WireFormat.newMap().put("watched", isWatched);
        ArrayNode zoneList = response.putArray("list");
        for (String name : zoneNames()) {
            ZoneTable.Zone zone = zoneTable.get(name);
            long machineCount =
                    machines.all().stream()
                            .filter(m -> m.zone().equals(name) && !m.releasing())
                            .count();
            long reachableCount =
                    machines.all().stream()
                            .filter(
                                    m ->
                                            m.zone().equals(name)
                                                    && !m.releasing()
                                                    && machineVisibility.isReachable(m.host()))
                            .count();
            zoneList.addObject()
                    .put("zone", name)
                    .put("state", zone.state().name().toLowerCase(java.util.Locale.ROOT))
                    .put("machines", machineCount)
                    .put("heard", reachableCount)
                    .put("had", zone.machineCountWhenDoubted())
                    .put("since", zone.sinceEpochMillis())
                    .put("why", zone.reason())
                    .put("order", zone.operatorOrder().name().toLowerCase(java.util.Locale.ROOT));
        }
        reply.respondOk(response);
    }

    /**
     * An order stands on record; whoever holds machines there follows it, and it ends with the
     * zone's doubt.
     */
    private void applyOrder(
            ObjectNode request, OperatorApi.Responder reply, ZoneTable.OperatorOrder order) {
        String name = request.path("zone").asText();
        if (!isWatched) {
            reply.respondError(
                    409,
                    "zones aren't watched here: the operators' settings turn it on (zones.on)");
            return;
        }
        if (!zoneNames().contains(name)) {
            reply.respondError(
                    404, "zone: there is no zone \"" + name + "\"; there are " + zoneNames());
            return;
        }
        ZoneTable.Zone zone = zoneTable.get(name);
        boolean isUnreachable =
                zone.state() == ZoneTable.State.DOUBTFUL || zone.state() == ZoneTable.State.CUT;
        if (order == ZoneTable.OperatorOrder.RELEASE && !isUnreachable) {
            reply.respondError(
                    409,
                    "zone: "
                            + name
                            + " is "
                            + zone.state().name().toLowerCase(java.util.Locale.ROOT)
                            + "; only what can't be reached (doubtful or cut) is released");
            return;
        }
        int replicaCount = 0;
        for (MachineTable.Machine machine : machines.all()) {
            replicaCount +=
                    machine.zone().equals(name)
                            ? (int)
                                    jobs.placementsOn(machine.host()).values().stream()
                                            .filter(
                                                    p ->
                                                            p.job.spec.isService()
                                                                    && !p.isTerminated())
                                            .count()
                            : 0;
        }
        ObjectNode response =
                WireFormat.newMap()
                        .put("replicasInside", replicaCount)
                        .put("order", order.name().toLowerCase(java.util.Locale.ROOT));
        if (request.path("dryRun").asBoolean()) {
            reply.respondOk(response.put("state", "dry run"));
        } else if (zone.operatorOrder() == order) {
            reply.respondOk(response.put("state", "done before"));
        } else {
            String recordKey = ZoneTable.storeKey(name);
            operatorApi.commit(
                    new Transaction()
                            .requireRevision(recordKey, watchCache.modRevision(recordKey))
                            .put(recordKey, zone.withOperatorOrder(order).encode()),
                    reply,
                    response.put("state", "done"));
        }
    }

    /** As things are, or as if the named zones were gone now. */
    private void planRecovery(ObjectNode request, OperatorApi.Responder reply) {
        Set<String> lostZones = new HashSet<>();
        for (JsonNode z : request.path("lost")) {
            if (!zoneNames().contains(z.asText())) {
                reply.respondError(
                        404,
                        "lost: there is no zone \"" + z.asText() + "\"; there are " + zoneNames());
                return;
            }
            lostZones.add(z.asText());
        }
        boolean isCurrentState = lostZones.isEmpty();
        zoneTable.all().stream()
                .filter(z -> zoneTable.isUnavailable(z.name()))
                .forEach(z -> lostZones.add(z.name()));
        ObjectNode response =
                WireFormat.newMap()
                        .put("lost", String.join(", ", new TreeSet<>(lostZones)))
                        .put("what", isCurrentState ? "as things are" : "as if they were gone now");
        ArrayNode stepList = response.putArray("list");
        double totalFetchGb = 0;
        int unavailableCount = 0;
        for (ZoneRecoveryPlan.RecoveryStep step :
                ZoneRecoveryPlan.compute(
                        lostServices(lostZones),
                        candidateMachines(lostZones),
                        rentableTypes(lostZones))) {
            stepList.addObject()
                    .put("order", step.position())
                    .put("model", step.jobId())
                    .put("class", step.jobClass())
                    .put("replica", step.replicaNumber())
                    .put("how", step.method())
                    .put("where", step.location())
                    .put("fetchGb", step.fetchGb())
                    .put("etaS", Math.round(step.etaSeconds()))
                    .put("why", step.reason());
            totalFetchGb += step.fetchGb();
            unavailableCount += step.etaSeconds() < 0 ? 1 : 0;
        }
        reply.respondOk(response.put("fetchGb", totalFetchGb).put("cantBeHad", unavailableCount));
    }

    private List<ZoneRecoveryPlan.LostService> lostServices(Set<String> lostZones) {
        List<ZoneRecoveryPlan.LostService> services = new ArrayList<>();
        for (Job job : jobs.all()) {
            JobSpec spec = job.spec;
            if (!spec.isService() || job.isCancelled()) {
                continue;
            }
            Map<String, Integer> survivorsByZone = new TreeMap<>();
            for (TaskStatePage page : job.pages) {
                for (Placement placement : page == null ? List.<Placement>of() : page.placements) {
                    MachineTable.Machine machine = machines.get(placement.host);
                    if (machine != null
                            && !placement.isTerminated()
                            && !lostZones.contains(machine.zone())) {
                        survivorsByZone.merge(machine.zone(), 1, Integer::sum);
                    }
                }
            }
            EffectivePriority effectivePriority = policy.priorityOf(job);
            services.add(
                    new ZoneRecoveryPlan.LostService(
                            spec.jobId(),
                            effectivePriority.jobClass() == null
                                    ? ""
                                    : effectivePriority.jobClass().name(),
                            effectivePriority.rank(),
                            spec.priority().ordinal(),
                            spec.taskCount(),
                            survivorsByZone,
                            effectivePriority.isCovered(),
                            spec.cpus(),
                            spec.memoryGb(),
                            spec.gpus(),
                            spec.image(),
                            spec.imageSizeGb(),
                            spec.machineTypes(),
                            spec.zone(),
                            spec.preemptible(),
                            policy.maxTasksPerZone(job)));
        }
        return services;
    }

    private List<ZoneRecoveryPlan.CandidateMachine> candidateMachines(Set<String> lostZones) {
        List<ZoneRecoveryPlan.CandidateMachine> candidates = new ArrayList<>();
        for (MachineTable.Machine machine : machines.all()) {
            MachineTypeCatalog.MachineType machineType = catalog.get(machine.machineType());
            if (machine.releasing()
                    || machine.cordoned()
                    || machineType == null
                    || lostZones.contains(machine.zone())
                    || Boolean.TRUE.equals(machineVisibility.isBooting(machine.host()))
                    || !machineVisibility.isReachable(machine.host())) {
                continue;
            }
            double[] freeResources = {
                machineType.cpus(), machineType.memoryGb(), machineType.gpus()
            };
            List<double[]> displaceableByPriority = new ArrayList<>();
            for (int priority = 0; priority < JobSpec.Priority.values().length; priority++) {
                displaceableByPriority.add(new double[3]);
            }
            for (Placement placement : jobs.placementsOn(machine.host()).values()) {
                if (!placement.isTerminated()) {
                    double[] taskResources = {
                        placement.job.spec.cpus(),
                        placement.job.spec.memoryGb(),
                        placement.job.spec.gpus()
                    };
                    for (int i = 0; i < 3; i++) {
                        freeResources[i] -= taskResources[i];
                        displaceableByPriority.get(placement.job.spec.priority().ordinal())[i] +=
                                placement.job.spec.isGang() ? 0 : taskResources[i];
                    }
                }
            }
            candidates.add(
                    new ZoneRecoveryPlan.CandidateMachine(
                            machine.host(),
                            machine.machineType(),
                            machine.zone(),
                            machine.spot(),
                            freeResources[0],
                            freeResources[1],
                            freeResources[2],
                            machineType.imagePullGbPerSecond(),
                            imageCaches.images(machine.host()),
                            displaceableByPriority));
        }
        return candidates;
    }

    private List<ZoneRecoveryPlan.RentableType> rentableTypes(Set<String> lostZones) {
        List<ZoneRecoveryPlan.RentableType> types = new ArrayList<>();
        for (MachineTypeCatalog.MachineType machineType : catalog.all()) {
            for (String zone : machineType.zones()) {
                for (boolean spot :
                        lostZones.contains(zone) ? new boolean[0] : new boolean[] {true, false}) {
                    types.add(
                            new ZoneRecoveryPlan.RentableType(
                                    machineType.name(),
                                    zone,
                                    spot,
                                    machineType.cpus(),
                                    machineType.memoryGb(),
                                    machineType.gpus(),
                                    machineType.imagePullGbPerSecond(),
                                    machineType.bootSeconds(),
                                    machineType.pricePerHour(spot)));
                }
            }
        }
        return types;
    }
}
