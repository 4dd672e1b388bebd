package io.quincelead.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.cluster.JobSpec;
import io.quincelead.transport.IncomingRequest;
import io.quincelead.transport.WireFormat;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A simulated machine and its worker agent, written from the specification of their protocol. */
public final class SimulatedWorker {
    /**
     * Time in ms of the setting gang_wait_s that the simulated cluster gives to its controllers.
     */
    static final long GANG_WAIT_MILLIS = 45_000;

    /** Timeout in ms of a heartbeat; a later response is ignored. */
    private static final long HEARTBEAT_TIMEOUT_MILLIS = 4_000;

    /** A task that is on the machine or has ended there. */
    public static final class SimulatedTask {
        final String id;
        final long attempt;
        String status = "fetching";
        String endReason = "";
        boolean checkpointStored;
        long doneAt;

        SimulatedTask(String id, long attempt) {
            this.id = id;
            this.attempt = attempt;
        }

        /** Whether the task counts as being on the machine. */
        boolean occupiesMachine() {
            return status.equals("running") || status.equals("waiting") || status.equals("saving");
        }

        boolean hasEnded() {
            return status.equals("ended");
        }
    }

    final SimulatedCluster cluster;
    final SimulatedClock clock;
    final String host;
    final String address;
    final SimulatedCloud.MachineType machineType;
    final String zone;
    final boolean spot;
    final long provisionedAtMillis;
    boolean up;
    boolean dead;
    boolean released;
    boolean hung;
    boolean failsTasks;

    /** Heartbeats of this worker arrive; responses and direct commands to it are lost. */
    boolean unreachableInbound;

    /** This worker reaches no controller; direct commands reach it. */
    boolean unreachableOutbound;

    double reclaimNoticeSeconds = -1;
    private long agentEpoch = 1;
    private long serial;
    private long fencingToken;
    private long leaseStartMillis;
    private int targetController;
    private boolean heartbeatInFlight;
    private boolean heartbeatDue;
    private long lastHeartbeatMillis = -10_000;
    private int heartbeatNumber;
    final Map<String, SimulatedTask> tasks = new LinkedHashMap<>();

    /** Time at which each image has been fetched, by image. */
    private final Map<String, Long> imageReadyAtMillis = new HashMap<>();

    private final List<Runnable> suspendedActions = new ArrayList<>();

    SimulatedWorker(
            SimulatedCluster cluster,
            String host,
            String address,
            SimulatedCloud.MachineType machineType,
            String zone,
            boolean spot) {
        this.cluster = cluster;
        this.clock = cluster.clock;
        this.host = host;
        this.address = address;
        this.machineType = machineType;
        this.zone = zone;
        this.spot = spot;
        this.provisionedAtMillis = clock.nowMillis();
        this.targetController = clock.random.nextInt(cluster.controllers.size());
    }

    private static String taskKey(String taskId, long attempt) {
        return taskId + "#" + attempt;
    }

    /**
     * Runs an action now, on resumption if the machine hangs, or never if the machine crashed or
     * was released.
     */
    private void runUnlessHung(Runnable action) {
        if (released || dead) {
            return;
        }
        if (hung) {
            suspendedActions.add(action);
        } else {
            action.run();
        }
    }

    void boot() {
        if (!released) {
            up = true;
            leaseStartMillis = clock.nowMillis();
            cluster.network.setHandler(
                    address, request -> runUnlessHung(() -> handleCommand(request)));
            scheduleHeartbeats();
        }
    }

    void release() {
        released = true;
        tasks.clear();
        cluster.network.setHandler(address, null);
    }

    void crash() {
        dead = true;
        tasks.clear();
        cluster.network.setHandler(address, null);
    }

    void setHung(boolean nowHung) {
        hung = nowHung;
        if (!nowHung) {
            List<Runnable> resumed = new ArrayList<>(suspendedActions);
            suspendedActions.clear();
            endTasksIfLeaseExpired();
            resumed.forEach(this::runUnlessHung);
            if (!released) {
                cluster.onWorkerResumed(this);
            }
        }
    }

