package io.quincelead.world;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.app.Controller;
import io.quincelead.base.OperatorSettings;
import io.quincelead.base.Settings;
import io.quincelead.net.Codec;
import io.quincelead.records.JobSpec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Real controllers among stand-ins, in simulated time, with every rule of the protocol checked after each event. */
public final class World {
    public static final String STORE = "10.2.0.1:2379";
    public static final String CLOUD = "10.2.0.2:8443";
    public static final String USERS = "10.3.0.1:0";

    /** One controller's place; the process on it may be killed and started again. */
    public final class Member {
        public final String name;
        public final String ip;
        final String listen;
        final String cluster;
        private Sim.Process process;

        Member(int i) {
            name = "worker-" + i;
            ip = "10.0.0." + (i + 1);
            listen = ip + ":8080";
            cluster = ip + ":8081";
        }

        public void start() {
            process = sim.process();
            Map<String, String> peers = new LinkedHashMap<>();
            controllers.forEach(m -> peers.put(m.name, m.cluster));
            Settings settings = new Settings(name, "a", listen, cluster, peers, CLOUD, STORE, controllers.size(), 25, teams, objectives,
                    new Settings.Workers(reportMs / 1000.0, leaseMs / 1000.0, Worker.GANG_WAIT_MS / 1000.0, 6, cancelS), state,
                    new Settings.Cloud(4, 4), new Settings.Limits(1, 256, 500));
            Sim.Process mine = process;
            Controller c = new Controller(mine, net.transport(ip, mine), settings, operator);
            net.host(listen, c::handle);
            net.host(cluster, c::handlePeer);
        }

        public void kill() {
            process.kill();
            net.host(listen, null);
            net.host(cluster, null);
        }

        public boolean alive() {
            return !process.dead();
        }
    }

    public final Sim sim;
    public final Net net;
    public final Store store;
    public final Cloud cloud;
    public final List<Member> controllers = new ArrayList<>();
    public final Map<String, Settings.Team> teams = new LinkedHashMap<>();
    public final List<Settings.Objective> objectives = new ArrayList<>();
    public long reportMs = 1000;
    public Settings.State state = new Settings.State(400, 200, 8, 12);
    public long leaseMs = 10_000;
    /** GB a second at which machines fetch images; 0: every fetch takes 0.3 s. */
    public double fetchGbPerS;
    /** GB that machines have fetched. */
    public double fetchedGb;
    public OperatorSettings operator = OperatorSettings.DEFAULTS;
    public final double cancelS = 40;
    /** ms for which a user repeats a submission. */
    public long patienceMs = 60_000;
    /** ms. The users' own bound: after this time without an answer a job counts as forgotten. */
    static final long FORGOTTEN_MS = 75_000;
    final Map<String, JobSpec> specs = new HashMap<>();
    final Set<String> results = new HashSet<>();
    private final Set<String> told = new HashSet<>();
    private final Map<String, String> finalTold = new HashMap<>();
    private final Map<String, Long> cancelTold = new HashMap<>();
    /** ms from the first attempt to submit until somebody was told that the job is accepted. */
    final Map<String, Long> acceptedAfter = new HashMap<>();
    /** When a question about a job was last answered, by its submission at first. */
    private final Map<String, Long> answeredAt = new HashMap<>();
    private final Service service = new Service(this);
    /** From then on nothing is made to go wrong any more. */
    private long calmFrom;
    private final Set<String> cancelAsked = new HashSet<>();
    /** Most tasks that anybody was told are done. */
    private final Map<String, Integer> doneTold = new HashMap<>();
    /** Jobs that can't run or lack a field. */
    final Set<String> never = new HashSet<>();
    final Users users = new Users(this);
    private final Waiting waiting = new Waiting(this);
    private final Set<String> broken = new HashSet<>();
    public final Map<String, Integer> starts = new HashMap<>();
    /** Off for measurements of large worlds: the checks look at every task after every event. */
    public boolean watchRules = true;
    /** Tasks that began: only a beginning can take a team past its limit. */
    long changes;
    private long checked = -1;

    public World(long seed) {
        this(seed, List.of(new Cloud.Shape("small", 8, 0, 32, 0.4, 0.15, 5, List.of("a", "b"), 8),
                new Cloud.Shape("big", 16, 4, 64, 1.0, 0.4, 8, List.of("a", "b"), 4)));
    }

    public World(long seed, List<Cloud.Shape> shapes) {
        this(seed, shapes, 3);
    }

