package io.quincelead.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.app.Controller;
import io.quincelead.cluster.JobSpec;
import io.quincelead.config.OperatorSettings;
import io.quincelead.config.Settings;
import io.quincelead.transport.WireFormat;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Runs real controllers against a simulated store, cloud, network, workers and users in simulated
 * time, and checks the protocol's invariants after each event.
 */
public final class SimulatedCluster {
    public static final String STORE_ADDRESS = "10.2.0.1:2379";
    public static final String CLOUD_ADDRESS = "10.2.0.2:8443";
    public static final String USERS_ADDRESS = "10.3.0.1:0";

    /** One controller's host and addresses; its process may be killed and restarted. */
    public final class SimulatedController {
        public final String memberId;
        public final String ip;
        final String userAddress;
        final String peerAddress;
        private SimulatedClock.SimulatedProcess process;

        SimulatedController(int index) {
            memberId = "worker-" + index;
            ip = "10.0.0." + (index + 1);
            userAddress = ip + ":8080";
            peerAddress = ip + ":8081";
        }

        public void start() {
            process = clock.newProcess();
            Map<String, String> peers = new LinkedHashMap<>();
            controllers.forEach(peer -> peers.put(peer.memberId, peer.peerAddress));
            Settings settings =
                    new Settings(
                            memberId,
                            "a",
                            userAddress,
                            peerAddress,
                            peers,
                            CLOUD_ADDRESS,
                            STORE_ADDRESS,
                            controllers.size(),
                            25,
                            teams,
                            objectives,
                            new Settings.WorkerTimings(
                                    heartbeatIntervalMillis / 1000.0,
                                    workerLeaseMillis / 1000.0,
                                    SimulatedWorker.GANG_WAIT_MILLIS / 1000.0,
                                    6,
                                    cancellationDeadlineSeconds),
                            storeLimits,
                            new Settings.CloudLimits(4, 4),
                            new Settings.ProcessLimits(1, 256, 500));
            SimulatedClock.SimulatedProcess currentProcess = process;
            Controller controller =
                    new Controller(
                            currentProcess,
                            network.transportFor(ip, currentProcess),
                            settings,
                            operatorSettings);
            network.setHandler(userAddress, controller::handle);
            network.setHandler(peerAddress, controller::handlePeerRequest);
        }

        public void kill() {
            process.kill();
            network.setHandler(userAddress, null);
            network.setHandler(peerAddress, null);
        }

        boolean isStarted() {
            return process != null;
        }

        public boolean isAlive() {
            return !process.isDead();
        }
    }

    public final SimulatedClock clock;
    public final SimulatedNetwork network;
    public final SimulatedStore store;
    public final SimulatedCloud cloud;

    /** Injects faults into this cluster. */
    final FaultInjector faults = new FaultInjector(this);

    public final List<SimulatedController> controllers = new ArrayList<>();
    public final Map<String, Settings.Team> teams = new LinkedHashMap<>();
    public final List<Settings.ServiceLevelObjective> objectives = new ArrayList<>();
    public long heartbeatIntervalMillis = 1000;
    public Settings.StoreLimits storeLimits = new Settings.StoreLimits(400, 200, 8, 12);
    public long workerLeaseMillis = 10_000;

    /** GB per second at which machines fetch images; with 0, every fetch takes 0.3 s. */
    public double imageFetchGbPerSecond;

    /** Total size in GB of the images that machines have fetched. */
    public double fetchedImageGb;

    public OperatorSettings operatorSettings = OperatorSettings.DEFAULTS;
    public final double cancellationDeadlineSeconds = 40;

    /** Time in ms for which a user retries a submission. */
    public long submissionRetryWindowMillis = 60_000;

    /**
     * Time in ms that users accept without an answer about a job; after it the job counts as
     * forgotten.
     */
    static final long UNANSWERED_LIMIT_MILLIS = 75_000;

