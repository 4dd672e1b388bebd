package io.quincelead.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.config.TestSettings;
import io.quincelead.simulation.JobFixtures;
import io.quincelead.simulation.SimulatedClock;
import io.quincelead.store.Transaction;
import io.quincelead.store.UnresponsiveStore;
import io.quincelead.store.WatchCache;
import io.quincelead.transport.WireFormat;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Records that are malformed or contradict their keys. Only controllers write these records; the
 * faults were found by code review, not in operation.
 *
 * <p>Guards against these faults: the previous version of a shard was dropped before the new record
 * was decoded, so an unreadable record made its machines appear unowned and its quota shares free,
 * and the leader could grant both while the owner still held them; the exception also aborted the
 * rest of the watch batch. A job whose record contains another job was added under both ids, and
 * its tasks could be placed twice. A machine that a record cordons without listing it stayed
 * cordoned permanently.
 */
class CorruptRecordTest {
    private final SimulatedClock.SimulatedProcess loop = new SimulatedClock(1).newProcess();
    private final WatchCache watchCache =
            UnresponsiveStore.watchCache(loop, TestSettings.SINGLE_CONTROLLER);
    private long revision;

    private void put(String key, ObjectNode value) {
        watchCache.applyCommitted(new Transaction().put(key, value), ++revision);
    }

    private static ObjectNode shardRecord(String token) {
        ObjectNode shard = WireFormat.newMap().put("p", "i-");
        shard.putObject("ms").putArray(token).add("000001");
        shard.putObject("al").putArray("red").add(40).add(0);
        return shard;
    }

    @Test
    void unreadableShardKeepsItsMachinesAndQuota() {
        ClusterMembership membership =
                new ClusterMembership(TestSettings.SINGLE_CONTROLLER, watchCache);
        put("a/b/other", shardRecord("7"));
        put("a/b/other", shardRecord("seven"));
        assertEquals("other", membership.ownerOf("i-000001"));
        assertEquals(40, membership.shardOf("other").quotaShare("red").cpus());
    }

    @Test
    void localShardIsAbsentWhileItsRecordIsUnreadable() {
        ClusterMembership membership =
                new ClusterMembership(TestSettings.SINGLE_CONTROLLER, watchCache);
        String key = "a/b/" + TestSettings.SINGLE_CONTROLLER.memberId();
        put(key, shardRecord("7"));
        assertNotNull(membership.localShard());
        put(key, shardRecord("seven"));
        assertNull(membership.localShard());
        put(key, shardRecord("8"));
        assertEquals(8, membership.localShard().fencingTokensByHost().get("i-000001"));
    }

    @Test
    void jobUnderAnotherJobsKeyIsIgnored() {
        JobTable jobs = new JobTable(loop, watchCache);
        ObjectNode record =
                new Job(JobFixtures.array(2, "red", JobSpec.Priority.NORMAL, 1, 1, 10), "w", 1)
                        .encode();
        put("a/j/wk-000001", record);
        assertNull(jobs.get("wk-000001"));
        put("a/j/wk-000002", record);
        assertNotNull(jobs.get("wk-000002"));
    }

    @Test
    void unlistedMachineIsNotCordoned() {
        MachineTable machines = new MachineTable(watchCache);
        ObjectNode record = WireFormat.newMap().put("k", "small").put("s", "a").put("r", 1);
        record.putArray("h").add("i-000001");
        record.putArray("q").add("i-000001").add("i-000002");
        put("a/m/r-1", record);
        assertEquals(Set.of("i-000001"), machines.cordonedHosts());
        watchCache.applyCommitted(new Transaction().remove("a/m/r-1"), ++revision);
        assertEquals(Set.of(), machines.cordonedHosts());
    }
}
