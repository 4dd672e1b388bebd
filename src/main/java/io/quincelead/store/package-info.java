/**
 * The client side of the state service, a consensus-backed key-value store.
 *
 * <p>Duty: its protocol ({@link io.quincelead.store.StoreClient}), compare-and-swap transactions
 * ({@link io.quincelead.store.Transaction}), group commit ({@link
 * io.quincelead.store.GroupCommitter}), the settling of indeterminate writes ({@link
 * io.quincelead.store.IndeterminateWriteFence}), this controller's lease ({@link
 * io.quincelead.store.MembershipLease}) and the copy of the live keys ({@link
 * io.quincelead.store.WatchCache}).
 *
 * <p>Owned state: the revisions of all live keys, the controller's lease and its share of the
 * store's limits. The values of keys belong to the packages that register a listener for them; this
 * package must not interpret them, and it must not decide anything about jobs or machines.
 */
package io.quincelead.store;