    final Map<String, JobSpec> jobsById = new HashMap<>();
    final Set<String> completedTasks = new HashSet<>();
    private final Set<String> acceptedJobs = new HashSet<>();
    private final Map<String, String> finalStatusByJob = new HashMap<>();
    private final Map<String, Long> cancellationConfirmedAtMillis = new HashMap<>();

    /**
     * Time in ms from the first submission attempt to the first response that accepts the job, by
     * job id.
     */
    final Map<String, Long> acceptanceDelayMillis = new HashMap<>();

    /** When a query about a job was last answered; its acceptance counts as the first answer. */
    private final Map<String, Long> lastAnswerAtMillis = new HashMap<>();

    private final ServiceLevelChecker serviceLevels = new ServiceLevelChecker(this);
    final SubmissionReachability reachability = new SubmissionReachability(this);

    /** Time from which on no injected fault is in force. */
    private long faultsEndAtMillis;

    private final Set<String> cancellationRequests = new HashSet<>();

    /** The highest number of done tasks that any response has reported, by job id. */
    private final Map<String, Integer> maxReportedDoneTasks = new HashMap<>();

    /** Ids of submitted jobs that can't run on any machine or lack a field. */
    final Set<String> unacceptableJobs = new HashSet<>();

    final SimulatedUsers users = new SimulatedUsers(this);
    private final StarvationChecker starvation = new StarvationChecker(this);
    private final Set<String> violations = new HashSet<>();
    public final Map<String, Integer> taskStartsByJob = new HashMap<>();

    /**
     * Off when large clusters are measured, since the checks visit every task after every event.
     */
    public boolean invariantChecksEnabled = true;

    /** Number of task starts; only a start can take a team over its limit. */
    long taskStartCount;

    private long lastCheckedTaskStartCount = -1;

    public SimulatedCluster(long seed) {
        this(
                seed,
                List.of(
                        SimulatedCloud.MachineType.small(5, List.of("a", "b"), 8),
                        new SimulatedCloud.MachineType(
                                "big", 16, 4, 64, 1.0, 0.4, 8, List.of("a", "b"), 4)));
    }

    public SimulatedCluster(long seed, List<SimulatedCloud.MachineType> machineTypes) {
        this(seed, machineTypes, 3);
    }

    public SimulatedCluster(
            long seed, List<SimulatedCloud.MachineType> machineTypes, int controllerCount) {
        clock = new SimulatedClock(seed);
        network = new SimulatedNetwork(clock);
        store = new SimulatedStore(clock, 12);
        cloud = new SimulatedCloud(this, machineTypes);
        network.setHandler(STORE_ADDRESS, request -> store.handle(request, network.senderIp()));
        network.setHandler(CLOUD_ADDRESS, cloud::handle);
        teams.put("red", new Settings.Team("red", 16, 40, 2, 4));
        teams.put("blue", new Settings.Team("blue", 16, 24, 2, 8));
        objectives.add(new Settings.ServiceLevelObjective("finished", "slow", 200, 0.9, 1));
        for (int i = 0; i < controllerCount; i++) {
            controllers.add(new SimulatedController(i));
        }
        clock.setObserver(this::checkTaskInvariants);
        clock.schedule(1_000, this::checkUnansweredJobs);
        clock.schedule(1_000, this::checkStarvation);
        clock.schedule(0, this::checkReachability);
    }

    private void checkReachability() {
        reachability.check();
        clock.schedule(SubmissionReachability.CHECK_INTERVAL_MILLIS, this::checkReachability);
    }

    private void checkStarvation() {
        if (invariantChecksEnabled) {
            starvation.check(faultsEndAtMillis);
        }
        clock.schedule(1_000, this::checkStarvation);
    }

    /**
     * Seconds for which a job could have started before its first start, judged by the free
     * capacity of the machines and its team's limits.
     */
    int startableSeconds(String id) {
        return starvation.startableSeconds(id);
    }

    /** Extends the period in which faults are in force to at least this time. */
    public void expectFaultsUntil(long untilMillis) {
        faultsEndAtMillis = Math.max(faultsEndAtMillis, untilMillis);
    }

