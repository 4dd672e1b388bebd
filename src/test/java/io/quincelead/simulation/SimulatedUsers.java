package io.quincelead.simulation;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.cluster.JobSpec;
import io.quincelead.transport.WireFormat;
import java.util.ArrayList;
import java.util.List;

/** Users' actions besides submitting jobs, polling them every few seconds and cancelling some. */
final class SimulatedUsers {
    private final SimulatedCluster cluster;

    /**
     * Whether users query all controllers and repeat the submission within milliseconds after a job
     * is accepted, done or cancelled.
     */
    boolean consistencyProbes;

    /** Share of jobs that are cancelled within 30 ms after their acceptance is first reported. */
    double cancelAtAcceptanceRate;

    /** Share of jobs that are cancelled when their last task ends. */
    double cancelAtCompletionRate;

    /** Number of times that all controllers were queried about a job. */
    int probeCount;

    /** Number of jobs cancelled when their acceptance was reported. */
    int cancelledAtAcceptanceCount;

    /** Number of jobs cancelled when their last task ended. */
    int cancelledAtCompletionCount;

    /** Number of jobs cancelled by {@link #cancelRunningJobs}. */
    int massCancelledCount;

    /** Number of unacceptable submissions that were rejected with the expected status. */
    int expectedRefusalCount;

    /** Number of unusual requests that concerned known jobs. */
    int knownJobRequestCount;

    private int lastUnacceptableId;
    private int lastJobNumber = 1_000;

