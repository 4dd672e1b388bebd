package io.quincelead.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.quincelead.cluster.ClusterMembership;
import io.quincelead.cluster.ClusterMembership.QuotaShare;
import io.quincelead.cluster.ClusterMembership.Shard;
import io.quincelead.config.Settings;
import io.quincelead.config.TestSettings;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.store.StoreKeys;
import io.quincelead.store.Transaction;
import io.quincelead.store.UnresponsiveStore;
import io.quincelead.store.WatchCache;
import io.quincelead.transport.WireFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class ShardUpdateTest {
    private static final int UNLIMITED = Integer.MAX_VALUE;
    private static final EventLoop FROZEN_EVENT_LOOP =
            new EventLoop() {
                @Override
                public long nowMillis() {
                    return 0;
                }

                @Override
                public long wallClockMillis() {
                    return 0;
                }

                @Override
                public void runAfter(long delayMillis, Runnable task) {}
            };

    private final Settings settings =
            TestSettings.singleController(
                    "one",
                    Map.of("red", new Settings.Team("red", 0, 100, 0, 0)),
                    new Settings.WorkerTimings(3, 17.5, 45, 6, 40),
                    new Settings.StoreLimits(600, 250, 8, 12));
    private final WatchCache watchCache = UnresponsiveStore.watchCache(FROZEN_EVENT_LOOP, settings);
    private final ClusterMembership membership = new ClusterMembership(settings, watchCache);

    /**
     * Records two live members. The first one has a shard with one machine under fencing token 5;
     * the counter is at 5.
     */
    ShardUpdateTest() {
        Shard shard = new Shard("one", new LinkedHashMap<>(), new LinkedHashMap<>());
        shard.fencingTokensByHost().put("old", 5L);
        shard.quotaShares().put("red", new QuotaShare(10, 0));
        Transaction records = new Transaction();
        for (String memberId : List.of("one", "two")) {
            records.put(
                    StoreKeys.MEMBER_PREFIX + memberId,
                    WireFormat.newMap().put("a", "10.0.0.9:2").put("i", 1).put("g", 7));
        }
        records.put(StoreKeys.FENCING_TOKEN_COUNTER, WireFormat.newMap().put("n", 5));
        records.put(shard.storeKey(), shard.encode());
        watchCache.applyCommitted(records, 1);
    }

    private Transaction commitOf(ShardUpdate update, int maxRecordLength) {
        Transaction transaction = new Transaction();
        update.addTo(transaction, watchCache, maxRecordLength);
        return transaction;
    }

    @Test
    void memberWithoutAShardGetsAnEmptyOneOnRecord() {
        ShardUpdate update = new ShardUpdate(membership);

        Transaction transaction = commitOf(update, UNLIMITED);

        assertEquals(Set.of("one", "two"), update.memberIds());
        assertTrue(update.shardOf("two").fencingTokensByHost().isEmpty());
        assertTrue(transaction.writesKey(StoreKeys.SHARD_PREFIX + "two"));
        assertFalse(transaction.writesKey(StoreKeys.SHARD_PREFIX + "one"));
        assertFalse(transaction.writesKey(StoreKeys.FENCING_TOKEN_COUNTER));
    }

    @Test
    void assignedMachineGetsTheNextFencingTokenAndTheCounterRises() {
        ShardUpdate update = new ShardUpdate(membership);

        update.revoke("old", "one");
        update.assign("old", "two");
        Transaction transaction = commitOf(update, UNLIMITED);

        assertTrue(update.shardOf("one").fencingTokensByHost().isEmpty());
        assertEquals(Map.of("old", 6L), update.shardOf("two").fencingTokensByHost());
        assertTrue(update.isAssigned("old"));
        assertTrue(transaction.writesKey(StoreKeys.SHARD_PREFIX + "one"));
        assertTrue(transaction.writesKey(StoreKeys.SHARD_PREFIX + "two"));
        assertTrue(transaction.writesKey(StoreKeys.FENCING_TOKEN_COUNTER));
    }

    @Test
    void updateDoesNotChangeTheShardsOnRecord() {
        ShardUpdate update = new ShardUpdate(membership);

        update.revokeIf(host -> true);
        update.setQuotaShare("one", "red", new QuotaShare(20, 0));

        assertEquals(Map.of("old", 5L), membership.shardOf("one").fencingTokensByHost());
        assertEquals(new QuotaShare(10, 0), membership.shardOf("one").quotaShare("red"));
    }

    @Test
    void changeThatEndsAtTheRecordedStateIsNotWritten() {
        ShardUpdate update = new ShardUpdate(membership);

        update.setQuotaShare("one", "red", new QuotaShare(10, 0));

        assertFalse(commitOf(update, UNLIMITED).writesKey(StoreKeys.SHARD_PREFIX + "one"));
    }

    @Test
    void assignmentsOfThisUpdateBeyondTheRecordLimitAreRevokedLastFirst() {
        ShardUpdate update = new ShardUpdate(membership);
        update.assign("new-1", "one");
        int lengthWithOne = update.shardOf("one").encode().toString().length();
        update.assign("new-2", "one");

        commitOf(update, lengthWithOne);
        assertEquals(Set.of("old", "new-1"), update.shardOf("one").fencingTokensByHost().keySet());

        commitOf(update, 1);
        assertEquals(Set.of("old"), update.shardOf("one").fencingTokensByHost().keySet());
    }
}
