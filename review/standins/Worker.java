package standins;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** A machine's worker, as PROTOCOL describes it. */
final class Worker {
    static final class Task {
        Job job;
        String member;
        int index;
        long attempt;
        String status;
        String exitReason;
        boolean stored;
        boolean onMachine;
        long readyAt;
        long endsAt;
        boolean fails;
    }

    private final World world;
    private final Cloud.Machine machine;
    private final Http.Server server;
    private final Random random;
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private final Map<String, Long> images = new HashMap<>();
    private final Set<String> seen = new HashSet<>();
    private long tenure = 1;
    private long serial;
    private long epoch;
    private long leaseFrom;
    private boolean changed;
    private long reportedEpochAt;
    private boolean epochChanged;
    private boolean destroyed;
    private int node;
    volatile long upAt;

    /** A hanging machine executes nothing and answers nothing. */
    volatile boolean hung;

    /** Controllers that this machine can't reach. */
    volatile Set<Integer> unreachable = Set.of();

    /** Whether the machine fails each task that it starts. */
    volatile boolean sick;

    Worker(World world, Cloud.Machine machine) throws IOException {
        this.world = world;
        this.machine = machine;
        this.random = new Random(machine.name.hashCode() * 31L + world.seed);
        this.node = random.nextInt(world.nodes.size());
        this.server = new Http.Server(this::handle);
        Threads.start("worker " + machine.name, this::run);
    }

    String address() {
        return server.address();
    }

    String name() {
        return machine.name;
    }

    private void run() throws InterruptedException {
        Thread.sleep((long) (machine.shape.bootS() * 1000 * (0.6 + 0.6 * random.nextDouble())));
        synchronized (this) {
            upAt = Threads.now();
            leaseFrom = upAt;
            changed = true;
        }
        Threads.start("tasks " + machine.name, this::tick);
        Map<Integer, Http.Client> clients = new HashMap<>();
        long lastSent = 0;
        long interval = 0;
        while (!isDestroyed()) {
            long now = Threads.now();
            boolean due;
            synchronized (this) {
                boolean tokenDue =
                        epochChanged && now - reportedEpochAt >= world.leaseS * 500 && now - lastSent >= 500;
                due = now - lastSent >= interval || changed && now - lastSent >= 500 || tokenDue;
            }
            if (!due || hung) {
                Thread.sleep(10);
                continue;
            }
            byte[] body;
            long sentTenure;
            synchronized (this) {
                changed = false;
                epochChanged = false;
                reportedEpochAt = now;
                serial++;
                sentTenure = tenure;
                body = Cbor.encode(report());
            }
            lastSent = now;
            interval = (long) (world.reportS * 1000 * (0.75 + 0.5 * random.nextDouble()));
            int target = node;
            Http.Client client =
                    clients.computeIfAbsent(
                            target, n -> new Http.Client(world.nodes.get(n).userAddress, 4000));
            int next = -1;
            long pause = 0;
            try {
                if (unreachable.contains(target)) {
                    client.close();
                    Thread.sleep(4000);
                    throw new IOException("unreachable");
                }
                Http.Response response = client.call("POST", "/v1/report", body, 4000);
                while (hung) {
                    Thread.sleep(10);
                }
                if (Threads.now() - now > 4000) {
                    throw new IOException("late");
                }
                Map<String, Object> answer = Cbor.decodeMap(response.body());
                if (response.status() == 200) {
                    synchronized (this) {
                        accept(answer, now, sentTenure);
                    }
                } else if (response.status() == 421) {
                    client.close();
                    int named = answer == null ? -1 : world.nodeIndex((String) answer.get("controller"));
                    if (named >= 0 && named != target) {
                        next = named;
                        pause = random.nextInt(500);
                    } else {
                        next = (target + 1) % world.nodes.size();
                        pause = 1000;
                    }
                } else {
                    client.close();
                    next = (target + 1) % world.nodes.size();
                    pause = 1000;
                }
            } catch (IOException e) {
                client.close();
                next = (target + 1) % world.nodes.size();
                pause = 1000;
            }
            if (next >= 0) {
                node = next;
                Thread.sleep(pause);
                interval = 0;
            }
        }
        clients.values().forEach(Http.Client::close);
    }

