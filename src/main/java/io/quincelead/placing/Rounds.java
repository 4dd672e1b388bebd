package io.quincelead.placing;

import io.quincelead.app.Constants;
import io.quincelead.app.Loop;
import io.quincelead.app.OperatorSettings;
import io.quincelead.app.Settings;
import io.quincelead.cloud.Catalog;
import io.quincelead.jobs.Chunk;
import io.quincelead.jobs.Job;
import io.quincelead.jobs.JobSpec;
import io.quincelead.jobs.JobTable;
import io.quincelead.jobs.Placement;
import io.quincelead.leader.Blocks;
import io.quincelead.leader.Leader;
import io.quincelead.peers.Peers;
import io.quincelead.state.Keys;
import io.quincelead.state.Mirror;
import io.quincelead.state.Session;
import io.quincelead.state.StoreClient;
import io.quincelead.state.Txn;
import io.quincelead.workers.Desk;
import io.quincelead.workers.ImageCaches;
import io.quincelead.workers.MachineTable;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Rounds: each gathers the evidence of ends, places waiting tasks and commits all of it as one durable write, guarded
 * by this controller's block, by each job and by each chunk it touches. No start leaves before that is confirmed.
 */
public final class Rounds {
    private static final Logger LOG = LoggerFactory.getLogger(Rounds.class);

    /** States of the round; {@link #become} is the one function that changes them. */
    private enum Phase { IDLE, DUE, COMMITTING }

    private final Loop loop;
    private final Settings settings;
    private final OperatorSettings operator;
    private final Session session;
    private final Mirror mirror;
    private final StoreClient store;
    private final Blocks blocks;
    private final JobTable jobs;
    private final MachineTable machines;
    private final Catalog catalog;
    private final ImageCaches images;
    private final QueueOrder order;
    private final Runnable settled;
    private Desk desk;
    private Leader leader;
    private Peers peers;
    private Phase phase = Phase.IDLE;
    private long lastRound;

    public Rounds(Loop loop, Settings settings, OperatorSettings operator, Session session, Mirror mirror, StoreClient store,
            Blocks blocks, JobTable jobs, MachineTable machines, Catalog catalog, ImageCaches images,
            Runnable settled) {
        this.loop = loop;
        this.settings = settings;
        this.operator = operator;
        this.session = session;
        this.mirror = mirror;
        this.store = store;
        this.blocks = blocks;
        this.jobs = jobs;
        this.machines = machines;
        this.catalog = catalog;
        this.images = images;
        this.order = new QueueOrder(settings);
        this.settled = settled;
    }

    public void wire(Desk d, Leader l, Peers p) {
        desk = d;
        leader = l;
        peers = p;
    }

    private void become(Phase next) {
        phase = next;
    }

    public boolean pending() {
        return phase != Phase.IDLE;
    }

    /** Something changed: a round follows, together with whatever else comes within the gap. */
    public void wake() {
        if (phase == Phase.IDLE) {
            become(Phase.DUE);
            loop.after(Math.max(1, lastRound + Constants.ROUND_GAP_MS - loop.now()), this::run);
        }
    }

    /** A machine's room in the plan. */
    private static final class Room {
        final String host;
        final Catalog.Shape shape;
        final String site;
        final boolean spot;
        final boolean inBlock;
        double cpu;
        double ram;
        double gpu;
        /** Room that tasks being stopped will leave, less what has been promised of it. */
        double soonCpu;
        double soonRam;
        double soonGpu;

        Room(MachineTable.Machine m, Catalog.Shape shape, boolean inBlock) {
            this.host = m.host();
            this.shape = shape;
            this.site = m.site();
            this.spot = m.spot();
            this.inBlock = inBlock;
            this.cpu = soonCpu = shape.vcpus();
            this.ram = soonRam = shape.ramGb();
            this.gpu = soonGpu = shape.cards();
        }

        void take(JobSpec s, int n, boolean leaving) {
            cpu -= n * s.vcpus();
            ram -= n * s.ramGb();
            gpu -= n * s.cards();
            if (!leaving) {
                takeSoon(s, n);
            }
        }

        void takeSoon(JobSpec s, int n) {
            soonCpu -= n * s.vcpus();
            soonRam -= n * s.ramGb();
            soonGpu -= n * s.cards();
        }

        int cap(JobSpec s) {
            return Tebas.remainCap(cpu, ram, gpu, s.vcpus(), s.ramGb(), s.cards());
        }

