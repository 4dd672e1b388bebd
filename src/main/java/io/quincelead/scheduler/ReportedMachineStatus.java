package io.quincelead.scheduler;

import io.quincelead.config.Settings;
import io.quincelead.peer.PeerMessenger;
import io.quincelead.worker.ShardWorker;
import io.quincelead.worker.WorkerGateway;

/**
 * Machine status by heartbeats: those of this controller's workers, and those that other
 * controllers report on.
 */
final class ReportedMachineStatus implements MachineStatus {
    private final String memberId;
    private final double heartbeatSeconds;
    private final WorkerGateway workerGateway;
    private final PeerMessenger messenger;

    ReportedMachineStatus(Settings settings, ControllerComponents components) {
        this.memberId = settings.memberId();
        this.heartbeatSeconds = settings.workerTimings().heartbeatSeconds();
        this.workerGateway = components.workerGateway();
        this.messenger = components.messenger();
    }

    @Override
    public boolean isAcceptingTasks(String owner, String host) {
        ShardWorker worker = workerGateway.worker(host);
        return owner.equals(memberId)
                ? worker != null && worker.isSchedulable()
                : messenger.isReportedSchedulable(owner, host);
    }

    @Override
    public double startDelaySeconds(String host) {
        ShardWorker worker = workerGateway.worker(host);
        // For another controller's machine, half an interval passes on average until its next
        // heartbeat.
        return worker != null ? worker.startDelaySeconds() : heartbeatSeconds / 2;
    }
}
