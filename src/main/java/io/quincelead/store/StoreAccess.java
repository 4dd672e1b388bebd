package io.quincelead.store;

/**
 * The ways in which a component reaches the store. None of the components is null.
 *
 * @param lease the membership lease under which this controller may decide
 * @param watchCache the records as last seen, with their mod revisions
 * @param client reads, transactions, and how many writes are affordable
 */
public record StoreAccess(MembershipLease lease, WatchCache watchCache, StoreClient client) {}
