package standins2;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpServer;
import java.io.File;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * A small deployment on loopback: the project's controllers as processes, all else as stand-ins.
 * Checks the rules of PROTOCOL, "Rules", by what users, workers and the cloud see.
 */
final class Lab {
    /** A submitted job. {@code runS}: how long each of its tasks really runs. */
    static final class Job {
        final String id;
        final ObjectNode spec;
        final double runS;
        final boolean failsAlways;
        long sentAt;
        long acceptedAt;
        String lastStatus = "";
        boolean cancelAsked;
        long cancelledAt;
        long startedAt;
        long doneAt;
        int badPolls;
        final Set<String> done = new HashSet<>();
        final Set<String> started = new HashSet<>();

        Job(String id, ObjectNode spec, double runS, boolean failsAlways) {
            this.id = id;
            this.spec = spec;
            this.runS = runS;
            this.failsAlways = failsAlways;
        }

        double runS() {
            return runS;
        }

        boolean failsAlways() {
            return failsAlways;
        }

        boolean gang() {
            return spec.path("mode").asText().equals("ensemble");
        }

        boolean service() {
            return spec.path("mode").asText().equals("standing");
        }

        double vcpus() {
            return spec.path("vcpus").asDouble();
        }

        double ramGb() {
            return spec.path("ramGb").asDouble();
        }

        int members() {
            return spec.path("members").asInt();
        }

        boolean complete() {
            return done.size() == members();
        }
    }

    /** A controller process. */
    final class Controller {
        final int index;
        final String name;
        final String address;
        final String peerAddress;
        Process process;
        private Path settings;
        private int starts;

        Controller(int index) throws Exception {
            this.index = index;
            this.name = "worker-" + index;
            this.address = "127.0.0.1:" + freePort();
            this.peerAddress = "127.0.0.1:" + freePort();
        }

        void start() throws Exception {
            List<String> command = new ArrayList<>(List.of(runCommand.split(" ")));
            command.add(settings.toString());
            ProcessBuilder builder = new ProcessBuilder(command);
            builder.environment().put("LOG_LEVEL", System.getenv().getOrDefault("LOG_LEVEL", "info"));
            builder.redirectErrorStream(true);
            builder.redirectOutput(
                    ProcessBuilder.Redirect.appendTo(new File(folder.toFile(), name + ".log")));
            process = builder.start();
            starts++;
            note(name + (starts == 1 ? " starts" : " starts again"));
        }

        void kill() throws Exception {
            process.destroyForcibly();
            process.waitFor();
            note(name + " is killed");
        }

        void signal(String signal) throws Exception {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
            note(name + " gets signal " + signal);
        }

        boolean ready() {
            return Wire.call(address, "GET", "/ready", null, 1000).status() == 200;
        }
    }

    final Site site;
    final Store store;
    final Cloud cloud;
    final List<Controller> controllers = new ArrayList<>();
    final Map<String, Job> jobs = new LinkedHashMap<>();
    private final Map<String, Machine> whereTaskIs = new HashMap<>();
    private final Map<String, Set<Machine.Attempt>> waitingGangs = new HashMap<>();
    final Map<String, List<String>> broken = new TreeMap<>();
    private final Path folder;
    private final PrintWriter record;
    private final String runCommand;
    private final long startedAt = System.currentTimeMillis();
    private final List<HttpServer> servers = new ArrayList<>();
    volatile boolean closed;
    int startOrders;