    SimulatedUsers(SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    /** Returns a job number that has not been used yet. */
    int nextJobNumber() {
        return ++lastJobNumber;
    }

    /** Called when the job's acceptance is first reported to a user. */
    void onAccepted(JobSpec job) {
        if (cancelAtAcceptanceRate > 0
                && !job.isService()
                && cluster.random().nextDouble() < cancelAtAcceptanceRate) {
            cancelledAtAcceptanceCount++;
            cluster.cancelAfter(cluster.random().nextLong(30), job.jobId());
        }
        probe(job.jobId());
    }

    /** Called when the job is first reported to a user as done or cancelled. */
    void onFinalStatus(String id) {
        probe(id);
    }

    /** Called when a task of the job has completed. */
    void onTaskCompleted(JobSpec job) {
        for (int i = 0; i < job.taskCount(); i++) {
            if (!cluster.completedTasks.contains(job.jobId() + "/" + i)) {
                return;
            }
        }
        if (cancelAtCompletionRate > 0
                && cluster.acceptedJobs().contains(job.jobId())
                && cluster.random().nextDouble() < cancelAtCompletionRate) {
            cancelledAtCompletionCount++;
            cluster.cancelAfter(cluster.random().nextLong(20), job.jobId());
        }
        probe(job.jobId());
    }

    private void probe(String id) {
        JobSpec job = cluster.jobsById.get(id);
        if (!consistencyProbes || job == null || !cluster.acceptedJobs().contains(id)) {
            return;
        }
        probeCount++;
        for (int i = 0; i < cluster.controllers.size(); i++) {
            int controller = i;
            for (int k = 0; k < 3; k++) {
                cluster.queryAfter(cluster.random().nextLong(60), id, controller);
            }
            cluster.submitAfter(cluster.random().nextLong(60), job, controller);
        }
    }

    /**
     * Cancels up to {@code count} running jobs with a run time of 5 s or more, within 0.2 s. If
     * {@code hangMillis} is positive, up to eight of their machines hang for that time.
     */
    void cancelRunningJobs(int count, long hangMillis) {
        List<String> runningJobs = new ArrayList<>();
        for (String id : cluster.acceptedJobs()) {
            JobSpec job = cluster.jobsById.get(id);
            boolean isRunning =
                    cluster.cloud.machines.values().stream()
                            .anyMatch(
                                    worker ->
                                            worker.tasks.values().stream()
                                                    .anyMatch(
                                                            task ->
                                                                    task.occupiesMachine()
                                                                            && cluster.jobOfTask(
                                                                                            task.id)
                                                                                    == job));
            if (isRunning
                    && !job.isService()
                    && !cluster.isCancellationRequested(id)
                    && job.runtimeSeconds() >= 5) {
                runningJobs.add(id);
            }
        }
        List<String> chosen = runningJobs.subList(0, Math.min(count, runningJobs.size()));
        massCancelledCount += chosen.size();
        chosen.forEach(id -> cluster.cancelAfter(cluster.random().nextLong(200), id));
        if (hangMillis > 0) {
            cluster.expectFaultsUntil(cluster.nowMillis() + hangMillis);
            cluster.cloud.machines.values().stream()
                    .filter(
                            worker ->
                                    worker.up
                                            && !worker.dead
                                            && !worker.hung
                                            && worker.tasks.values().stream()
                                                    .anyMatch(
                                                            task ->
                                                                    chosen.contains(
                                                                            cluster.jobOfTask(
                                                                                            task.id)
                                                                                    .jobId())))
                    .limit(8)
                    .toList()
                    .forEach(
                            worker -> {
                                worker.setHung(true);
                                cluster.after(hangMillis, () -> worker.setHung(false));
                            });
        }
    }

    /**
     * Sends one unusual request: a repeated submission, the cancellation of a done job, or a job
     * that must be rejected.
     */
    void sendUnusualRequest() {
        List<String> accepted = new ArrayList<>(cluster.acceptedJobs());
        String id = String.format("wk-7%05d", ++lastUnacceptableId);
        ObjectNode jobNode =
                JobFixtures.array(1, "red", JobSpec.Priority.NORMAL, 3, 1, 5)
                        .encode()
                        .put("nameId", id);
        switch (cluster.random().nextInt(7)) {
            case 0 ->
                    accepted.stream()
                            .filter(acceptedId -> !cluster.hasFinalStatus(acceptedId))
                            .skip(cluster.random().nextInt(3))
                            .findFirst()
                            .ifPresent(
                                    acceptedId -> {
                                        knownJobRequestCount++;
                                        cluster.submit(cluster.jobsById.get(acceptedId));
                                    });
            case 1 ->
                    accepted.stream()
                            .filter(acceptedId -> cluster.wasToldFinalStatus(acceptedId, "done"))
                            .skip(cluster.random().nextInt(3))
                            .findFirst()
                            .ifPresent(
                                    acceptedId -> {
                                        knownJobRequestCount++;
                                        cluster.cancel(acceptedId);
                                    });
            case 2 ->
                    cluster.submitUnacceptable(
                            id, WireFormat.CBOR.encode(jobNode.put("vcpus", 1_000)), 422);
            case 3 ->
                    cluster.submitUnacceptable(
                            id, WireFormat.CBOR.encode(jobNode.put("owner", "nobody")), 422);
            case 4 ->
                    cluster.submitUnacceptable(
                            id,
                            WireFormat.CBOR.encode(
                                    jobNode.put("mode", "ensemble").put("members", 5_000)),
                            422);
            case 5 -> {
                jobNode.remove(
                        List.of("vcpus", "members", "owner", "mode", "container")
                                .get(cluster.random().nextInt(5)));
                cluster.submitUnacceptable(id, WireFormat.CBOR.encode(jobNode), 400);
            }
            default ->
                    cluster.submitUnacceptable(
                            id, WireFormat.CBOR.encode(jobNode.put("members", -1)), 400);
        }
    }

    void sendUnusualRequests(long intervalMillis, long durationMillis) {
        for (long atMillis = 0; atMillis < durationMillis; atMillis += intervalMillis) {
            cluster.after(atMillis, this::sendUnusualRequest);
        }
    }

    /**
     * Submits single-task jobs of both teams at a fixed interval; a quarter of them are cancelled
     * within three seconds.
     */
    void submitSingleTaskJobs(int count, long intervalMillis) {
        for (int i = 0; i < count; i++) {
            JobSpec job =
                    JobFixtures.array(
                            nextJobNumber(),
                            i % 2 == 0 ? "red" : "blue",
                            JobSpec.Priority.values()[1 + i % 3],
                            1,
                            1,
                            2 + i % 6);
            cluster.submitAfter(i * intervalMillis, job);
            if (i % 4 == 3) {
                cluster.cancelAfter(
                        i * intervalMillis + cluster.random().nextLong(3_000), job.jobId());
            }
        }
    }
}