    public World(long seed, List<Cloud.Shape> shapes, int members) {
        sim = new Sim(seed);
        net = new Net(sim);
        store = new Store(sim, 12);
        cloud = new Cloud(this, shapes);
        net.host(STORE, r -> store.handle(r, net.sender()));
        net.host(CLOUD, cloud::handle);
        teams.put("red", new Settings.Team("red", 16, 40, 2, 4));
        teams.put("blue", new Settings.Team("blue", 16, 24, 2, 8));
        objectives.add(new Settings.Objective("finished", "slow", 200, 0.9, 1));
        for (int i = 0; i < members; i++) {
            controllers.add(new Member(i));
        }
        sim.observe(this::checkMachines);
        sim.after(1_000, this::checkAnswers);
        sim.after(1_000, this::checkWaiting);
    }

    private void checkWaiting() {
        if (watchRules) {
            waiting.look(calmFrom);
        }
        sim.after(1_000, this::checkWaiting);
    }

    /** Seconds for which a job that began late could have begun, by what was on the machines and what its team may use. */
    int couldBegin(String id) {
        return waiting.couldBegin(id);
    }

    /** Something is made to go wrong until then. */
    public void troubled(long untilMs) {
        calmFrom = Math.max(calmFrom, untilMs);
    }

    /** How each class, team and size was served, and who was left behind. */
    public Service service() {
        return service;
    }

    public void start() {
        controllers.forEach(Member::start);
    }

    int index(String member) {
        for (int i = 0; i < controllers.size(); i++) {
            if (controllers.get(i).name.equals(member)) {
                return i;
            }
        }
        return -1;
    }

    JobSpec spec(String task) {
        return specs.get(task.substring(0, task.indexOf('/')));
    }

    public Set<String> broken() {
        return broken;
    }

    void breach(String rule, String detail) {
        broken.add(rule + ": " + detail);
    }

    // ---- rules about machines

    /** Called at the moment a task has its image and begins. */
    void began(Worker w, Worker.Task t, JobSpec s) {
        starts.merge(s.id(), 1, Integer::sum);
        service.began(s, t.name);
        changes++;
        if (!watchRules) {
            return;
        }
        int inZone = 0;
        boolean otherZone = false;
        for (Worker o : cloud.machines.values()) {
            for (Worker.Task x : o.tasks.values()) {
                if (!x.on() || x == t) {
                    continue;
                }
                if (x.name.equals(t.name)) {
                    breach("ran_twice", t.name + " on " + o.host + " and " + w.host);
                } else if (spec(x.name) == s) {
                    otherZone |= !o.site.equals(w.site);
                    inZone += o.site.equals(w.site) ? 1 : 0;
                }
            }
        }
        boolean wrong = s.shapes() != null && !s.shapes().contains(w.shape.label()) || s.site() != null && !s.site().equals(w.site)
                || w.spot && !s.preemptible() || s.oneZone() && otherZone || s.scatter() && inZone + 1 > (s.members() + 1) / 2;
        if (wrong) {
            breach("wrong_place", t.name + " on " + w.host);
        }
        Long at = cancelTold.get(s.id());
        if (at != null) {
            breach("ran_cancelled", t.name + " starts");
        }
    }

    /** A machine goes on after it hung: what its users have been told is cancelled must not be there any more. */
    void wentOn(Worker w) {
        for (Worker.Task t : w.tasks.values()) {
            if (t.on() && cancelTold.containsKey(spec(t.name).id())) {
                breach("ran_cancelled", t.name + " goes on after " + w.host + " hung");
            }
        }
    }

    /** Called after each event. Where nothing has begun since the last look, no limit can have been passed. */
    private void checkMachines() {
        if (!watchRules || changes == checked && cancelTold.isEmpty()) {
            return;
        }
        checked = changes;
        Map<String, double[]> use = new HashMap<>();
        for (Worker w : cloud.machines.values()) {
            for (Worker.Task t : w.tasks.values()) {
                if (!t.on()) {
                    continue;
                }
                JobSpec s = spec(t.name);
                double[] u = use.computeIfAbsent(s.owner(), k -> new double[2]);
                u[0] += s.vcpus();
                u[1] += s.cards();
                Long at = cancelTold.get(s.id());
                if (at != null && sim.now() - at > cancelS * 1000) {
                    breach("ran_cancelled", t.name + " on " + w.host);
                }
            }
        }
        use.forEach((team, u) -> {
            if (u[0] > teams.get(team).cpusMax() + 1e-6 || u[1] > teams.get(team).gpusMax() + 1e-6) {
                breach("quota", team);
            }
        });
    }

