/**
 * Scale-out and scale-in: the leader's requests to the cloud.
 *
 * <p>Duty: reads the cloud's machine types and its list of machines, forecasts how many CPUs the
 * work needs, provisions machines ahead of demand, registers listed machines that are on no record,
 * and releases those that are idle or failed.
 *
 * <p>Owned state: in the store, the machine types, the open provisioning requests and their
 * counter; it also changes machine records and takes machines marked for release out of their
 * shards. In memory, the types' prices, averages of the offered load, idle times, recent refusals
 * and releases; a new leader starts without them.
 *
 * <p>Must not: submit a provisioning request that is not on record, or use a name twice; treat a
 * machine as released without the cloud's confirmation; conclude anything from absence in the
 * cloud's list; act while this controller does not lead or a write of the leader is indeterminate.
 */
package io.quincelead.autoscaler;
