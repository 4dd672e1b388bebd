package io.quincelead.scheduler;

import io.quincelead.store.MembershipLease;
import io.quincelead.store.StoreClient;
import io.quincelead.store.WatchCache;

/**
 * What a scheduling cycle needs to commit: none of the components is null.
 *
 * @param membership the lease under which this controller may decide
 * @param watchCache the records as last seen, with their mod revisions
 * @param client takes transactions and says how many writes are affordable
 */
public record StoreAccess(MembershipLease membership, WatchCache watchCache, StoreClient client) {}