        int soonCap(JobSpec s) {
            return Tebas.remainCap(soonCpu, soonRam, soonGpu, s.vcpus(), s.ramGb(), s.cards());
        }
    }

    /** One round's plan. */
    private final class Plan {
        final Txn txn = new Txn();
        final Map<Chunk, Chunk.Edit> edits = new LinkedHashMap<>();
        final Map<String, Room> rooms = new LinkedHashMap<>();
        final Map<String, double[]> myUse = new HashMap<>();
        final Map<String, double[]> allUse = new HashMap<>();
        final List<Job> misfits = new ArrayList<>();
        final Blocks.Block block = blocks.mine();
        final boolean leading = leader.leading();
        boolean truncated;

        /** The edit of a chunk, or null when the transaction has no room for one more. */
        Chunk.Edit edit(Job job, int number) {
            Chunk c = job.chunk(number);
            Chunk.Edit e = edits.get(c);
            if (e == null) {
                if (edits.size() >= store.txnOps() || 4 + edits.size() * 2 + blocks.all().size() >= store.txnOps() * Constants.GUARDS_PER_OP) {
                    truncated = true;
                    return null;
                }
                e = c.edit();
                edits.put(c, e);
            }
            return e;
        }

        boolean edits(Job job) {
            return edits.values().stream().anyMatch(e -> e.chunk().job == job && e.changed());
        }

        Chunk.Edit edit(Job job, Placement p) {
            return edit(job, p.index / Constants.CHUNK_TASKS);
        }
    }

    private void run() {
        lastRound = loop.now();
        if (!session.valid() || blocks.mine() == null || !mirror.synced()) {
            // Evidence may be waiting: the round is only put off, or nothing might wake it again.
            loop.after(Constants.RETRY_MS, this::run);
            return;
        }
        Plan plan = new Plan();
        outcomes(plan);
        gangsWithLosses(plan);
        drains(plan);
        place(plan);
        encode(plan);
        handOver(plan);
        if (plan.txn.isEmpty()) {
            become(Phase.IDLE);
            settled.run();
            return;
        }
        long wait = store.waitMs(plan.txn);
        if (wait > 0) {
            // Over our share of the store's limit: the plan is made anew when there is room for it.
            loop.after(Math.min(wait, Constants.RETRY_MS), this::run);
            return;
        }
        boolean more = plan.truncated || !plan.misfits.isEmpty();
        become(Phase.COMMITTING);
        store.commit(plan.txn, outcome -> {
            become(Phase.IDLE);
            switch (outcome.result()) {
                case DONE -> {
                    mirror.applied(plan.txn, outcome.generation());
                    if (more) {
                        wake();
                    }
                }
                case CONFLICT -> {
                    LOG.debug("round: conflict on {}", outcome.failed());
                    loop.after(Constants.ROUND_GAP_MS, this::wake);
                }
                // Refused: nothing happened. Unknown: if it was applied, the guards make the next round fail until
                // the watch has brought its result; so in both cases the plan is simply made anew.
                default -> loop.after(Constants.RETRY_MS, this::wake);
            }
            settled.run();
        });
    }

    private void outcomes(Plan plan) {
        for (Job job : jobs.all()) {
            boolean gangDone = false;
            for (Chunk c : job.chunks) {
                if (c == null) {
                    continue;
                }
                for (Placement p : c.placed.values()) {
                    if (p.over()) {
                        Chunk.Edit e = plan.edit(job, p);
                        if (e == null) {
                            return;
                        }
                        if (p.phase() == Placement.Phase.DONE && !job.spec.service()) {
                            e.done(p.index);
                            gangDone |= job.spec.gang();
                        } else {
                            e.gone(p.index);
                        }
                    }
                }
            }
            if (gangDone) {
                // The tasks of a gang complete together: if one is done, all are.
                for (int k = 0; k < job.chunks.length; k++) {
                    Chunk.Edit e = plan.edit(job, k);
                    for (int i = 0; e != null && i < e.chunk().size(); i++) {
                        e.done(e.chunk().first() + i);
                    }
                }
            }
        }
    }

    /** A gang that lost a task can't go on: the rest is stopped, and the next attempt starts when all are gone. */
    private void gangsWithLosses(Plan plan) {
        for (Job job : jobs.all()) {
            if (!job.spec.gang() || job.placedCount() == 0 || job.cancelled()) {
                continue;
            }
            boolean broken = job.placedCount() + job.doneCount() < job.spec.members();
            for (Chunk c : job.chunks) {
                for (Placement p : c == null ? List.<Placement>of() : c.placed.values()) {
                    broken |= p.stop || p.phase() == Placement.Phase.GONE;
                }
            }
            if (broken && job.doneCount() == 0) {
                stopAll(plan, job);
            }
        }
    }

