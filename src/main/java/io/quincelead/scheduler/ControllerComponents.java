package io.quincelead.scheduler;

import io.quincelead.leadership.Leader;
import io.quincelead.peer.PeerMessenger;
import io.quincelead.worker.WorkerGateway;

/**
 * The components of this controller that a scheduling cycle asks about machines and leadership.
 * None of the components is null.
 *
 * @param workerGateway the workers of this controller's shard
 * @param leader whether this controller leads
 * @param messenger what other controllers last reported about their machines
 */
public record ControllerComponents(
        WorkerGateway workerGateway, Leader leader, PeerMessenger messenger) {}
