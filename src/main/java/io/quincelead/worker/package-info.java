/**
 * The protocol between this controller and the workers of its shard: workers send heartbeats, the
 * controller sends commands.
 *
 * <p>This package takes heartbeats as evidence of which tasks run and which have terminated,
 * answers them with the starts, kills and clears that follow from the records, sends kills
 * immediately, detects lost workers, and redirects workers that belong to another controller.
 *
 * <p>State kept by this package: one {@link io.quincelead.worker.ShardWorker} for each machine of
 * the shard under its current fencing token, the heartbeats whose responses are deferred, and the
 * recent heartbeats of misrouted workers. Everything runs on the event loop.
 *
 * <p>This package must not decide where a task runs, start a task by any message other than a
 * heartbeat response, or conclude from elapsed time alone that a task has terminated. A machine is
 * declared lost by recording that it is to be released; its tasks count as terminated only once the
 * cloud confirms the release.
 */
package io.quincelead.worker;