    private synchronized boolean isDestroyed() {
        return destroyed;
    }

    void destroy() {
        server.close();
        synchronized (this) {
            destroyed = true;
            for (Task task : tasks.values()) {
                leave(task, "machine gone");
            }
            tasks.clear();
        }
    }

    private Map<String, Object> report() {
        Map<String, Object> out = new LinkedHashMap<>();
        out.put("host", machine.name);
        out.put("addr", address());
        out.put("shape", machine.shape.label());
        out.put("site", machine.site);
        out.put("preemptible", machine.spot);
        out.put("tenure", tenure);
        out.put("serial", serial);
        out.put("epoch", epoch);
        out.put("warningS", null);
        List<Object> members = new ArrayList<>();
        for (Task task : tasks.values()) {
            Map<String, Object> node = new LinkedHashMap<>();
            node.put("member", task.member);
            node.put("try", task.attempt);
            node.put("status", task.status);
            if (task.exitReason != null) {
                node.put("exitReason", task.exitReason);
            }
            if (task.stored) {
                node.put("stored", true);
            }
            members.add(node);
        }
        out.put("members", members);
        return out;
    }

    private void accept(Map<String, Object> answer, long sentAt, long sentTenure) {
        if (answer == null || answer.get("epoch") == null || sentTenure != tenure) {
            return;
        }
        long token = ((Number) answer.get("epoch")).longValue();
        if (token < epoch) {
            return;
        }
        if (token > epoch) {
            epoch = token;
            epochChanged = true;
        }
        leaseFrom = Math.max(leaseFrom, sentAt);
        execute(answer);
    }

    @SuppressWarnings("unchecked")
    private void execute(Map<String, Object> message) {
        for (Map<String, Object> order : (List<Map<String, Object>>) message.getOrDefault("orders", List.of())) {
            String member = (String) order.get("member");
            long attempt = ((Number) order.get("try")).longValue();
            String key = member + "#" + attempt;
            switch ((String) order.get("verb")) {
                case "start" -> start(member, attempt, key);
                case "kill" -> {
                    Task task = tasks.get(key);
                    if (task != null && !task.status.equals("ended")) {
                        double grace = ((Number) order.getOrDefault("drainS", 0.0)).doubleValue();
                        kill(task, grace);
                    }
                }
                case "clear" -> {
                    Task task = tasks.get(key);
                    if (task != null && task.status.equals("ended")) {
                        tasks.remove(key);
                    }
                }
                default -> {}
            }
        }
    }

    private void kill(Task task, double grace) {
        boolean saves =
                task.status.equals("running")
                        && task.job.snapshotEveryS > 0
                        && grace >= task.job.snapshotS;
        if (saves) {
            task.status = "saving";
            task.endsAt = Threads.now() + (long) (task.job.snapshotS * 1000);
            changed = true;
        } else if (!task.status.equals("saving") || grace == 0) {
            end(task, "halted");
        }
    }

    private void start(String member, long attempt, String key) {
        if (tasks.containsKey(key)) {
            return;
        }
        Task task = new Task();
        task.member = member;
        task.attempt = attempt;
        int slash = member.indexOf('/');
        task.job = world.jobs.get(member.substring(0, slash));
        task.index = Integer.parseInt(member.substring(slash + 1));
        tasks.put(key, task);
        changed = true;
        if (!world.quiet) {
            world.log("start " + member + " try " + attempt + " on " + machine.name);
        }
        if (task.job == null || task.index >= task.job.members) {
            refuse(task, "unknown");
            return;
        }
        double cpus = task.job.vcpus;
        double ram = task.job.ramGb;
        for (Task other : tasks.values()) {
            if (other != task && !other.status.equals("ended")) {
                if (other.member.equals(member)) {
                    refuse(task, "busy");
                    return;
                }
                cpus += other.job.vcpus;
                ram += other.job.ramGb;
            }
        }
        if (cpus > machine.shape.vcpus() + 1e-9 || ram > machine.shape.ramGb() + 1e-9) {
            refuse(task, "full");
            return;
        }
        task.status = "fetching";
        long now = Threads.now();
        long fetched =
                images.computeIfAbsent(
                        task.job.container,
                        image ->
                                now
                                        + (long)
                                                (task.job.sizeGb / machine.shape.pullGbPerS() * 1000));
        task.readyAt = Math.max(now, fetched);
    }