    /** Checks how well each class, team and job size was served, and which jobs were starved. */
    public ServiceLevelChecker serviceLevels() {
        return serviceLevels;
    }

    public void start() {
        controllers.forEach(SimulatedController::start);
    }

    int indexOfController(String memberId) {
        for (int i = 0; i < controllers.size(); i++) {
            if (controllers.get(i).memberId.equals(memberId)) {
                return i;
            }
        }
        return -1;
    }

    /** The index of the leader among the controllers; -1 if there is none. */
    int leaderIndex() {
        JsonNode leader = store.value("a/lead");
        return leader == null ? -1 : indexOfController(leader.path("m").asText());
    }

    // ---- building blocks of scenarios

    /** Simulated milliseconds since the start. */
    long nowMillis() {
        return clock.nowMillis();
    }

    /** The simulation's only source of random numbers. */
    SplittableRandom random() {
        return clock.random;
    }

    /** Schedules an action after a delay in ms. */
    void after(long delayMillis, Runnable action) {
        clock.schedule(delayMillis, action);
    }

    /** Runs all events that are due up to a time in ms since the start. */
    void runUntil(long untilMillis) {
        clock.runUntil(untilMillis);
    }

    /** Submits a job to a random controller after a delay in ms. */
    void submitAfter(long delayMillis, JobSpec job) {
        after(delayMillis, () -> submit(job));
    }

    /** Submits a job to the given controller after a delay in ms. */
    void submitAfter(long delayMillis, JobSpec job, int controller) {
        after(delayMillis, () -> submit(job, controller));
    }

    /** Cancels a job at a random controller after a delay in ms. */
    void cancelAfter(long delayMillis, String id) {
        after(delayMillis, () -> cancel(id));
    }

    /** Cancels a job at the given controller after a delay in ms. */
    void cancelAfter(long delayMillis, String id, int controller) {
        after(delayMillis, () -> cancel(id, controller));
    }

    /** Queries a job after a delay in ms, at the controller that its user chooses. */
    void queryAfter(long delayMillis, String id) {
        after(delayMillis, () -> query(id));
    }

    /** Queries a job at the given controller after a delay in ms. */
    void queryAfter(long delayMillis, String id, int controller) {
        after(delayMillis, () -> query(id, controller));
    }

    /** Sets a team's guaranteed and maximum CPUs; the team gets no GPUs. */
    void setTeam(String name, double guaranteedCpus, double maxCpus) {
        setTeam(name, guaranteedCpus, maxCpus, 0, 0);
    }

    /** Sets a team's guaranteed and maximum CPUs and GPUs. */
    void setTeam(
            String name,
            double guaranteedCpus,
            double maxCpus,
            double guaranteedGpus,
            double maxGpus) {
        teams.put(name, new Settings.Team(name, guaranteedCpus, maxCpus, guaranteedGpus, maxGpus));
    }

    JobSpec jobOfTask(String taskId) {
        return jobsById.get(taskId.substring(0, taskId.indexOf('/')));
    }

    public Set<String> violations() {
        return violations;
    }

    void recordViolation(String rule, String detail) {
        violations.add(rule + ": " + detail);
    }

    // ---- invariants of machines and tasks

