/**
 * The client side of the state service, a consensus-backed key-value store.
 *
 * <p>It implements the service's protocol ({@link io.quincelead.store.StoreClient}),
 * compare-and-swap transactions ({@link io.quincelead.store.Transaction}), group commit ({@link
 * io.quincelead.store.GroupCommitter}), the recovery from indeterminate writes ({@link
 * io.quincelead.store.IndeterminateWriteFence}), this controller's lease ({@link
 * io.quincelead.store.MembershipLease}) and the local copy of the live keys ({@link
 * io.quincelead.store.WatchCache}).
 *
 * <p>State kept by this package: the revisions of all live keys, this controller's lease and its
 * share of the store's request and write limits. The values of keys belong to the packages that
 * register a listener for them; this package must not interpret them, and must not make decisions
 * about jobs or machines.
 */
package io.quincelead.store;
