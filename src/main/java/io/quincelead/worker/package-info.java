/**
 * The protocol with the workers of this controller's shard: heartbeats in, commands out.
 *
 * <p>Duty: to take heartbeats as evidence of what runs and what has terminated, to answer them with
 * the starts, kills and clears that follow from the records, to send kills at once, to detect lost
 * workers, and to redirect workers that belong to another controller.
 *
 * <p>Owned state: one {@link io.quincelead.worker.ShardWorker} for each machine of the shard under
 * its current fencing token, the heartbeats whose responses are deferred, and what has been seen of
 * misrouted workers. Everything runs on the event loop.
 *
 * <p>What it must not do: decide where a task runs, start a task by any message but a heartbeat
 * response, or conclude that a task has terminated from time alone. A machine is declared lost by
 * recording its release; its tasks have terminated only once the cloud confirms that release.
 */
package io.quincelead.worker;
