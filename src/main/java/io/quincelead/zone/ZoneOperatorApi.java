package io.quincelead.zone;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.cluster.MachineTable;
import io.quincelead.cluster.ZoneTable;
import io.quincelead.policy.OperatorApi;
import io.quincelead.store.Transaction;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/** Answers the operators' queries about zones and records their orders. */
public final class ZoneOperatorApi {
    private final boolean isRecoveryEnabled;
    private final ZoneView view;
    private final OperatorApi operatorApi;

    /**
     * Registers the commands about zones.
     *
     * @param isRecoveryEnabled whether zone recovery is turned on; otherwise orders are rejected
     */
    public ZoneOperatorApi(boolean isRecoveryEnabled, ZoneView view, OperatorApi operatorApi) {
        this.isRecoveryEnabled = isRecoveryEnabled;
        this.view = view;
        this.operatorApi = operatorApi;
        operatorApi.register("/ops/zones/list", this::listZones);
        operatorApi.register("/ops/zones/plan", this::planRecovery);
        operatorApi.register(
                "/ops/zones/hold",
                (request, responder) ->
                        applyOrder(request, responder, ZoneTable.OperatorOrder.HOLD));
        operatorApi.register(
                "/ops/zones/release",
                (request, responder) ->
                        applyOrder(request, responder, ZoneTable.OperatorOrder.RELEASE));
    }

    /** The names of all zones in the machine type catalog, of machines and on record, sorted. */
    private Set<String> zoneNames() {
        Set<String> names = new TreeSet<>();
        view.cluster()
                .machineTypes()
                .all()
                .forEach(machineType -> names.addAll(machineType.zones()));
        view.cluster().machines().all().forEach(machine -> names.add(machine.zone()));
        view.zones().all().forEach(zone -> names.add(zone.name()));
        return names;
    }

    private void listZones(ObjectNode request, OperatorApi.Responder responder) {
        List<ZoneOperatorCodec.ZoneStatus> zones = new ArrayList<>();
        for (String name : zoneNames()) {
            int machineCount = 0;
            int reachableCount = 0;
            for (MachineTable.Machine machine : view.cluster().machines().all()) {
                if (machine.zone().equals(name) && !machine.releasing()) {
                    machineCount++;
                    reachableCount += view.visibility().isReachable(machine.host()) ? 1 : 0;
                }
            }
            zones.add(
                    new ZoneOperatorCodec.ZoneStatus(
                            view.zones().get(name), machineCount, reachableCount));
        }
        responder.respondOk(ZoneOperatorCodec.encodeList(isRecoveryEnabled, zones));
    }

    /**
     * Records an order, which the owners of the zone's machines follow. An order ends when the zone
     * is reachable again; an order to hold also ends when the zone is lost.
     */
    private void applyOrder(
            ObjectNode request, OperatorApi.Responder responder, ZoneTable.OperatorOrder order) {
        String name = ZoneOperatorCodec.decodeZone(request);
        if (!isRecoveryEnabled) {
            responder.respondError(
                    409,
                    "zones aren't watched here: the operators' settings turn it on (zones.on)");
            return;
        }
        if (!zoneNames().contains(name)) {
            responder.respondError(404, "zone: " + noSuchZone(name));
            return;
        }
        ZoneTable.Zone zone = view.zones().get(name);
        boolean isUnreachable =
                zone.state() == ZoneTable.State.DOUBTFUL || zone.state() == ZoneTable.State.CUT;
        if (order == ZoneTable.OperatorOrder.RELEASE && !isUnreachable) {
            responder.respondError(
                    409,
                    "zone: "
                            + name
                            + " is "
                            + ZoneOperatorCodec.stateName(zone.state())
                            + "; only what can't be reached (doubtful or cut) is released");
            return;
        }
        int replicas = countReplicas(name);
        if (ZoneOperatorCodec.isDryRun(request)) {
            responder.respondOk(ZoneOperatorCodec.encodeOrder(replicas, order, "dry run"));
        } else if (zone.operatorOrder() == order) {
            responder.respondOk(ZoneOperatorCodec.encodeOrder(replicas, order, "done before"));
        } else {
            String storeKey = ZoneTable.storeKey(name);
            operatorApi.commit(
                    new Transaction()
                            .requireRevision(storeKey, view.watchCache().modRevision(storeKey))
                            .put(storeKey, zone.withOperatorOrder(order).encode()),
                    responder,
                    ZoneOperatorCodec.encodeOrder(replicas, order, "done"));
        }
    }

    private String noSuchZone(String name) {
        return "there is no zone \"" + name + "\"; there are " + zoneNames();
    }

    /** The number of service replicas that run, or may still run, on machines of the zone. */
    private int countReplicas(String zone) {
        int replicas = 0;
        for (MachineTable.Machine machine : view.cluster().machines().all()) {
            if (machine.zone().equals(zone)) {
                replicas +=
                        (int)
                                view.cluster().jobs().placementsOn(machine.host()).values().stream()
                                        .filter(
                                                placement ->
                                                        placement.job.spec.isService()
                                                                && !placement.isTerminated())
                                        .count();
            }
        }
        return replicas;
    }

    /**
     * Plans the recovery from the zones that are unavailable, as if the zones named in the request
     * were lost as well.
     */
    private void planRecovery(ObjectNode request, OperatorApi.Responder responder) {
        List<String> namedZones = ZoneOperatorCodec.decodeLostZones(request);
        for (String name : namedZones) {
            if (!zoneNames().contains(name)) {
                responder.respondError(404, "lost: " + noSuchZone(name));
                return;
            }
        }
        Set<String> lostZones = new HashSet<>(namedZones);
        for (ZoneTable.Zone zone : view.zones().all()) {
            if (view.zones().isUnavailable(zone.name())) {
                lostZones.add(zone.name());
            }
        }
        RecoveryPlanInputs inputs = new RecoveryPlanInputs(view, lostZones);
        List<RecoveryStep> steps =
                ZoneRecoveryPlan.compute(
                        inputs.services(), inputs.machines(), inputs.rentableTypes());
        responder.respondOk(ZoneOperatorCodec.encodePlan(lostZones, namedZones.isEmpty(), steps));
    }
}
