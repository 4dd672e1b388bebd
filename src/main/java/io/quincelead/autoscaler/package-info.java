/**
 * Scale-out and scale-in: what the leader asks of the cloud.
 *
 * <p>Duty: reads the cloud's machine types and its list of machines, forecasts how many CPUs the
 * work needs, rents machines ahead of demand, and returns those that are idle, failed or
 * unexpected.
 *
 * <p>Owned state: in the store, the machine types, the open provisioning requests and their
 * counter; it also changes machine records and takes returned machines out of their shards. In
 * memory, the types' prices, averages of the arriving load, idle times, recent refusals and
 * releases; a new leader begins them anew.
 *
 * <p>Must not: submit a provisioning request that is not on record, or use a name twice; take a
 * machine for gone without the cloud's confirmation of its release; conclude anything from absence
 * in the cloud's list; act while this controller does not lead or a write of the leader is
 * indeterminate.
 */
package io.quincelead.autoscaler;