    private void endTasksIfLeaseExpired() {
        if (clock.nowMillis() - leaseStartMillis > cluster.workerLeaseMillis) {
            tasks.clear();
            agentEpoch++;
            serial = 0;
            leaseStartMillis = clock.nowMillis();
        }
    }

    boolean isHealthy() {
        return up
                && !dead
                && !released
                && !hung
                && !unreachableInbound
                && !unreachableOutbound
                && !failsTasks
                && reclaimNoticeSeconds < 0;
    }

    private void scheduleHeartbeats() {
        if (released || dead) {
            return;
        }
        runUnlessHung(
                () -> {
                    endTasksIfLeaseExpired();
                    if (!heartbeatInFlight
                            && (clock.nowMillis() - lastHeartbeatMillis
                                            >= cluster.heartbeatIntervalMillis
                                    || heartbeatDue
                                            && clock.nowMillis() - lastHeartbeatMillis >= 500)) {
                        sendHeartbeat();
                    }
                });
        clock.schedule(100, this::scheduleHeartbeats);
    }

    private ObjectNode heartbeatBody() {
        ObjectNode node =
                WireFormat.newMap()
                        .put("host", host)
                        .put("addr", address)
                        .put("shape", machineType.name())
                        .put("site", zone)
                        .put("preemptible", spot)
                        .put("tenure", agentEpoch)
                        .put("serial", ++serial)
                        .put("epoch", fencingToken);
        if (reclaimNoticeSeconds >= 0) {
            node.put("warningS", reclaimNoticeSeconds);
        }
        ArrayNode taskNodes = node.putArray("members");
        for (SimulatedTask task : tasks.values()) {
            ObjectNode taskNode =
                    taskNodes
                            .addObject()
                            .put("member", task.id)
                            .put("try", task.attempt)
                            .put("status", task.status);
            if (task.hasEnded()) {
                taskNode.put("exitReason", task.endReason).put("stored", task.checkpointStored);
            }
        }
        return node;
    }

    /** A heartbeat that was sent: its number, its time and the agent epoch in which it was sent. */
    private record SentHeartbeat(int number, long sentMillis, long agentEpoch) {}

    private void sendHeartbeat() {
        heartbeatInFlight = true;
        heartbeatDue = false;
        lastHeartbeatMillis = clock.nowMillis();
        SentHeartbeat heartbeat =
                new SentHeartbeat(++heartbeatNumber, clock.nowMillis(), agentEpoch);
        if (unreachableOutbound) {
            timeOutAfter(500, heartbeat);
            return;
        }
        SimulatedCluster.SimulatedController controller = cluster.controllers.get(targetController);
        cluster.network.call(
                address,
                controller.userAddress,
                "POST",
                "/v1/report",
                WireFormat.CBOR.encode(heartbeatBody()),
                HEARTBEAT_TIMEOUT_MILLIS,
                (status, responseBody, retryAfterSeconds) ->
                        runUnlessHung(() -> receiveResponse(heartbeat, status, responseBody)));
    }

    private void timeOutAfter(long delayMillis, SentHeartbeat heartbeat) {
        clock.schedule(
                delayMillis, () -> runUnlessHung(() -> onHeartbeatResponse(heartbeat, 0, null)));
    }

    /**
     * Handles the response to a heartbeat; a machine that is unreachable inbound gets the timeout
     * instead.
     */
    private void receiveResponse(SentHeartbeat heartbeat, int status, byte[] responseBody) {
        if (heartbeat.number != heartbeatNumber) {
            return;
        }
        if (unreachableInbound && status != 0) {
            long elapsedMillis = clock.nowMillis() - heartbeat.sentMillis;
            timeOutAfter(Math.max(0, HEARTBEAT_TIMEOUT_MILLIS - elapsedMillis), heartbeat);
            return;
        }
        onHeartbeatResponse(heartbeat, status, responseBody);
    }