    void completed(Worker.Task t, JobSpec s) {
        results.add(t.name);
        users.completed(s);
        if (s.gang()) {
            for (int i = 0; i < s.members(); i++) {
                results.add(s.id() + "/" + i);
            }
            for (Worker w : cloud.machines.values()) {
                for (Worker.Task x : new ArrayList<>(w.tasks.values())) {
                    if (x != t && spec(x.name) == s && x.attempt == t.attempt && x.status.equals("running")) {
                        w.end(x, "done");
                    }
                }
            }
        }
    }

    void gang(JobSpec s) {
        Map<Long, List<Object[]>> waiting = new HashMap<>();
        for (Worker w : cloud.machines.values()) {
            for (Worker.Task t : w.tasks.values()) {
                if (spec(t.name) == s && t.status.equals("waiting")) {
                    waiting.computeIfAbsent(t.attempt, a -> new ArrayList<>()).add(new Object[] {w, t});
                }
            }
        }
        waiting.values().stream().filter(l -> l.size() == s.members())
                .forEach(l -> l.forEach(x -> ((Worker) x[0]).runs((Worker.Task) x[1], s)));
    }

    void gangLost(JobSpec s, long attempt, String reason) {
        if (reason.equals("done") || reason.equals("peers")) {
            return;
        }
        sim.after(3000, () -> {
            for (Worker w : cloud.machines.values()) {
                for (Worker.Task t : new ArrayList<>(w.tasks.values())) {
                    if (spec(t.name) == s && t.attempt == attempt && t.status.equals("running")) {
                        w.end(t, "peers");
                    }
                }
            }
        });
    }

    // ---- operators

    /** An operator's command at a controller; {@code then} hears status and answer, 0 for none. */
    public void command(int controller, String path, ObjectNode body, java.util.function.BiConsumer<Integer, ObjectNode> then) {
        net.call(USERS, controllers.get(controller).cluster, "POST", path, Codec.JSON.write(body), 3000,
                (status, out, retry) -> then.accept(status, Codec.JSON.readMap(out)));
    }

    // ---- users and rules about answers

    public int accepted() {
        return told.size();
    }

    public boolean told(String id, String status) {
        return status.equals(finalTold.get(id));
    }

    private Member any() {
        return controllers.get(sim.random.nextInt(controllers.size()));
    }

    /** Some users stay with one controller, whatever becomes of it. */
    private Member askedBy(String id) {
        Member any = any();
        int number = id.hashCode() & 0xffff;
        return number % 3 == 0 ? controllers.get(number / 3 % controllers.size()) : any;
    }

    /**
     * Once all troubles are over, each accepted job that its user didn't cancel is known: judged job by job, for a question
     * that is never answered doesn't become better by what others are told.
     */
    private void checkAnswers() {
        for (String id : told) {
            if (!cancelAsked.contains(id) && sim.now() - Math.max(answeredAt.get(id), calmFrom) > FORGOTTEN_MS) {
                breach("forgotten", id + " got no answer for 75 s");
            }
        }
        sim.after(1_000, this::checkAnswers);
    }

    /** A user uploads the job's description, which workers fetch. */
    public void upload(JobSpec s) {
        specs.put(s.id(), s);
    }

    public void submit(JobSpec s) {
        submit(s, -1);
    }

    /** Submits at one controller; below 0: at any, as the balancer likes. */
    public void submit(JobSpec s, int controller) {
        upload(s);
        service.submitted(s);
        submit(s, controller, sim.now() + patienceMs);
    }

    private void submit(JobSpec s, int controller, long until) {
        boolean known = told.contains(s.id());
        String before = finalTold.get(s.id());
        int done = doneTold.getOrDefault(s.id(), 0);
        net.call(USERS, (controller < 0 ? any() : controllers.get(controller)).listen, "POST", "/v2/runs", Codec.CBOR.write(s.encode()), 5000, (status, body, retry) -> {
            if (status == 200 || status == 201) {
                if (told.add(s.id())) {
                    answeredAt.put(s.id(), sim.now());
                    acceptedAfter.put(s.id(), sim.now() - service.submittedAt(s.id()));
                    sim.after(5000, () -> poll(s.id()));
                    users.accepted(s);
                }
                if (status == 201 && known) {
                    breach("forgotten", s.id() + " was accepted once more");
                }
                answered(s.id(), Codec.CBOR.readMap(body), before, status == 200 ? done : 0);
            } else if (status == 400 || status == 422) {
                breach("forgotten", s.id() + " got " + status);
            } else if (sim.now() < until) {
                sim.after(1000L * Math.max(1, retry), () -> submit(s, controller, until));
            }
        });
    }