    private void stopAll(Plan plan, Job job) {
        for (Chunk c : job.chunks) {
            for (Placement p : c == null ? List.<Placement>of() : c.placed.values()) {
                if (!p.stop && !p.over()) {
                    Chunk.Edit e = plan.edit(job, p);
                    if (e != null) {
                        e.stop(p.index);
                    }
                }
            }
        }
    }

    /**
     * A machine with a spot notice is drained of what can save or has not begun; the rest may still finish in time.
     * From a closed machine, only what saves and has run for a while is moved, so that it can be returned sooner.
     */
    private void drains(Plan plan) {
        for (Desk.Own o : desk.owns()) {
            MachineTable.Machine m = machines.get(o.host);
            boolean closed = m != null && m.closed();
            if (!o.draining() && !closed) {
                continue;
            }
            for (Placement p : jobs.on(o.host).values()) {
                JobSpec s = p.job.spec;
                boolean saves = s.snapshotEveryS() > 0 || s.service();
                boolean due = o.draining() ? saves || p.runningSince == 0
                        : saves && !s.gang() && p.runningSince > 0 && loop.now() - p.runningSince > Constants.MOVE_AFTER_MS;
                if (due && !p.stop && !p.over() && !p.job.cancelled()) {
                    Chunk.Edit e = plan.edit(p.job, p);
                    if (e != null) {
                        e.stop(p.index);
                    }
                }
            }
        }
    }

    // ---- placing

    private void place(Plan plan) {
        readUse(plan);
        readRooms(plan);
        long now = loop.now();
        Set<Job> guaranteed = order.guaranteed(jobs.all());
        List<QueueOrder.Ranked> queue = new ArrayList<>();
        String me = settings.member();
        QueueOrder.Ranked aheadAtLeader = null;
        for (Job job : jobs.all()) {
            if (job.cancelled() || job.pendingCount() == 0 || now < job.notBefore) {
                continue;
            }
            if (job.spec.gang() && job.placedCount() > 0) {
                continue;
            }
            QueueOrder.Ranked r = order.rank(job, guaranteed.contains(job), loop.wall());
            if (job.controller.equals(me)) {
                queue.add(r);
            } else if (job.controller.equals(blocks.leader()) && (aheadAtLeader == null || QueueOrder.ORDER.compare(r, aheadAtLeader) < 0)) {
                aheadAtLeader = r;
            }
        }
        queue.sort(QueueOrder.ORDER);
        for (QueueOrder.Ranked r : queue) {
            Job job = r.job();
            if (!plan.leading && aheadAtLeader != null && aheadAtLeader.urgency() < r.urgency()) {
                // Room that comes free here belongs to the more urgent work that the leader is waiting to place.
                plan.misfits.add(job);
                continue;
            }
            int left = placeJob(plan, job);
            if (left > 0) {
                if (plan.leading) {
                    makeRoom(plan, r, left);
                } else {
                    plan.misfits.add(job);
                }
            }
        }
    }

    private void readUse(Plan plan) {
        String me = settings.member();
        for (Job job : jobs.all()) {
            int placed = job.placedCount();
            for (Chunk c : job.chunks) {
                Chunk.Edit e = c == null ? null : plan.edits.get(c);
                if (e != null) {
                    placed -= c.placed.size() - e.placedCount();
                }
            }
            if (placed > 0) {
                addUse(plan.allUse, job.spec, placed);
                if (job.controller.equals(me)) {
                    addUse(plan.myUse, job.spec, placed);
                }
            }
        }
    }

    private static void addUse(Map<String, double[]> use, JobSpec s, int n) {
        double[] u = use.computeIfAbsent(s.owner(), t -> new double[2]);
        u[0] += n * s.vcpus();
        u[1] += n * s.cards();
    }