    private void onHeartbeatResponse(SentHeartbeat heartbeat, int status, byte[] responseBody) {
        if (heartbeat.number != heartbeatNumber) {
            return;
        }
        heartbeatInFlight = false;
        ObjectNode response = WireFormat.CBOR.decodeMap(responseBody);
        if (status == 200 && response != null) {
            if (clock.nowMillis() - heartbeat.sentMillis > HEARTBEAT_TIMEOUT_MILLIS
                    || heartbeat.agentEpoch != agentEpoch
                    || !response.has("epoch")
                    || response.path("epoch").asLong() < fencingToken) {
                return;
            }
            leaseStartMillis = heartbeat.sentMillis;
            adoptToken(response.path("epoch").asLong());
            response.path("orders").forEach(this::execute);
            return;
        }
        String redirectMemberId =
                status == 421 && response != null ? response.path("controller").asText("") : "";
        int redirectIndex = cluster.indexOfController(redirectMemberId);
        if (redirectIndex >= 0 && redirectIndex != targetController) {
            targetController = redirectIndex;
            heartbeatDue = true;
        } else {
            targetController = (targetController + 1) % cluster.controllers.size();
            lastHeartbeatMillis = clock.nowMillis() - cluster.heartbeatIntervalMillis + 1000;
        }
    }

    private void adoptToken(long token) {
        if (token > fencingToken) {
            fencingToken = token;
            heartbeatDue = true;
        }
    }

    private void handleCommand(IncomingRequest request) {
        if (unreachableInbound) {
            return;
        }
        endTasksIfLeaseExpired();
        ObjectNode command =
                request.path.equals("/orders")
                        ? WireFormat.CBOR.decodeMap(request.body)
                        : WireFormat.newMap();
        if (request.path.equals("/orders")) {
            if (command.path("epoch").asLong() < fencingToken
                    || command.path("tenure").asLong() != agentEpoch) {
                request.respond(409, heartbeatBody());
                return;
            }
            adoptToken(command.path("epoch").asLong());
            command.path("orders").forEach(this::execute);
        }
        request.respond(200, heartbeatBody());
    }

    private void execute(JsonNode command) {
        String taskId = command.path("member").asText();
        long attempt = command.path("try").asLong();
        SimulatedTask task = tasks.get(taskKey(taskId, attempt));
        switch (command.path("verb").asText()) {
            case "start" -> {
                if (task == null) {
                    startTask(taskId, attempt);
                }
            }
            case "kill" -> {
                if (task != null && !task.hasEnded()) {
                    killTask(task, command.path("drainS").asDouble());
                }
            }
            case "clear" -> {
                if (task != null && task.hasEnded()) {
                    tasks.remove(taskKey(taskId, attempt));
                }
            }
            default -> throw new IllegalStateException("an unknown order " + command);
        }
    }

    /**
     * Ends a task, after a last checkpoint if the task saves checkpoints and the drain time is long
     * enough for one.
     */
    private void killTask(SimulatedTask task, double drainSeconds) {
        JobSpec job = cluster.jobOfTask(task.id);
        boolean checkpointsFirst =
                task.status.equals("running")
                        && job.checkpointIntervalSeconds() > 0
                        && drainSeconds >= job.checkpointSeconds();
        if (checkpointsFirst) {
            task.status = "saving";
            scheduleForTask(
                    task,
                    (long) (job.checkpointSeconds() * 1000),
                    () -> {
                        if (!task.hasEnded()) {
                            task.checkpointStored = true;
                            endTask(task, "halted");
                        }
                    });
        } else if (!task.status.equals("saving") || drainSeconds == 0) {
            endTask(task, "halted");
        }
    }

    /**
     * Runs an action after a delay in ms, unless the task has been removed from the machine by
     * then.
     */
    private void scheduleForTask(SimulatedTask task, long delayMillis, Runnable action) {
        clock.schedule(
                delayMillis,
                () ->
                        runUnlessHung(
                                () -> {
                                    if (tasks.get(taskKey(task.id, task.attempt)) == task) {
                                        action.run();
                                    }
                                }));
    }