    /** Called when a task's image has been fetched and the task starts. */
    void onTaskStarted(SimulatedWorker worker, SimulatedWorker.SimulatedTask task, JobSpec job) {
        taskStartsByJob.merge(job.jobId(), 1, Integer::sum);
        serviceLevels.onTaskStarted(job, task.id);
        taskStartCount++;
        if (!invariantChecksEnabled) {
            return;
        }
        int inZone = 0;
        boolean otherZone = false;
        for (SimulatedWorker otherWorker : cloud.machines.values()) {
            for (SimulatedWorker.SimulatedTask otherTask : otherWorker.tasks.values()) {
                if (!otherTask.occupiesMachine() || otherTask == task) {
                    continue;
                }
                if (otherTask.id.equals(task.id)) {
                    recordViolation(
                            "ran_twice",
                            task.id + " on " + otherWorker.host + " and " + worker.host);
                } else if (jobOfTask(otherTask.id) == job) {
                    otherZone |= !otherWorker.zone.equals(worker.zone);
                    inZone += otherWorker.zone.equals(worker.zone) ? 1 : 0;
                }
            }
        }
        boolean misplaced =
                job.machineTypes() != null
                                && !job.machineTypes().contains(worker.machineType.name())
                        || job.zone() != null && !job.zone().equals(worker.zone)
                        || worker.spot && !job.preemptible()
                        || job.zoneAffinity() && otherZone
                        || job.zoneSpread() && inZone + 1 > (job.taskCount() + 1) / 2;
        if (misplaced) {
            recordViolation("wrong_place", task.id + " on " + worker.host);
        }
        Long confirmedAtMillis = cancellationConfirmedAtMillis.get(job.jobId());
        if (confirmedAtMillis != null) {
            recordViolation("ran_cancelled", task.id + " starts");
        }
    }

    /**
     * Called when a hung machine resumes: tasks whose cancellation was confirmed to the user must
     * no longer be on it.
     */
    void onWorkerResumed(SimulatedWorker worker) {
        for (SimulatedWorker.SimulatedTask task : worker.tasks.values()) {
            if (task.occupiesMachine()
                    && cancellationConfirmedAtMillis.containsKey(jobOfTask(task.id).jobId())) {
                recordViolation(
                        "ran_cancelled", task.id + " goes on after " + worker.host + " hung");
            }
        }
    }

    /**
     * Checks team limits and cancelled jobs; called after each event. If no task has started since
     * the last check, no limit can have been exceeded.
     */
    private void checkTaskInvariants() {
        if (!invariantChecksEnabled
                || taskStartCount == lastCheckedTaskStartCount
                        && cancellationConfirmedAtMillis.isEmpty()) {
            return;
        }
        lastCheckedTaskStartCount = taskStartCount;
        Map<String, double[]> usageByTeam = new HashMap<>();
        for (SimulatedWorker worker : cloud.machines.values()) {
            for (SimulatedWorker.SimulatedTask task : worker.tasks.values()) {
                if (!task.occupiesMachine()) {
                    continue;
                }
                JobSpec job = jobOfTask(task.id);
                double[] usage = usageByTeam.computeIfAbsent(job.team(), key -> new double[2]);
                usage[0] += job.cpus();
                usage[1] += job.gpus();
                Long confirmedAtMillis = cancellationConfirmedAtMillis.get(job.jobId());
                if (confirmedAtMillis != null
                        && clock.nowMillis() - confirmedAtMillis
                                > cancellationDeadlineSeconds * 1000) {
                    recordViolation("ran_cancelled", task.id + " on " + worker.host);
                }
            }
        }
        usageByTeam.forEach(
                (team, usage) -> {
                    if (usage[0] > teams.get(team).maxCpus() + 1e-6
                            || usage[1] > teams.get(team).maxGpus() + 1e-6) {
                        recordViolation("quota", team);
                    }
                });
    }

    void onTaskCompleted(SimulatedWorker.SimulatedTask task, JobSpec job) {
        completedTasks.add(task.id);
        users.onTaskCompleted(job);
        if (job.isGang()) {
            for (int i = 0; i < job.taskCount(); i++) {
                completedTasks.add(job.jobId() + "/" + i);
            }
            for (SimulatedWorker worker : cloud.machines.values()) {
                for (SimulatedWorker.SimulatedTask otherTask :
                        new ArrayList<>(worker.tasks.values())) {
                    if (otherTask != task
                            && jobOfTask(otherTask.id) == job
                            && otherTask.attempt == task.attempt
                            && otherTask.status.equals("running")) {
                        worker.endTask(otherTask, "done");
                    }
                }
            }
        }
    }

