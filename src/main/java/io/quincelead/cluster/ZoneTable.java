package io.quincelead.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.store.StoreKeys;
import io.quincelead.store.WatchCache;
import java.util.Collection;
import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/** The zones that aren't simply up, as the leader has recorded them; one without a record is up. */
public final class ZoneTable {
    /** States of a zone; the {@code ZoneHealthEvaluator} alone decides them. */
    public enum State {
        /** Heartbeats of its machines arrive. New work and new machines go there. */
        UP,
        /** Heartbeats of hardly any machine arrive. None is rented there; nothing is concluded. */
        DOUBTFUL,
        /**
         * Unreachable for longer than its workers' lease; its tasks may go on inside. They keep
         * their placements and their teams' quota use.
         */
        CUT,
        /**
         * Most of its machines are gone, as the cloud's list or its responses to releases show.
         * What ran there is placed elsewhere.
         */
        LOST,
        /**
         * Heartbeats arrive from there again. Its machines get pending tasks; nothing is moved
         * there.
         */
        RETURNING,
        /**
         * It has been up since for its settling time. Zone spread is restored by moving replicas.
         */
        SETTLED
    }

    /** What operators have ordered for a zone that can't be reached. */
    public enum OperatorOrder {
        /** Nothing: the zone's state decides. */
        NONE,
        /** Its machines are not declared lost, however long they are silent. */
        HOLD,
        /** Its silent machines are declared lost at once. */
        RELEASE
    }

    /**
     * A zone's record.
     *
     * @param sinceEpochMillis wall-clock time at which it came into the state
     * @param machineCountWhenDoubted machines that it had when it first became doubtful
     * @param recentLossCount how often it was lost recently
     * @param reason the evidence for the state, in words
     */
    public record Zone(
            String name,
            State state,
            long sinceEpochMillis,
            int machineCountWhenDoubted,
            int recentLossCount,
            String reason,
            OperatorOrder operatorOrder) {
        /** A zone that is up, as one without a record is. */
        public static Zone up(String zoneName) {
            return new Zone(zoneName, State.UP, 0, 0, 0, "", OperatorOrder.NONE);
        }

        /** This zone in another state from now on, with the evidence for it. */
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

        /** This zone under another order of the operators. */
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

        /** The record as it is stored. */
        public ObjectNode encode() {
            return ZoneCodec.encode(this);
        }
    }

    private final Map<String, Zone> zones = new TreeMap<>();
    private final Collection<Zone> zonesView = Collections.unmodifiableCollection(zones.values());

    /** Empty until the watch cache has read the store. */
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
            // A state of a later version: the zone stays as it was known.
            zones.putIfAbsent(name, Zone.up(name));
        }
    }

    /** The zone as it is on record; up where it has no record. Never null. */
    public Zone get(String name) {
        return zones.getOrDefault(name, Zone.up(name));
    }

    /** The zones on record, by name; a live, unmodifiable view. */
    public Collection<Zone> all() {
        return zones.values();
    }

    /** Whether no machine should be rented there now: doubtful, cut off or lost. */
    public boolean isUnavailable(String name) {
        State state = get(name).state();
        return state == State.DOUBTFUL || state == State.CUT || state == State.LOST;
    }

    /** The store key of the zone's record. */
    public static String storeKey(String name) {
        return StoreKeys.ZONE_PREFIX + name;
    }
}
