package io.quincelead.scheduler;

import io.quincelead.config.Settings;
import io.quincelead.worker.ShardWorker;

/** Machine status by heartbeats: our own workers' and those that other controllers report on. */
final class ReportedMachineStatus implements MachineStatus {
    private final Settings settings;
    private final Collaborators collaborators;

    ReportedMachineStatus(Settings settings, Collaborators collaborators) {
        this.settings = settings;
        this.collaborators = collaborators;
    }

    @Override
    public boolean isAcceptingTasks(String owner, String host) {
        ShardWorker worker = collaborators.workerGateway().worker(host);
        return owner.equals(settings.memberId())
                ? worker != null && worker.isSchedulable()
                : collaborators.messenger().isReportedSchedulable(owner, host);
    }

    @Override
    public double secondsToReach(String host) {
        ShardWorker worker = collaborators.workerGateway().worker(host);
        // Another controller's machine: on average, half an interval passes until its heartbeat.
        return worker != null
                ? worker.startDelaySeconds()
                : settings.workerTimings().heartbeatSeconds() / 2;
    }
}