    private void refuse(Task task, String why) {
        task.status = "ended";
        task.exitReason = why;
        world.log("refused " + task.member + " try " + task.attempt + " on " + machine.name + ": " + why);
    }

    private void end(Task task, String why) {
        leave(task, why);
        task.status = "ended";
        task.exitReason = why;
        changed = true;
    }

    private void leave(Task task, String why) {
        if (task.onMachine) {
            task.onMachine = false;
            world.rules.left(task, machine, why);
        }
    }

    /** Lets time pass for the lease and the tasks. */
    private void tick() throws InterruptedException {
        while (!isDestroyed()) {
            Thread.sleep(20);
            if (hung) {
                long since = Threads.now();
                while (hung) {
                    Thread.sleep(10);
                }
                synchronized (this) {
                    long pause = Threads.now() - since;
                    for (Task task : tasks.values()) {
                        task.endsAt += pause;
                        task.readyAt += pause;
                    }
                }
            }
            synchronized (this) {
                long now = Threads.now();
                if (now - leaseFrom > world.leaseS * 1000) {
                    world.log("lease of " + machine.name + " is over, tasks " + tasks.keySet());
                    for (Task task : tasks.values()) {
                        leave(task, "lease over");
                    }
                    tasks.clear();
                    tenure++;
                    leaseFrom = now;
                    changed = true;
                    continue;
                }
                for (Task task : new ArrayList<>(tasks.values())) {
                    if (task.status.equals("fetching") && now >= task.readyAt) {
                        task.status = "running";
                        task.onMachine = true;
                        changed = true;
                        task.endsAt =
                                task.job.mode.equals("standing")
                                        ? Long.MAX_VALUE / 2
                                        : now + (long) (task.job.runS(task.index) * 1000);
                        world.rules.started(task, machine);
                        if (world.rules.isDone(task.member)) {
                            end(task, "done");
                        } else if (sick || task.job.mistaken) {
                            end(task, "error");
                        }
                    } else if (task.status.equals("running") && now >= task.endsAt) {
                        world.rules.done(task);
                        end(task, "done");
                    } else if (task.status.equals("saving") && now >= task.endsAt) {
                        task.stored = true;
                        end(task, "halted");
                    }
                }
            }
        }
    }

    private Http.Response handle(Http.Request request) throws Exception {
        if (upAt == 0) {
            return null;
        }
        while (hung) {
            Thread.sleep(10);
        }
        synchronized (this) {
            if (destroyed) {
                return null;
            }
            if (request.path.equals("/show")) {
                serial++;
                return Http.Response.of(200, report());
            }
            Map<String, Object> message = Cbor.decodeMap(request.body);
            if (message == null || message.get("epoch") == null || message.get("tenure") == null) {
                return Http.Response.of(400, null);
            }
            long token = ((Number) message.get("epoch")).longValue();
            serial++;
            if (token < epoch || ((Number) message.get("tenure")).longValue() != tenure) {
                return Http.Response.of(409, report());
            }
            if (token > epoch) {
                epoch = token;
                epochChanged = true;
            }
            execute(message);
            return Http.Response.of(200, report());
        }
    }

    synchronized List<String> show() {
        List<String> out = new ArrayList<>();
        for (Task task : tasks.values()) {
            out.add(task.member + "#" + task.attempt + " " + task.status);
        }
        return out;
    }

    /** Free CPUs of a machine that is up and has that much free memory; else 0. */
    synchronized double freeCpus(double ramGb) {
        if (upAt == 0 || destroyed || hung) {
            return 0;
        }
        double cpus = machine.shape.vcpus();
        double ram = machine.shape.ramGb();
        for (Task task : tasks.values()) {
            if (!task.status.equals("ended")) {
                cpus -= task.job.vcpus;
                ram -= task.job.ramGb;
            }
        }
        return ram >= ramGb ? cpus : 0;
    }

    synchronized int running() {
        int n = 0;
        for (Task task : tasks.values()) {
            n += task.status.equals("ended") ? 0 : 1;
        }
        return n;
    }
}
