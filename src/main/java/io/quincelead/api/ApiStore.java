package io.quincelead.api;

import io.quincelead.store.GroupCommitter;
import io.quincelead.store.MembershipLease;
import io.quincelead.store.StoreClient;
import io.quincelead.store.WatchCache;

/**
 * The ways in which the user API reaches the store.
 *
 * @param lease this controller's membership lease
 * @param cache the watched copy of the store
 * @param client reads and single transactions
 * @param committer transactions that are grouped with those of other users
 */
public record ApiStore(
        MembershipLease lease, WatchCache cache, StoreClient client, GroupCommitter committer) {
    /** Whether the store has confirmed the lease lately and the cache holds all records. */
    boolean isReady() {
        return cache.isSynced() && lease.isValid();
    }
}