    Lab(Site site, File recordFile) throws Exception {
        this.site = site;
        record = new PrintWriter(recordFile, "UTF-8");
        folder = Files.createTempDirectory("quincelead-review");
        String deploy = Files.readString(Path.of("deploy/service.toml"));
        runCommand = deploy.replaceAll("(?s).*\\nrun = \"([^\"]*)\".*", "$1");
        store = new Store(this);
        cloud = new Cloud(this);
        HttpServer cloudServer = Wire.serve(cloud::handle);
        servers.add(cloudServer);
        for (int i = 0; i < site.controllers; i++) {
            controllers.add(new Controller(i));
        }
        for (Controller controller : controllers) {
            HttpServer storeServer = Wire.serve(r -> store.handle(controller.index, r));
            servers.add(storeServer);
            controller.settings = folder.resolve(controller.name + ".toml");
            Files.writeString(
                    controller.settings,
                    settings(
                            controller,
                            Wire.addressOf(storeServer),
                            Wire.addressOf(cloudServer)));
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        Wire.THREADS.execute(
                () -> {
                    for (int i = 0; !closed; i++) {
                        sleep(20);
                        synchronized (this) {
                            List<Machine> machines;
                            synchronized (cloud) {
                                machines = new ArrayList<>(cloud.machines.values());
                            }
                            machines.forEach(Machine::tick);
                            notifyAll();
                        }
                        if (i % 25 == 0) {
                            cloud.takeShot();
                        }
                    }
                });
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static void waitUnlocked(Object lock, long millis) throws InterruptedException {
        long until = System.currentTimeMillis() + millis;
        while (System.currentTimeMillis() < until) {
            lock.wait(Math.max(1, until - System.currentTimeMillis()));
        }
    }

    private static int nextPort = 15_000 + (int) (ProcessHandle.current().pid() % 1250) * 12;

    /**
     * A port below those that the system gives to outgoing connections. Scripts that run at the
     * same time begin at different ones.
     */
    private static int freePort() throws Exception {
        for (int i = 0; i < 1000; i++) {
            int port = nextPort++;
            try (ServerSocket socket =
                    new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return socket.getLocalPort();
            } catch (java.io.IOException e) {
                // In use; the next one is tried.
            }
        }
        throw new IllegalStateException("no free port");
    }

    private String settings(Controller controller, String storeAddress, String cloudAddress) {
        StringBuilder text = new StringBuilder();
        text.append("member = \"" + controller.name + "\"\n");
        text.append("domain = \"" + site.zones.get(controller.index % site.zones.size()) + "\"\n");
        text.append("listen = \"" + controller.address + "\"\n");
        text.append("cluster_listen = \"" + controller.peerAddress + "\"\n");
        for (Controller other : controllers) {
            if (other != controller) {
                text.append("[[known]]\nmember = \"" + other.name + "\"\n");
                text.append(
                        "domain = \"" + site.zones.get(other.index % site.zones.size()) + "\"\n");
                text.append("address = \"" + other.peerAddress + "\"\n");
            }
        }
        text.append("[external]\ncloud = \"" + cloudAddress + "\"\n");
        text.append("state = \"" + storeAddress + "\"\n[settings]\n");
        text.append("count = " + site.controllers + "\nzones = [");
        site.zones.forEach(zone -> text.append("\"" + zone + "\", "));
        text.append("]\nclock_error_ms = 25.0\n");
        for (Site.Team team : site.teams) {
            text.append("[[settings.teams]]\nname = \"" + team.name() + "\"\n");
            text.append("cpus = " + team.cpus() + "\ncpus_max = " + team.cpusMax() + "\n");
            text.append("gpus = 0.0\ngpus_max = 0.0\n");
        }
        text.append("[settings.workers]\nreport_s = " + site.reportS + "\n");
        text.append("lease_s = " + site.leaseS + "\ngang_wait_s = " + site.gangWaitS + "\n");
        text.append("gang_peer_s = " + site.gangPeerS + "\ncancel_s = " + site.cancelS + "\n");
        text.append("[settings.state]\nrps = " + site.rps + "\nwrite_rps = " + site.writeRps);
        text.append("\nvalue_kb = " + site.valueKb + "\ntxn_ops = " + site.txnOps + "\n");
        text.append("[settings.cloud]\nrps = " + site.cloudRps + "\n");
        text.append("list_lag_s = " + site.listLagS + "\n");
        text.append("[settings.limits]\ncpu_share = " + site.cpuShare + "\n");
        text.append("ram_mb = " + site.ramMb + "\n");
        text.append("max_connections = " + site.maxConnections + "\n");
        return text.toString();
    }

    double seconds() {
        return (System.currentTimeMillis() - startedAt) / 1000.0;
    }

    void note(String text) {
        synchronized (record) {
            record.printf("%8.3f  %s%n", seconds(), text);
            record.flush();
        }
    }

    synchronized void broken(String rule, String text) {
        List<String> texts = broken.computeIfAbsent(rule, r -> new ArrayList<>());
        texts.add(text);
        if (texts.size() <= 40) {
            note("BROKEN " + rule + ": " + text);
        }
    }

    void startAll() throws Exception {
        for (Controller controller : controllers) {
            controller.start();
        }
        long until = System.currentTimeMillis() + 30_000;
        for (Controller controller : controllers) {
            while (!controller.ready()) {
                if (!controller.process.isAlive()) {
                    throw new IllegalStateException(controller.name + " has ended by itself");
                }
                if (System.currentTimeMillis() > until) {
                    throw new IllegalStateException(controller.name + " doesn't become ready");
                }
                sleep(100);
            }
        }
        for (Controller controller : controllers) {
            if (!controller.process.isAlive()) {
                throw new IllegalStateException(controller.name + " has ended by itself");
            }
        }
        note("all controllers are ready");
    }

    void close() {
        synchronized (record) {
            if (closed) {
                return;
            }
            closed = true;
        }
        {
            for (Controller controller : controllers) {
                if (controller.process != null) {
                    controller.process.destroyForcibly();
                    try {
                        controller.process.waitFor();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                }
            }
            note("all processes are ended");
            if (System.getenv("KEEP_LOGS") == null) {
                for (File file : folder.toFile().listFiles()) {
                    file.delete();
                }
                folder.toFile().delete();
            } else {
                System.out.println("logs: " + folder);
            }
        }
    }

    int controllerIndex(String name) {
        for (Controller controller : controllers) {
            if (controller.name.equals(name)) {
                return controller.index;
            }
        }
        return -1;
    }

    // ---- tasks ----

    Job jobOf(String task) {
        return jobs.get(task.substring(0, task.indexOf('/')));
    }

    boolean isKeptDone(String task) {
        return jobOf(task).done.contains(task);
    }

    synchronized void taskStarts(Machine.Attempt attempt, Machine machine) {
        Job job = attempt.job;
        Machine other = whereTaskIs.get(attempt.task);
        if (other != null && other != machine) {
            broken(
                    "ran_twice",
                    attempt.task + " starts on " + machine.host + " while it is on " + other.host);
        }
        whereTaskIs.put(attempt.task, machine);
        if (job.startedAt == 0) {
            job.startedAt = System.currentTimeMillis();
        }
        job.started.add(attempt.task);
        if (job.started.size() <= 3) {
            note(attempt.task + " try " + attempt.number + " starts on " + machine.host);
        }
        if (job.cancelledAt > 0
                && System.currentTimeMillis() - job.cancelledAt > site.cancelS * 1000) {
            broken("ran_cancelled", attempt.task + " starts");
        }
        String team = job.spec.path("owner").asText();
        double used = 0;
        for (String task : whereTaskIs.keySet()) {
            Job owner = jobOf(task);
            used += owner.spec.path("owner").asText().equals(team) ? owner.vcpus() : 0;
        }
        if (used > site.team(team).cpusMax() + 1e-6) {
            broken("quota", team + " uses " + used + " CPUs");
        }
        checkPlace(job, attempt.task, machine);
    }

    private void checkPlace(Job job, String task, Machine machine) {
        if (job.spec.hasNonNull("shapes")) {
            boolean allowed = false;
            for (var shape : job.spec.path("shapes")) {
                allowed |= shape.asText().equals(machine.shape.label());
            }
            if (!allowed) {
                broken("wrong_place", task + " on type " + machine.shape.label());
            }
        }
        if (job.spec.hasNonNull("site")
                && !job.spec.path("site").asText().equals(machine.zone)) {
            broken("wrong_place", task + " in " + machine.zone);
        }
        if (machine.spot && !job.spec.path("preemptible").asBoolean()) {
            broken("wrong_place", task + " on a spot machine");
        }
        Map<String, Integer> zones = new HashMap<>();
        whereTaskIs.forEach(
                (other, where) -> {
                    if (jobOf(other) == job) {
                        zones.merge(where.zone, 1, Integer::sum);
                    }
                });
        if (job.spec.path("oneZone").asBoolean() && zones.size() > 1) {
            broken("wrong_place", task + ": tasks in " + zones);
        }
        if (job.spec.path("scatter").asBoolean()
                && zones.get(machine.zone) > (job.members() + 1) / 2) {
            broken("wrong_place", task + ": scattered tasks in " + zones);
        }
    }

    synchronized void taskLeft(Machine.Attempt attempt, Machine machine, String reason) {
        if (whereTaskIs.get(attempt.task) == machine) {
            whereTaskIs.remove(attempt.task);
        }
        Set<Machine.Attempt> gang =
                waitingGangs.get(attempt.job.id + "#" + attempt.number);
        if (gang != null) {
            gang.remove(attempt);
        }
    }

    synchronized void taskDone(Machine.Attempt attempt) {
        Job job = attempt.job;
        if (job.gang()) {
            for (int i = 0; i < job.members(); i++) {
                job.done.add(job.id + "/" + i);
            }
        }
        job.done.add(attempt.task);
        if (job.complete() && job.doneAt == 0) {
            job.doneAt = System.currentTimeMillis();
            note("last task of " + job.id + " is done");
        }
    }

    synchronized void gangArrives(Machine.Attempt attempt, Machine machine) {
        Set<Machine.Attempt> gang =
                waitingGangs.computeIfAbsent(
                        attempt.job.id + "#" + attempt.number, k -> new HashSet<>());
        gang.add(attempt);
        if (gang.size() == attempt.job.members()) {
            for (Machine.Attempt member : gang) {
                member.status = "running";
                member.runningSince = System.currentTimeMillis();
            }
        }
    }

    synchronized int tasksOnMachines(Job job) {
        return (int) whereTaskIs.keySet().stream().filter(task -> jobOf(task) == job).count();
    }

    /** Breaks of ran_cancelled by tasks that are still on a machine. */
    synchronized void checkCancelled() {
        for (String task : whereTaskIs.keySet()) {
            Job job = jobOf(task);
            if (job.cancelledAt > 0
                    && System.currentTimeMillis() - job.cancelledAt > site.cancelS * 1000) {
                broken("ran_cancelled", task + " is on " + whereTaskIs.get(task).host);
            }
        }
    }

    // ---- users ----

    Job job(int number, String jobClass, String team, String mode, String urgency, int members) {
        return job(number, jobClass, team, mode, urgency, members, 1, 1, 10);
    }

    Job job(
            int number,
            String jobClass,
            String team,
            String mode,
            String urgency,
            int members,
            double vcpus,
            double ramGb,
            double runS) {
        String id = String.format("wk-%06d", number);
        ObjectNode spec =
                Wire.map()
                        .put("nameId", id)
                        .put("jobClass", jobClass)
                        .put("owner", team)
                        .put("mode", mode)
                        .put("urgency", urgency)
                        .put("members", members)
                        .put("vcpus", vcpus)
                        .put("cards", 0.0)
                        .put("ramGb", ramGb)
                        .put("container", "img-07")
                        .put("sizeGb", 0.3);
        spec.putNull("shapes");
        spec.putNull("site");
        spec.put("oneZone", false)
                .put("scatter", false)
                .put("preemptible", true)
                .put("runtimeS", mode.equals("standing") ? 0.0 : runS)
                .put("snapshotEveryS", 0.0)
                .put("snapshotS", 0.0);
        spec.putNull("dueS");
        return new Job(id, spec, runS, false);
    }

    static void setShapes(Job job, List<String> labels) {
        ArrayNode shapes = job.spec.putArray("shapes");
        labels.forEach(shapes::add);
    }

    /** Submits as a user does, at this node first, for up to 60 s; returns the last status. */
    int submit(Job job, int node) {
        synchronized (this) {
            jobs.put(job.id, job);
            job.sentAt = System.currentTimeMillis();
        }
        long until = System.currentTimeMillis() + 60_000;
        for (int i = 0; ; i++) {
            Controller controller = controllers.get((node + i) % controllers.size());
            Wire.Answer answer =
                    Wire.call(controller.address, "POST", "/v2/runs", job.spec, 5000);
            note(
                    "submit "
                            + job.id
                            + " to "
                            + controller.name
                            + ": "
                            + answer.status()
                            + " "
                            + answer.text("status")
                            + answer.text("error"));
            if (answer.status() == 200 || answer.status() == 201) {
                synchronized (this) {
                    job.acceptedAt = System.currentTimeMillis();
                }
                seen(job, answer.text("status"));
                return answer.status();
            }
            if (answer.status() == 400 || answer.status() == 422) {
                if (job.acceptedAt > 0) {
                    broken("forgotten", job.id + " got " + answer.status());
                }
                return answer.status();
            }
            if (System.currentTimeMillis() > until) {
                return answer.status();
            }
            sleep(1000);
        }
    }

    private synchronized void seen(Job job, String status) {
        boolean wasFinal = job.lastStatus.equals("done") || job.lastStatus.equals("cancelled");
        if (wasFinal && !status.equals(job.lastStatus)) {
            broken("went_back", job.id + " was " + job.lastStatus + ", is " + status);
        }
        if (status.equals("done") && !job.complete()) {
            broken("not_done", job.id + " has " + job.done.size() + " tasks done");
        }
        if (status.equals("cancelled") && !job.cancelAsked) {
            broken("went_back", job.id + " is called cancelled");
        }
        if (!status.equals(job.lastStatus)) {
            note(job.id + " is " + status);
        }
        job.lastStatus = status;
    }

    /** Asks once; returns the status of the response. */
    int poll(Job job, int node) {
        boolean wasAccepted = job.acceptedAt > 0;
        Wire.Answer answer =
                Wire.call(
                        controllers.get(node % controllers.size()).address,
                        "GET",
                        "/v2/runs/" + job.id,
                        null,
                        2000);
        if (answer.status() == 200) {
            seen(job, answer.text("status"));
        } else if (answer.status() == 404 && wasAccepted) {
            broken("forgotten", job.id + " got 404");
        }
        return answer.status();
    }

    /** Cancels as a user does, for up to {@code forMillis}; returns the answer or an empty text. */
    String cancel(Job job, int node, long forMillis) {
        synchronized (this) {
            job.cancelAsked = true;
        }
        long until = System.currentTimeMillis() + forMillis;
        int asked = 0;
        for (int i = 0; System.currentTimeMillis() < until; i++) {
            Controller controller = controllers.get((node + i) % controllers.size());
            Wire.Answer answer =
                    Wire.call(
                            controller.address,
                            "POST",
                            "/v2/runs/" + job.id + "/cancel",
                            Wire.map(),
                            5000);
            if (asked++ < 3 || answer.status() == 200) {
                note(
                        "cancel "
                                + job.id
                                + " at "
                                + controller.name
                                + ": "
                                + answer.status()
                                + " "
                                + answer.text("status")
                                + answer.text("error"));
            }
            if (answer.status() == 200) {
                synchronized (this) {
                    if (answer.text("status").equals("cancelled") && job.cancelledAt == 0) {
                        job.cancelledAt = System.currentTimeMillis();
                    }
                }
                seen(job, answer.text("status"));
                return answer.text("status");
            }
            sleep(1000);
        }
        note("cancel " + job.id + ": no answer in " + forMillis / 1000 + " s");
        return "";
    }

    /** Polls every job every few seconds at changing nodes until the lab closes. */
    void pollAll(long everyMillis) {
        Wire.THREADS.execute(
                () -> {
                    for (int round = 0; !closed; round++) {
                        List<Job> known;
                        synchronized (this) {
                            known =
                                    jobs.values().stream().filter(j -> j.acceptedAt > 0).toList();
                        }
                        for (Job job : known) {
                            int node = round + job.id.hashCode() & 0xff;
                            Wire.THREADS.execute(() -> poll(job, node));
                            sleep(5);
                        }
                        checkCancelled();
                        sleep(everyMillis);
                    }
                });
    }

    /** Since when each job has waited while a machine with room was up. */
    private final Map<Job, Long> waitingSince = new HashMap<>();

    /**
     * The rule of the users' page more/hunt/LATER.md: once the troubles are over, no job is left
     * waiting for 90 s while a machine that fits has room and its team is under its limit. Called
     * twice a second; a job's time starts again whenever the conditions don't hold.
     */
    synchronized void checkWaiting(List<Job> watched) {
        List<Machine> machines;
        synchronized (cloud) {
            machines = new ArrayList<>(cloud.machines.values());
        }
        for (Job job : watched) {
            String team = job.spec.path("owner").asText();
            double used = 0;
            for (String task : whereTaskIs.keySet()) {
                Job owner = jobOf(task);
                used += owner.spec.path("owner").asText().equals(team) ? owner.vcpus() : 0;
            }
            boolean underLimit = used + job.vcpus() <= site.team(team).cpusMax();
            boolean room = false;
            for (Machine machine : machines) {
                double cpus = machine.shape.vcpus();
                double ram = machine.shape.ramGb();
                for (Machine.Attempt attempt : machine.attempts.values()) {
                    if (!attempt.ended()) {
                        cpus -= attempt.job.vcpus();
                        ram -= attempt.job.ramGb();
                    }
                }
                boolean allowed = !job.spec.hasNonNull("shapes");
                for (var shape : job.spec.path("shapes")) {
                    allowed |= shape.asText().equals(machine.shape.label());
                }
                allowed &= !machine.spot || job.spec.path("preemptible").asBoolean();
                room |=
                        machine.up
                                && !machine.hung
                                && allowed
                                && cpus >= job.vcpus()
                                && ram >= job.ramGb();
            }
            if (job.acceptedAt == 0
                    || job.cancelAsked
                    || !job.started.isEmpty()
                    || !room
                    || !underLimit) {
                waitingSince.remove(job);
                continue;
            }
            long since = waitingSince.computeIfAbsent(job, j -> System.currentTimeMillis());
            if (System.currentTimeMillis() - since > 90_000) {
                waitingSince.put(job, Long.MAX_VALUE);
                broken(
                        "left_waiting",
                        job.id
                                + " has waited for 90 s while a machine that fits had room and "
                                + team
                                + " used "
                                + used
                                + " of "
                                + site.team(team).cpusMax()
                                + " CPUs");
            }
        }
    }

    /** The member that the leader's record names; for choosing where a disruption hits. */
    int leader() {
        var record = store.value("a/lead");
        if (record != null) {
            for (Controller controller : controllers) {
                if (record.toString().contains("\"" + controller.name + "\"")) {
                    return controller.index;
                }
            }
        }
        return -1;
    }
}