    private void poll(String id) {
        query(id);
        sim.after(finalTold.containsKey(id) ? 30_000 : 5_000, () -> poll(id));
    }

    /** Asks once, for a job that may never have been submitted. */
    public void query(String id) {
        query(id, -1);
    }

    /** Asks one controller; below 0: whichever the user asks. */
    void query(String id, int controller) {
        boolean known = told.contains(id);
        String before = finalTold.get(id);
        int done = doneTold.getOrDefault(id, 0);
        net.call(USERS, (controller < 0 ? askedBy(id) : controllers.get(controller)).listen, "GET", "/v2/runs/" + id, null, 2000, (status, body, retry) -> {
            if (status == 404 && known) {
                breach("forgotten", id);
            } else if (status == 200) {
                if (!specs.containsKey(id)) {
                    breach("invented", id);
                }
                answeredAt.put(id, sim.now());
                answered(id, Codec.CBOR.readMap(body), before, done);
            }
        });
    }

    /** Submits what can't be accepted: its body can't run or lacks a field. */
    void submitOdd(String id, byte[] body, int expected) {
        never.add(id);
        net.call(USERS, any().listen, "POST", "/v2/runs", body, 5000, (status, out, retry) -> {
            if (status == 200 || status == 201) {
                breach("accepted", id + " can't run or lacks a field");
            } else if (status == expected) {
                users.refused++;
            } else if (status == 400 || status == 422) {
                breach("accepted", id + " got " + status + " instead of " + expected);
            }
        });
    }

    /** Judges a whole answer: also how many tasks it calls done, against what anybody had been told when the user asked. */
    void answered(String id, ObjectNode body, String before, int done) {
        answered(id, body.path("status").asText(), before);
        if (body.has("done") && body.path("done").asInt() < done) {
            breach("older", id + ": " + body.path("done").asInt() + " tasks are done, there were " + done);
        }
        doneTold.merge(id, body.path("done").asInt(), Math::max);
    }

    /** Judges what a user was told, against the final state that was told when the user asked, if any. */
    public void answered(String id, String status, String before) {
        if (before != null && !before.equals(status)) {
            breach("went_back", id + " was " + before + ", is " + status);
        }
        if (status.equals("cancelled") && !cancelAsked.contains(id)) {
            breach("went_back", id + " was never cancelled by its user");
        }
        if (status.equals("done")) {
            JobSpec s = specs.get(id);
            for (int i = 0; s != null && i < s.members(); i++) {
                if (!results.contains(id + "/" + i)) {
                    breach("not_done", id + "/" + i);
                }
            }
        }
        if (status.equals("done") || status.equals("cancelled")) {
            if (finalTold.putIfAbsent(id, status) == null) {
                users.ended(id);
            }
        }
    }

    public void cancel(String id) {
        cancel(id, -1);
    }

    /** Cancels at one controller; below 0: at any. */
    public void cancel(String id, int controller) {
        cancelAsked.add(id);
        String before = finalTold.get(id);
        boolean known = told.contains(id);
        int done = doneTold.getOrDefault(id, 0);
        net.call(USERS, (controller < 0 ? any() : controllers.get(controller)).listen, "POST", "/v2/runs/" + id + "/cancel", Codec.CBOR.write(Codec.map()), 5000, (status, body, retry) -> {
            if (status == 200) {
                String s = Codec.CBOR.readMap(body).path("status").asText();
                answered(id, Codec.CBOR.readMap(body), before, done);
                if (!s.equals("cancelled") && !s.equals("done")) {
                    breach("went_back", id + " is " + s + " to whoever cancels it");
                }
                if (s.equals("cancelled")) {
                    cancelTold.putIfAbsent(id, sim.now());
                }
            } else if (status == 404) {
                if (known) {
                    breach("forgotten", id + " can't be cancelled");
                } else {
                    sim.after(1000, () -> cancel(id, controller));
                }
            } else {
                sim.after(1000L * Math.max(1, retry), () -> cancel(id, controller));
            }
        });
    }

    /** When the user was told that the job is cancelled; -1: not yet. */
    public long cancelledAt(String id) {
        return cancelTold.getOrDefault(id, -1L);
    }

    boolean cancelAsked(String id) {
        return cancelAsked.contains(id);
    }

    Set<String> told() {
        return told;
    }

    boolean finalTold(String id) {
        return finalTold.containsKey(id);
    }

    /** Whether every accepted job has reached its end and its user was told. */
    public List<String> unfinished() {
        List<String> out = new ArrayList<>();
        for (String id : told) {
            if (!finalTold.containsKey(id) && !specs.get(id).service()) {
                out.add(id);
            }
        }
        return out;
    }
}
