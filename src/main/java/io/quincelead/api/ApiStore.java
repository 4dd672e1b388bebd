package io.quincelead.api;

import io.quincelead.store.GroupCommitter;
import io.quincelead.store.MembershipLease;
import io.quincelead.store.StoreClient;
import io.quincelead.store.WatchCache;

/**
 * The user API's access to the store.
 *
 * @param lease this controller's membership lease
 * @param cache the watch cache of the store's records
 * @param client reads and single transactions
 * @param committer commits transactions grouped with those of other requests
 */
public record ApiStore(
        MembershipLease lease, WatchCache cache, StoreClient client, GroupCommitter committer) {
    /** Whether the store has confirmed the lease recently and the cache holds all records. */
    boolean isReady() {
        return cache.isSynced() && lease.isValid();
    }
}