    void startGangIfComplete(JobSpec job) {
        Map<Long, List<Object[]>> waiting = new HashMap<>();
        for (SimulatedWorker worker : cloud.machines.values()) {
            for (SimulatedWorker.SimulatedTask task : worker.tasks.values()) {
                if (jobOfTask(task.id) == job && task.status.equals("waiting")) {
                    waiting.computeIfAbsent(task.attempt, attempt -> new ArrayList<>())
                            .add(new Object[] {worker, task});
                }
            }
        }
        waiting.values().stream()
                .filter(gangTasks -> gangTasks.size() == job.taskCount())
                .forEach(
                        gangTasks ->
                                gangTasks.forEach(
                                        gangTask ->
                                                ((SimulatedWorker) gangTask[0])
                                                        .beginRunning(
                                                                (SimulatedWorker.SimulatedTask)
                                                                        gangTask[1],
                                                                job)));
    }

    void onGangTaskEnded(JobSpec job, long attempt, String reason) {
        if (reason.equals("done") || reason.equals("peers")) {
            return;
        }
        clock.schedule(
                3000,
                () -> {
                    for (SimulatedWorker worker : cloud.machines.values()) {
                        for (SimulatedWorker.SimulatedTask task :
                                new ArrayList<>(worker.tasks.values())) {
                            if (jobOfTask(task.id) == job
                                    && task.attempt == attempt
                                    && task.status.equals("running")) {
                                worker.endTask(task, "peers");
                            }
                        }
                    }
                });
    }

    // ---- operators' commands

    /**
     * Sends an operator's command to a controller; {@code onResponse} receives the status and the
     * response, status 0 if there was none.
     */
    public void sendOperatorCommand(
            int controller,
            String path,
            ObjectNode body,
            java.util.function.BiConsumer<Integer, ObjectNode> onResponse) {
        network.call(
                USERS_ADDRESS,
                controllers.get(controller).peerAddress,
                "POST",
                path,
                WireFormat.JSON.encode(body),
                3000,
                (status, responseBody, retryAfterSeconds) ->
                        onResponse.accept(status, WireFormat.JSON.decodeMap(responseBody)));
    }

    // ---- users' requests and invariants of the responses

    public int acceptedJobCount() {
        return acceptedJobs.size();
    }

    public boolean wasToldFinalStatus(String id, String status) {
        return status.equals(finalStatusByJob.get(id));
    }

    private SimulatedController randomController() {
        return controllers.get(clock.random.nextInt(controllers.size()));
    }

    /**
     * The controller that a job's user queries: for a third of the jobs always the same one, even
     * if it is down, for the others a random one.
     */
    private SimulatedController controllerForQuery(String id) {
        SimulatedController any = randomController();
        int number = id.hashCode() & 0xffff;
        return number % 3 == 0 ? controllers.get(number / 3 % controllers.size()) : any;
    }

    /**
     * Checks that after all faults each accepted job that its user didn't cancel still gets
     * answers. Each job is checked on its own, since answers to other users don't make up for a
     * query that is never answered.
     */
    private void checkUnansweredJobs() {
        for (String id : acceptedJobs) {
            if (!cancellationRequests.contains(id)
                    && clock.nowMillis() - Math.max(lastAnswerAtMillis.get(id), faultsEndAtMillis)
                            > UNANSWERED_LIMIT_MILLIS) {
                recordViolation("forgotten", id + " got no answer for 75 s");
            }
        }
        clock.schedule(1_000, this::checkUnansweredJobs);
    }

    /** Stores the job's specification, which the simulated workers look up. */
    public void upload(JobSpec job) {
        jobsById.put(job.jobId(), job);
    }

    public void submit(JobSpec job) {
        submit(job, -1);
    }

    /**
     * Submits a job to one controller; with a negative index, to a random one, as behind a load
     * balancer.
     */
    public void submit(JobSpec job, int controller) {
        upload(job);
        serviceLevels.onSubmitted(job);
        submit(job, controller, clock.nowMillis() + submissionRetryWindowMillis);
    }

