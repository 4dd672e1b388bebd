package io.quincelead.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.store.StoreKeys;
import io.quincelead.store.WatchCache;
import java.util.Collection;
import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/** The zone records written by the leader; a zone without a record is up. */
public final class ZoneTable {
    /** State of a zone; only {@code ZoneHealthEvaluator} decides on transitions. */
    public enum State {
        /** Heartbeats of its machines arrive. It gets new tasks and new machines. */
        UP,
        /**
         * Heartbeats arrive from hardly any of its machines. No machine is provisioned in the zone,
         * and no conclusion is drawn about its machines.
         */
        DOUBTFUL,
        /**
         * Unreachable for longer than its workers' lease. Its tasks may still be running; they keep
         * their placements and still count towards their teams' quota use.
         */
        CUT,
        /**
         * Most of its machines no longer exist, according to the cloud's list or its responses to
         * releases. Tasks that ran in the zone are placed elsewhere.
         */
        LOST,
        /**
         * Heartbeats from the zone arrive again. Its machines get pending tasks; no running tasks
         * are moved to the zone.
         */
        RETURNING,
        /**
         * The zone has been up for its settling time after returning. Zone spread is restored by
         * moving replicas.
         */
        SETTLED
    }

    /** An operator's order for an unreachable zone. */
    public enum OperatorOrder {
        /** No order: the zone's state decides. */
        NONE,
        /** Its machines are not declared lost, however long they send no heartbeats. */
        HOLD,
        /** Its machines that send no heartbeats are declared lost at once. */
        RELEASE
    }

    /**
     * A zone's record.
     *
     * @param sinceEpochMillis wall-clock time at which the zone entered the state
     * @param machineCountWhenDoubted number of machines when the zone first became doubtful
     * @param recentLossCount how often the zone was lost recently
     * @param reason a description of the evidence for the state
     */
    public record Zone(
            String name,
            State state,
            long sinceEpochMillis,
            int machineCountWhenDoubted,
            int recentLossCount,
            String reason,
            OperatorOrder operatorOrder) {
        /** Returns a zone in the state UP, the default for a zone without a record. */
        public static Zone up(String zoneName) {
            return new Zone(zoneName, State.UP, 0, 0, 0, "", OperatorOrder.NONE);
        }

        /** Returns a copy of this zone in another state from now on, with the evidence for it. */
        public Zone withState(State next, long nowEpochMillis, String evidence) {
            return new Zone(
                    name,
                    next,
                    nowEpochMillis,
                    machineCountWhenDoubted,
                    recentLossCount,
                    evidence,
                    operatorOrder);
        }

        /** Returns a copy of this zone with another operator order. */
        public Zone withOperatorOrder(OperatorOrder newOrder) {
            return new Zone(
                    name,
                    state,
                    sinceEpochMillis,
                    machineCountWhenDoubted,
                    recentLossCount,
                    reason,
                    newOrder);
        }

        /** Encodes the zone's record. */
        public ObjectNode encode() {
            return ZoneCodec.encode(this);
        }
    }

    private final Map<String, Zone> zones = new TreeMap<>();
    private final Collection<Zone> zonesView = Collections.unmodifiableCollection(zones.values());

    /** Creates a table that is empty until the watch cache has read the store. */
    public ZoneTable(WatchCache watchCache) {
        watchCache.addPrefixListener(
                StoreKeys.ZONE_PREFIX,
                new WatchCache.PrefixListener() {
                    @Override
                    public void onPut(String key, JsonNode value, long modRevision) {
                        put(key.substring(StoreKeys.ZONE_PREFIX.length()), value);
                    }

                    @Override
                    public void onRemove(String key) {
                        zones.remove(key.substring(StoreKeys.ZONE_PREFIX.length()));
                    }
                });
    }

    private void put(String name, JsonNode value) {
        try {
            zones.put(name, ZoneCodec.decode(name, value));
        } catch (MalformedRecordException e) {
            // The record may contain a state of a later version: the last known state of the zone
            // stays.
            zones.putIfAbsent(name, Zone.up(name));
        }
    }

    /** The zone as recorded; in the state UP if it has no record. Never null. */
    public Zone get(String name) {
        return zones.getOrDefault(name, Zone.up(name));
    }

    /** The zones on record, by name; a live, unmodifiable view. */
    public Collection<Zone> all() {
        return zones.values();
    }

    /**
     * Whether the zone is doubtful, cut off or lost, so that no machine should be provisioned in
     * it.
     */
    public boolean isUnavailable(String name) {
        State state = get(name).state();
        return state == State.DOUBTFUL || state == State.CUT || state == State.LOST;
    }

    /** The store key of the zone's record. */
    public static String storeKey(String name) {
        return StoreKeys.ZONE_PREFIX + name;
    }
}
