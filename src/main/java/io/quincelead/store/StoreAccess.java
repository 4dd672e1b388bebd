package io.quincelead.store;

/**
 * What the components of this controller need to use the store. None of the fields is null.
 *
 * @param lease the membership lease; this controller makes decisions only while the lease is valid
 * @param watchCache the local copy of the live keys, with their mod revisions
 * @param client sends reads and transactions, and knows how many writes this controller may send
 *     now
 */
public record StoreAccess(MembershipLease lease, WatchCache watchCache, StoreClient client) {}