    private void submit(JobSpec job, int controller, long untilMillis) {
        boolean alreadyAccepted = acceptedJobs.contains(job.jobId());
        String previousFinalStatus = finalStatusByJob.get(job.jobId());
        int previouslyDone = maxReportedDoneTasks.getOrDefault(job.jobId(), 0);
        SimulatedController target =
                controller < 0 ? randomController() : controllers.get(controller);
        reachability.onAttempt(job.jobId(), target);
        network.call(
                USERS_ADDRESS,
                target.userAddress,
                "POST",
                "/v2/runs",
                WireFormat.CBOR.encode(job.encode()),
                5000,
                (status, body, retryAfterSeconds) -> {
                    if (status == 200 || status == 201) {
                        if (acceptedJobs.add(job.jobId())) {
                            lastAnswerAtMillis.put(job.jobId(), clock.nowMillis());
                            acceptanceDelayMillis.put(
                                    job.jobId(),
                                    clock.nowMillis()
                                            - serviceLevels.submittedAtMillis(job.jobId()));
                            clock.schedule(5000, () -> pollRepeatedly(job.jobId()));
                            users.onAccepted(job);
                        }
                        if (status == 201 && alreadyAccepted) {
                            recordViolation("forgotten", job.jobId() + " was accepted once more");
                        }
                        checkAnswer(
                                job.jobId(),
                                WireFormat.CBOR.decodeMap(body),
                                previousFinalStatus,
                                status == 200 ? previouslyDone : 0);
                    } else if (status == 400 || status == 422) {
                        recordViolation("forgotten", job.jobId() + " got " + status);
                    } else if (clock.nowMillis() < untilMillis) {
                        clock.schedule(
                                1000L * Math.max(1, retryAfterSeconds),
                                () -> submit(job, controller, untilMillis));
                    }
                });
    }

    private void pollRepeatedly(String id) {
        query(id);
        clock.schedule(finalStatusByJob.containsKey(id) ? 30_000 : 5_000, () -> pollRepeatedly(id));
    }

    /** Sends one query for a job, which may never have been submitted. */
    public void query(String id) {
        query(id, -1);
    }

    /**
     * Sends one query to a controller; with a negative index, to the one that the job's user
     * chooses.
     */
    void query(String id, int controller) {
        boolean alreadyAccepted = acceptedJobs.contains(id);
        String previousFinalStatus = finalStatusByJob.get(id);
        int previouslyDone = maxReportedDoneTasks.getOrDefault(id, 0);
        network.call(
                USERS_ADDRESS,
                (controller < 0 ? controllerForQuery(id) : controllers.get(controller)).userAddress,
                "GET",
                "/v2/runs/" + id,
                null,
                2000,
                (status, body, retryAfterSeconds) -> {
                    if (status == 404 && alreadyAccepted) {
                        recordViolation("forgotten", id);
                    } else if (status == 200) {
                        if (!jobsById.containsKey(id)) {
                            recordViolation("invented", id);
                        }
                        lastAnswerAtMillis.put(id, clock.nowMillis());
                        checkAnswer(
                                id,
                                WireFormat.CBOR.decodeMap(body),
                                previousFinalStatus,
                                previouslyDone);
                    }
                });
    }

    /** Submits a job that must be rejected, since it can't run or lacks a field. */
    void submitUnacceptable(String id, byte[] body, int expected) {
        unacceptableJobs.add(id);
        network.call(
                USERS_ADDRESS,
                randomController().userAddress,
                "POST",
                "/v2/runs",
                body,
                5000,
                (status, responseBody, retryAfterSeconds) -> {
                    if (status == 200 || status == 201) {
                        recordViolation("accepted", id + " can't run or lacks a field");
                    } else if (status == expected) {
                        users.expectedRefusalCount++;
                    } else if (status == 400 || status == 422) {
                        recordViolation(
                                "accepted", id + " got " + status + " instead of " + expected);
                    }
                });
    }