    private void readRooms(Plan plan) {
        Map<String, Long> mine = plan.block.machines();
        for (MachineTable.Machine m : machines.all()) {
            Catalog.Shape shape = catalog.get(m.shape());
            String owner = blocks.owner(m.host());
            boolean inBlock = mine.containsKey(m.host());
            if (m.addr() == null || m.returning() || m.closed() || shape == null || owner == null) {
                continue;
            }
            Desk.Own own = desk.own(m.host());
            boolean fit = inBlock ? own != null && own.fit() : plan.leading && peers.fit(owner, m.host());
            if (!fit) {
                continue;
            }
            Room r = new Room(m, shape, inBlock);
            for (Placement p : jobs.on(m.host()).values()) {
                // An end that this round records makes its room free in the same write.
                Chunk.Edit e = plan.edits.get(p.job.chunks[p.index / Constants.CHUNK_TASKS]);
                if (e == null || e.holds(p.index)) {
                    r.take(p.job.spec, 1, p.stop || p.job.cancelled());
                }
            }
            plan.rooms.put(m.host(), r);
        }
    }

    private boolean allowed(JobSpec s, Room r) {
        return Catalog.allowed(s, r.shape.label()) && (s.site() == null || s.site().equals(r.site)) && (s.preemptible() || !r.spot)
                && r.shape.holds(s);
    }

    /** Places what fits; returns how many tasks found no place. */
    private int placeJob(Plan plan, Job job) {
        JobSpec s = job.spec;
        int wanted = job.pendingCount();
        Blocks.Amount allowance = plan.block.allowance(s.owner());
        double[] use = plan.myUse.getOrDefault(s.owner(), new double[2]);
        int quota = Tebas.remainCap(allowance.cpus() - use[0], Double.MAX_VALUE, allowance.gpus() - use[1], s.vcpus(), 0, s.cards());
        int tasks = Math.min(wanted, quota);
        if (tasks <= 0 || s.gang() && tasks < wanted) {
            return wanted;
        }
        Map<String, Integer> spread = new LinkedHashMap<>();
        int left = assign(plan, job, tasks, true, spread);
        if (left > 0 && plan.leading) {
            if (s.gang()) {
                spread.clear();
            }
            left = assign(plan, job, s.gang() ? tasks : left, false, spread);
        }
        if (s.gang() && left > 0) {
            return wanted;
        }
        return wanted - record(plan, job, spread);
    }

    /** Runs the pass over the block's machines (or, for the leader, all machines) within the job's zone rules. */
    private int assign(Plan plan, Job job, int tasks, boolean blockOnly, Map<String, Integer> spread) {
        JobSpec s = job.spec;
        Map<String, List<Tebas.Seat>> byZone = new LinkedHashMap<>();
        for (Room r : plan.rooms.values()) {
            if (blockOnly && !r.inBlock || !allowed(s, r)) {
                continue;
            }
            int cap = r.cap(s) - spread.getOrDefault(r.host, 0);
            if (cap > 0) {
                double fitness = Tebas.fitness(operator.alpha(), s.vcpus(), frequency(s, r));
                byZone.computeIfAbsent(r.site, z -> new ArrayList<>()).add(new Tebas.Seat(r.host, fitness, cap, cap));
            }
        }
        if (!s.oneZone() && !s.scatter()) {
            List<Tebas.Seat> all = new ArrayList<>();
            byZone.values().forEach(all::addAll);
            int left = Tebas.pass(all, tasks, operator.beta());
            all.forEach(seat -> count(spread, seat));
            return left;
        }
        Map<String, Integer> perZone = zonesOf(plan, job);
        spread.forEach((host, n) -> perZone.merge(plan.rooms.get(host).site, n, Integer::sum));
        List<String> zones = new ArrayList<>(byZone.keySet());
        zones.sort(Comparator.comparingInt((String z) -> -byZone.get(z).stream().mapToInt(x -> x.remainCap).sum()).thenComparing(z -> z));
        int half = (s.members() + 1) / 2;
        int left = tasks;
        for (String z : zones) {
            if (s.oneZone() && !perZone.isEmpty() && !perZone.containsKey(z)) {
                continue;
            }
            int most = s.scatter() ? Math.min(left, half - perZone.getOrDefault(z, 0)) : left;
            int room = byZone.get(z).stream().mapToInt(x -> x.remainCap).sum();
            if (most <= 0 || s.oneZone() && s.gang() && room < left) {
                continue;
            }
            left -= most - Tebas.pass(byZone.get(z), most, operator.beta());
            byZone.get(z).forEach(seat -> count(spread, seat));
            perZone.merge(z, 0, Integer::sum);
            if (left == 0) {
                break;
            }
        }
        return left;
    }

