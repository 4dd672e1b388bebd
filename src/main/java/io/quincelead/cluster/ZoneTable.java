package io.quincelead.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.store.StoreKeys;
import io.quincelead.store.WatchCache;
import io.quincelead.transport.WireFormat;
import java.util.Collection;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Zones that aren't simply up, as the leader has recorded them; a zone without a record is up. */
public final class ZoneTable {
    /** States of a zone; {@code zones/ZoneJudge} alone decides them. */
    public enum State {
        /** Its machines are heard. New work and new machines go there. */
        UP,
        /** Hardly one is heard. No machine is rented there; nothing is concluded. */
        DOUBTFUL,
        /**
         * Silent for longer than its workers' lease; its tasks may live on inside. They keep their
         * places and their teams' use.
         */
        CUT,
        /**
         * Most of its machines are gone, by the cloud's word. What ran there has its next place
         * elsewhere.
         */
        LOST,
        /** Machines are heard there again. They get what waits; nothing is moved there. */
        RETURNING,
        /** It has held since for its settling time. Spread is restored by moves. */
        SETTLED
    }

    /** What operators have ordered for a zone that can't be reached. */
    public enum OperatorOrder {
        NONE,
        HOLD,
        RELEASE
    }

    /**
     * A zone's record. {@code since}: when it came into the state, in ms since 1970; {@code had}:
     * machines it had when it was first doubted; {@code losses}: how often it was lost of late;
     * {@code why}: the evidence, in words.
     */
    public record Zone(
            String name,
            State state,
            long sinceEpochMillis,
            int machineCountWhenDoubted,
            int recentLossCount,
            String reason,
            OperatorOrder operatorOrder) {
        public static Zone up(String zoneName) {
            return new Zone(zoneName, State.UP, 0, 0, 0, "", OperatorOrder.NONE);
        }

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

        public ObjectNode encode() {
            return WireFormat.newMap()
                    .put("st", state.name().toLowerCase(Locale.ROOT))
                    .put("since", sinceEpochMillis)
                    .put("had", machineCountWhenDoubted)
                    .put("losses", recentLossCount)
                    .put("why", reason)
                    .put("order", operatorOrder.name().toLowerCase(Locale.ROOT));
        }
    }

    private final Map<String, Zone> zones = new TreeMap<>();

    public ZoneTable(WatchCache mirror) {
        mirror.addPrefixListener(
                StoreKeys.ZONE_PREFIX,
                new WatchCache.PrefixListener() {
                    @Override
                    public void onPut(String key, JsonNode v, long stamp) {
                        String name = key.substring(StoreKeys.ZONE_PREFIX.length());
                        try {
                            zones.put(
                                    name,
                                    new Zone(
                                            name,
                                            State.valueOf(
                                                    v.path("st").asText().toUpperCase(Locale.ROOT)),
                                            v.path("since").asLong(),
                                            v.path("had").asInt(),
                                            v.path("losses").asInt(),
                                            v.path("why").asText(),
                                            OperatorOrder.valueOf(
                                                    v.path("order")
                                                            .asText("none")
                                                            .toUpperCase(Locale.ROOT))));
                        } catch (IllegalArgumentException e) {
                            // A state of a later build: as it was, the zone goes on.
                            zones.putIfAbsent(name, Zone.up(name));
                        }
                    }

                    @Override
                    public void onRemove(String key) {
                        zones.remove(key.substring(StoreKeys.ZONE_PREFIX.length()));
                    }
                });
    }

    public Zone get(String name) {
        return zones.getOrDefault(name, Zone.up(name));
    }

    /** Those on record. */
    public Collection<Zone> all() {
        return zones.values();
    }

    /** Whether no machine should be rented there now. */
    public boolean isUnavailable(String name) {
        State state = get(name).state();
        return state == State.DOUBTFUL || state == State.CUT || state == State.LOST;
    }

    public static String storeKey(String name) {
        return StoreKeys.ZONE_PREFIX + name;
    }
}