    /**
     * Checks a whole response: besides the status, the number of done tasks must not be lower than
     * any response had reported when the request was sent.
     */
    void checkAnswer(String id, ObjectNode body, String previousFinalStatus, int previouslyDone) {
        checkAnswer(id, body.path("status").asText(), previousFinalStatus);
        if (body.has("done") && body.path("done").asInt() < previouslyDone) {
            recordViolation(
                    "older",
                    id
                            + ": "
                            + body.path("done").asInt()
                            + " tasks are done, there were "
                            + previouslyDone);
        }
        maxReportedDoneTasks.merge(id, body.path("done").asInt(), Math::max);
    }

    /**
     * Checks the job status in a response against the final status, if any, that had been reported
     * when the request was sent.
     */
    public void checkAnswer(String id, String status, String previousFinalStatus) {
        if (previousFinalStatus != null && !previousFinalStatus.equals(status)) {
            recordViolation("went_back", id + " was " + previousFinalStatus + ", is " + status);
        }
        if (status.equals("cancelled") && !cancellationRequests.contains(id)) {
            recordViolation("went_back", id + " was never cancelled by its user");
        }
        if (status.equals("done")) {
            JobSpec job = jobsById.get(id);
            for (int i = 0; job != null && i < job.taskCount(); i++) {
                if (!completedTasks.contains(id + "/" + i)) {
                    recordViolation("not_done", id + "/" + i);
                }
            }
        }
        if (status.equals("done") || status.equals("cancelled")) {
            if (finalStatusByJob.putIfAbsent(id, status) == null) {
                users.onFinalStatus(id);
            }
        }
    }

    public void cancel(String id) {
        cancel(id, -1);
    }

    /** Cancels a job at one controller; with a negative index, at a random one. */
    public void cancel(String id, int controller) {
        cancellationRequests.add(id);
        String previousFinalStatus = finalStatusByJob.get(id);
        boolean alreadyAccepted = acceptedJobs.contains(id);
        int previouslyDone = maxReportedDoneTasks.getOrDefault(id, 0);
        network.call(
                USERS_ADDRESS,
                (controller < 0 ? randomController() : controllers.get(controller)).userAddress,
                "POST",
                "/v2/runs/" + id + "/cancel",
                WireFormat.CBOR.encode(WireFormat.newMap()),
                5000,
                (status, body, retryAfterSeconds) -> {
                    if (status == 200) {
                        String jobStatus = WireFormat.CBOR.decodeMap(body).path("status").asText();
                        checkAnswer(
                                id,
                                WireFormat.CBOR.decodeMap(body),
                                previousFinalStatus,
                                previouslyDone);
                        if (!jobStatus.equals("cancelled") && !jobStatus.equals("done")) {
                            recordViolation(
                                    "went_back",
                                    id + " is " + jobStatus + " to whoever cancels it");
                        }
                        if (jobStatus.equals("cancelled")) {
                            cancellationConfirmedAtMillis.putIfAbsent(id, clock.nowMillis());
                        }
                    } else if (status == 404) {
                        if (alreadyAccepted) {
                            recordViolation("forgotten", id + " can't be cancelled");
                        } else {
                            clock.schedule(1000, () -> cancel(id, controller));
                        }
                    } else {
                        clock.schedule(
                                1000L * Math.max(1, retryAfterSeconds),
                                () -> cancel(id, controller));
                    }
                });
    }

    /** Time at which the job's cancellation was confirmed to its user; -1 if it wasn't yet. */
    public long cancellationConfirmedAtMillis(String id) {
        return cancellationConfirmedAtMillis.getOrDefault(id, -1L);
    }

    boolean isCancellationRequested(String id) {
        return cancellationRequests.contains(id);
    }

    Set<String> acceptedJobs() {
        return acceptedJobs;
    }

    boolean hasFinalStatus(String id) {
        return finalStatusByJob.containsKey(id);
    }

    /** Accepted jobs, other than services, whose users have not been told a final status. */
    public List<String> unfinishedJobs() {
        List<String> result = new ArrayList<>();
        for (String id : acceptedJobs) {
            if (!finalStatusByJob.containsKey(id) && !jobsById.get(id).isService()) {
                result.add(id);
            }
        }
        return result;
    }
}