    /**
     * The machine's frequency as this task gets to feel it: while its image is fetched, nothing runs. Where fetches take
     * as long as the tasks themselves, the paper's gain of a machine is mostly a matter of who has the image.
     */
    private double frequency(JobSpec s, Room r) {
        double clock = operator.frequency().getOrDefault(r.shape.label(), 1.0);
        if (images.has(r.host, s.container()) || s.service()) {
            return clock;
        }
        double fetchS = s.sizeGb() / Math.max(r.shape.pullGbPerS(), 0.01);
        double runS = Math.max(s.runtimeS(), 1);
        return clock * runS / (runS + fetchS);
    }

    private static void count(Map<String, Integer> spread, Tebas.Seat seat) {
        if (seat.assigned > 0) {
            spread.merge(seat.host, seat.assigned, Integer::sum);
        }
    }

    /** Where the job's tasks may be now, by zone, evidence of this round included. */
    private Map<String, Integer> zonesOf(Plan plan, Job job) {
        Map<String, Integer> out = new HashMap<>();
        for (Chunk c : job.chunks) {
            if (c == null) {
                continue;
            }
            Chunk.Edit e = plan.edits.get(c);
            for (Placement p : c.placed.values()) {
                MachineTable.Machine m = machines.get(p.host);
                if (m != null && (e == null || e.holds(p.index))) {
                    out.merge(m.site(), 1, Integer::sum);
                }
            }
        }
        return out;
    }

    /** Writes the spread into the chunks; returns how many tasks got a place. */
    private int record(Plan plan, Job job, Map<String, Integer> spread) {
        List<String> places = new ArrayList<>();
        spread.forEach((host, n) -> {
            for (int i = 0; i < n; i++) {
                places.add(host);
            }
        });
        int next = 0;
        long gangTry = 0;
        for (int k = 0; k < job.chunks.length; k++) {
            gangTry = Math.max(gangTry, job.chunk(k).lastTry);
        }
        for (int k = 0; k < job.chunks.length && next < places.size(); k++) {
            if (job.chunk(k).pending() == 0) {
                continue;
            }
            Chunk.Edit e = plan.edit(job, k);
            if (e == null) {
                break;
            }
            long attempt = (job.spec.gang() ? gangTry : e.chunk().lastTry) + 1;
            for (int i = e.chunk().first(); i < e.chunk().first() + e.chunk().size() && next < places.size(); i++) {
                if (job.chunk(k).wasPending(i) && e.pending(i)) {
                    Room r = plan.rooms.get(places.get(next));
                    e.place(i, r.host, attempt);
                    r.take(job.spec, 1, false);
                    addUse(plan.myUse, job.spec, 1);
                    addUse(plan.allUse, job.spec, 1);
                    next++;
                }
            }
        }
        return next;
    }

    // ---- preemption

    /** Stops work that the protocol lets this job displace, as little and as cheap as will do. */
    private void makeRoom(Plan plan, QueueOrder.Ranked ranked, int left) {
        Job job = ranked.job();
        JobSpec s = job.spec;
        Blocks.Amount allowance = plan.block.allowance(s.owner());
        double[] use = plan.myUse.getOrDefault(s.owner(), new double[2]);
        int need = Math.min(left, Tebas.remainCap(allowance.cpus() - use[0], Double.MAX_VALUE, allowance.gpus() - use[1], s.vcpus(), 0, s.cards()));
        boolean guaranteed = ranked.withinGuarantee();
        if (need <= 0 || s.urgency() == JobSpec.Urgency.BEST_EFFORT && !guaranteed) {
            return;
        }
        for (Room r : plan.rooms.values()) {
            if (need > 0 && allowed(s, r)) {
                int n = Math.min(need, r.soonCap(s));
                r.takeSoon(s, n);
                need -= n;
            }
        }
        List<Placement> victims = new ArrayList<>();
        if (need > 0) {
            for (Room r : plan.rooms.values()) {
                if (allowed(s, r)) {
                    for (Placement p : jobs.on(r.host).values()) {
                        if (mayStop(plan, job, p, guaranteed)) {
                            victims.add(p);
                        }
                    }
                }
            }
            // Urgent work waits for the room: a task that first saves would keep it waiting longer than one that just ends.
            boolean hurry = s.urgency().ordinal() <= JobSpec.Urgency.HIGH.ordinal();
            victims.sort(Comparator.comparingDouble((Placement p) -> hurry && p.job.spec.snapshotEveryS() > 0 ? p.job.spec.snapshotS() : 0)
                    .thenComparingInt(p -> -p.job.spec.urgency().ordinal()).thenComparingDouble(this::loss));
        }
        for (Placement p : victims) {
            if (need <= 0) {
                break;
            }
            Room r = plan.rooms.get(p.host);
            Chunk.Edit e = plan.edit(p.job, p);
            if (e == null) {
                break;
            }
            if (!e.holds(p.index)) {
                continue;
            }
            e.stop(p.index);
            r.soonCpu += p.job.spec.vcpus();
            r.soonRam += p.job.spec.ramGb();
            r.soonGpu += p.job.spec.cards();
            int n = Math.min(need, r.soonCap(s));
            r.takeSoon(s, n);
            need -= n;
        }
    }

