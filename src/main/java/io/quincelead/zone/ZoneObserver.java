package io.quincelead.zone;

import io.quincelead.cluster.MachineTable;
import io.quincelead.cluster.ZoneTable;
import java.util.Map;
import java.util.TreeMap;

/** Counts each zone's machines and how many of them are reachable. */
final class ZoneObserver {
    private static final class Counts {
        private int machines;
        private int known;
        private int reachable;
        private int remaining;

        private boolean isMostlyReachable() {
            return known > 0 && reachable * 2 >= known;
        }
    }

    private final ZoneView view;

    ZoneObserver(ZoneView view) {
        this.view = view;
    }

    /** The observation of every zone that has machines or a record, by the zone's name. */
    Map<String, ZoneObservation> observe() {
        Map<String, Counts> countsByZone = new TreeMap<>();
        view.zones().all().forEach(zone -> countsByZone.put(zone.name(), new Counts()));
        for (MachineTable.Machine machine : view.cluster().machines().all()) {
            if (!machine.releasing()) {
                count(machine, countsByZone.computeIfAbsent(machine.zone(), zone -> new Counts()));
            }
        }
        Map<String, ZoneObservation> observations = new TreeMap<>();
        countsByZone.forEach(
                (zone, counts) ->
                        observations.put(
                                zone,
                                new ZoneObservation(
                                        counts.machines,
                                        counts.known,
                                        counts.reachable,
                                        counts.remaining,
                                        isAnyOtherMostlyReachable(zone, countsByZone))));
        return observations;
    }

    /** Counts a machine, unless it is known to be booting. */
    private void count(MachineTable.Machine machine, Counts counts) {
        Boolean isBooting = view.visibility().isBooting(machine.host());
        if (Boolean.TRUE.equals(isBooting)) {
            return;
        }
        counts.machines++;
        if (isBooting != null) {
            counts.known++;
            if (view.visibility().isReachable(machine.host())) {
                counts.reachable++;
            }
        }
        ZoneTable.Zone zone = view.zones().get(machine.zone());
        if (machine.provisionedAtEpochMillis() <= zone.sinceEpochMillis()
                || zone.state() == ZoneTable.State.UP) {
            counts.remaining++;
        }
    }

    private static boolean isAnyOtherMostlyReachable(
            String zone, Map<String, Counts> countsByZone) {
        return countsByZone.entrySet().stream()
                .anyMatch(
                        other ->
                                !other.getKey().equals(zone)
                                        && other.getValue().isMostlyReachable());
    }
}