    private void startTask(String taskId, long attempt) {
        SimulatedTask task = new SimulatedTask(taskId, attempt);
        JobSpec job = cluster.jobOfTask(taskId);
        String refusal = refusalReason(taskId, job);
        tasks.put(taskKey(taskId, attempt), task);
        if (refusal != null) {
            endTask(task, refusal);
        } else {
            scheduleForTask(task, imageFetchMillis(job), () -> onImageFetched(task, job));
        }
    }

    /** The reason why the machine can't accept the task at present; null if it can. */
    private String refusalReason(String taskId, JobSpec job) {
        if (job == null) {
            return "unknown";
        }
        double usedCpus = 0;
        double usedMemoryGb = 0;
        double usedGpus = 0;
        boolean alreadyHere = false;
        for (SimulatedTask otherTask : tasks.values()) {
            if (!otherTask.hasEnded()) {
                JobSpec otherJob = cluster.jobOfTask(otherTask.id);
                usedCpus += otherJob.cpus();
                usedMemoryGb += otherJob.memoryGb();
                usedGpus += otherJob.gpus();
                alreadyHere |= otherTask.id.equals(taskId);
            }
        }
        if (alreadyHere) {
            return "busy";
        }
        boolean fits =
                usedCpus + job.cpus() <= machineType.cpus() + 1e-9
                        && usedMemoryGb + job.memoryGb() <= machineType.memoryGb() + 1e-9
                        && usedGpus + job.gpus() <= machineType.gpus() + 1e-9;
        return fits ? null : "full";
    }

    private void onImageFetched(SimulatedTask task, JobSpec job) {
        if (!task.status.equals("fetching")) {
            return;
        }
        cluster.onTaskStarted(this, task, job);
        heartbeatDue = true;
        if (failsTasks) {
            failSoon(task);
        } else if (job.isGang() && cluster.completedTasks.contains(task.id)) {
            endTask(task, "done");
        } else if (job.isGang()) {
            waitForGang(task, job);
        } else {
            beginRunning(task, job);
        }
    }

    private void failSoon(SimulatedTask task) {
        task.status = "running";
        scheduleForTask(
                task,
                700,
                () -> {
                    if (!task.hasEnded()) {
                        endTask(task, "error");
                    }
                });
    }

    private void waitForGang(SimulatedTask task, JobSpec job) {
        task.status = "waiting";
        scheduleForTask(
                task,
                GANG_WAIT_MILLIS,
                () -> {
                    if (task.status.equals("waiting")) {
                        endTask(task, "incomplete");
                    }
                });
        cluster.startGangIfComplete(job);
    }

    /**
     * Time in ms until the job's image is on the machine, which fetches each image once for all
     * tasks and keeps it.
     */
    private long imageFetchMillis(JobSpec job) {
        if (cluster.imageFetchGbPerSecond <= 0) {
            return 300;
        }
        Long readyAtMillis = imageReadyAtMillis.get(job.image());
        if (readyAtMillis == null) {
            cluster.fetchedImageGb += job.imageSizeGb();
            readyAtMillis =
                    clock.nowMillis()
                            + (long) (job.imageSizeGb() / cluster.imageFetchGbPerSecond * 1000);
            imageReadyAtMillis.put(job.image(), readyAtMillis);
        }
        return Math.max(50, readyAtMillis - clock.nowMillis());
    }

    void beginRunning(SimulatedTask task, JobSpec job) {
        task.status = "running";
        if (!job.isService()) {
            double runtimeSeconds = job.runtimeSeconds() * (0.5 + clock.random.nextDouble());
            scheduleForTask(
                    task,
                    cluster.completedTasks.contains(task.id) ? 0 : (long) (runtimeSeconds * 1000),
                    () -> {
                        if (task.status.equals("running")) {
                            cluster.onTaskCompleted(task, job);
                            endTask(task, "done");
                        }
                    });
        }
    }

    void endTask(SimulatedTask task, String reason) {
        task.status = "ended";
        task.endReason = reason;
        heartbeatDue = true;
        JobSpec job = cluster.jobOfTask(task.id);
        if (job != null && job.isGang()) {
            cluster.onGangTaskEnded(job, task.attempt, reason);
        }
    }
}