    private boolean mayStop(Plan plan, Job forJob, Placement p, boolean guaranteed) {
        JobSpec v = p.job.spec;
        if (p.stop || p.over() || p.job.cancelled() || p.job == forJob || v.gang()) {
            return false;
        }
        double ranS = p.runningSince == 0 ? 0 : (loop.now() - p.runningSince) / 1000.0;
        if (v.runtimeS() > 0 && ranS > 0 && v.runtimeS() - ranS < Constants.NEARLY_DONE_S && ranS < 2 * v.runtimeS()) {
            return false;
        }
        if (v.urgency().ordinal() > forJob.spec.urgency().ordinal()) {
            return true;
        }
        // For a guarantee the protocol lets us stop work of any urgency. We stop only work that comes after this job in the
        // queue: more urgent work would take the room back at once, and the two would displace each other without end.
        Settings.Team team = settings.teams().get(v.owner());
        double[] use = plan.allUse.getOrDefault(v.owner(), new double[2]);
        return guaranteed && v.urgency() == forJob.spec.urgency() && !v.owner().equals(forJob.spec.owner()) && team != null
                && (use[0] - v.vcpus() >= team.cpus() || v.cards() > 0 && use[1] - v.cards() >= team.gpus());
    }

    /** CPU seconds of work that stopping the task would lose. */
    private double loss(Placement p) {
        if (p.runningSince == 0) {
            return 0;
        }
        double ran = (loop.now() - p.runningSince) / 1000.0;
        return (p.job.spec.snapshotEveryS() > 0 ? p.job.spec.snapshotS() : ran) * p.job.spec.vcpus();
    }

    // ---- the write

    private void encode(Plan plan) {
        boolean any = false;
        for (Map.Entry<Chunk, Chunk.Edit> x : plan.edits.entrySet()) {
            Chunk.Edit e = x.getValue();
            if (!e.changed()) {
                continue;
            }
            any = true;
            Job job = e.chunk().job;
            plan.txn.put(e.chunk().key(), e.encode());
            plan.txn.guard(e.chunk().key(), mirror.stamp(e.chunk().key()));
            plan.txn.guard(job.key(), mirror.stamp(job.key()));
        }
        if (!any) {
            return;
        }
        plan.txn.guard(plan.block.key(), mirror.stamp(plan.block.key()));
        if (plan.leading) {
            plan.txn.guard(Keys.LEAD, mirror.stamp(Keys.LEAD));
            for (Blocks.Block b : blocks.all()) {
                plan.txn.guard(b.key(), mirror.stamp(b.key()));
            }
        }
    }

    /**
     * Hands jobs that don't fit this block to the leader. What their tasks use moves with them, out of this block's
     * allowances and in the same change, so the sum of all allowances and uses can't pass a team's limit.
     */
    private void handOver(Plan plan) {
        String to = blocks.leader();
        if (plan.misfits.isEmpty() || to == null || to.equals(settings.member()) || blocks.of(to) == null) {
            return;
        }
        Blocks.Block block = plan.block.copy();
        boolean rewritten = false;
        boolean handed = false;
        for (Job job : plan.misfits) {
            if (!plan.txn.fits(2, 2, store.txnOps())) {
                break;
            }
            if (plan.edits(job)) {
                // Its use changes in this very write; the next round knows it exactly.
                continue;
            }
            handed = true;
            plan.txn.guard(job.key(), mirror.stamp(job.key())).put(job.key(), job.encode(to, 0));
            if (job.placedCount() > 0) {
                Blocks.Amount a = block.allowance(job.spec.owner());
                block.allowances().put(job.spec.owner(), new Blocks.Amount(
                        Math.max(0, a.cpus() - job.placedCount() * job.spec.vcpus()),
                        Math.max(0, a.gpus() - job.placedCount() * job.spec.cards())));
                rewritten = true;
            }
        }
        if (handed) {
            plan.txn.guard(block.key(), mirror.stamp(block.key()));
        }
        if (rewritten) {
            plan.txn.put(block.key(), block.encode(), session.grant());
        }
    }
}
