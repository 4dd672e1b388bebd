package io.quincelead.placing;

import io.quincelead.base.Constants;
import io.quincelead.base.Loop;
import io.quincelead.base.OperatorSettings;
import io.quincelead.base.Settings;
import io.quincelead.policy.Policy;
import io.quincelead.records.Blocks;
import io.quincelead.records.Catalog;
import io.quincelead.records.ImageCaches;
import io.quincelead.records.Job;
import io.quincelead.records.JobSpec;
import io.quincelead.records.JobTable;
import io.quincelead.records.Kinds;
import io.quincelead.records.MachineTable;
import io.quincelead.state.StoreClient;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One walk over the queue of waiting jobs, most urgent first: reads what room there is, runs the TEBAS pass for each job
 * that could find some, makes room where that is allowed, and says which jobs don't fit this block.
 */
final class QueuePass {
    /** What is known of machines beside their records. */
    interface Machines {
        /** Whether new tasks may go to a machine of that controller's block. */
        boolean fit(String owner, String host);

        /** Seconds until a start can leave for the machine. */
        double reachS(String host);
    }

    /** How ends of tasks get on record. */
    interface Ends {
        /** Those that are due. */
        void record(Plan plan);

        /** Those of the job's team, due or not, until its allowance lets in this many tasks of the job. */
        void free(Plan plan, JobSpec s, int tasks);
    }

    private final Loop loop;
    private final Settings settings;
    private final OperatorSettings operator;
    private final StoreClient store;
    private final Blocks blocks;
    private final JobTable jobs;
    private final MachineTable machines;
    private final Catalog catalog;
    private final ImageCaches images;
    private final Kinds kinds;
    private final Policy policy;
    private final QueueOrder order;
    private final Machines fitness;
    /** When low work may be placed again. */
    private long lowAt;
    /** Whether work of ours waits for room, and what work of the leader does. */
    private boolean waiting;
    private final List<JobSpec> leaderWaits = new ArrayList<>();
    /** Changes that the largest waiting gang needs at once. */
    private int gangChanges;
    /** Since when a job has found no room in this block. */
    private final Map<Job, Long> stuckSince = new HashMap<>();
    /** Since when nothing of a waiting job has found a place here. */
    private final Map<Job, Long> passedOver = new HashMap<>();

    /** A machine of another block that had room for a job at each look since then. */
    private record Lasting(String host, long since) { }

    private final Map<Job, Lasting> lasting = new HashMap<>();
    /** When the room of other blocks may be looked at again. */
    private long elsewhereAt;
    /** Machines on record that this controller may place on, by kind; made anew when a record of machines or blocks has changed. */
    private final Map<List<Object>, List<Seen>> seen = new LinkedHashMap<>();
    private long seenMachines = -1;
    private long seenBlocks = -1;
    private boolean seenLeading;

    private record Seen(String host, String owner, boolean inBlock) { }

    /** Since when there has been room here for a job that waits at the leader. */
    private final Map<Job, Long> leaderSince = new HashMap<>();

    QueuePass(Loop loop, Settings settings, OperatorSettings operator, StoreClient store, Blocks blocks, JobTable jobs, MachineTable machines,
            Catalog catalog, ImageCaches images, Kinds kinds, Policy policy, Machines fitness) {
        this.policy = policy;
        this.loop = loop;
        this.settings = settings;
        this.operator = operator;
        this.store = store;
        this.blocks = blocks;
        this.jobs = jobs;
        this.machines = machines;
        this.catalog = catalog;
        this.images = images;
        this.kinds = kinds;
        this.order = new QueueOrder(settings, policy);
        this.fitness = fitness;
    }

    /** Whether work of ours waited for room at the last pass. */
    boolean waiting() {
        return waiting;
    }

    int gangChanges() {
        return gangChanges;
    }

    /** Whether work that waits at the leader could go where a task has just ended. */
    boolean leaderCouldUse(String host) {
        MachineTable.Machine m = machines.get(host);
        Catalog.Shape shape = m == null || leaderWaits.isEmpty() ? null : catalog.get(m.shape());
        if (shape == null) {
            return false;
        }
        Room.Kind kind = new Room.Kind(shape, m.site(), m.spot());
        kind.sought = kinds.cardsWanted(shape, m.site(), m.spot());
        return leaderWaits.stream().anyMatch(s -> kind.suits(s, 0));
    }

    /**
     * Writes into the plan where waiting tasks go. {@code chief}: the leader, if it is heard of; {@code ends} puts ends on
     * record, after urgent work and before low work.
     */
    void place(Plan plan, String chief, Ends ends) {
        List<Job> candidates = new ArrayList<>();
        List<Job> chiefWaits = new ArrayList<>();
        readJobs(plan, plan.leading ? null : chief, candidates, chiefWaits);
        readLate(plan);
        candidates.addAll(plan.entering);
        if (!policy.ready()) {
            // The classes that rule can't be read here: nothing is placed by others. Ends go on record all the same.
            candidates.clear();
        }
        leaderWaits.clear();
        chiefWaits.forEach(j -> leaderWaits.add(j.spec));
        waiting = !candidates.isEmpty();
        gangChanges = 0;
        for (Job j : candidates) {
            gangChanges = j.spec.gang() ? Math.max(gangChanges, j.chunks.length) : gangChanges;
        }
        if (!waiting) {
            stuckSince.clear();
            lasting.clear();
            passedOver.clear();
            ends.record(plan);
            return;
        }
        readRooms(plan, candidates.stream().anyMatch(j -> j.spec.urgency().ordinal() <= JobSpec.Urgency.HIGH.ordinal()));
        plan.reserve = kinds.urgentCpus(Constants.RESERVE_S) / (plan.leading ? 1 : Math.max(1, blocks.all().size()));
        plan.guaranteed = order.guaranteed(jobs.byAge());
        ahead(plan, chiefWaits);
        walk(plan, candidates, ends);
    }

    /** Sums up what teams use, and finds the jobs that wait: ours, and the leader's that its team's allowance lets in. */
    private void readJobs(Plan plan, String chief, List<Job> candidates, List<Job> chiefWaits) {
        long now = loop.now();
        String me = settings.member();
        Map<String, double[]> chiefUse = new HashMap<>();
        for (Job job : jobs.all()) {
            int placed = job.placedCount();
            if (placed > 0) {
                plan.use(plan.allUse, job.spec, job.heldCount());
                if (job.controller.equals(me)) {
                    plan.use(plan.myUse, job.spec, placed);
                } else if (job.controller.equals(chief)) {
                    plan.use(chiefUse, job.spec, placed);
                }
            }
            if (job.cancelled() || job.waitingCount() == 0) {
                continue;
            }
            if (job.controller.equals(chief)) {
                chiefWaits.add(job);
            }
            if (job.controller.equals(me) && now >= job.notBefore && !(job.spec.gang() && job.placedCount() > 0)) {
                candidates.add(job);
            }
        }
        Blocks.Block chiefBlock = chief == null ? null : blocks.of(chief);
        chiefWaits.removeIf(j -> chiefBlock == null || Plan.quota(chiefBlock, chiefUse, j.spec) < (j.spec.gang() ? j.pendingCount() : 1));
    }

    /** Whether the team's allowance here would do for the gang when all that ends by itself has ended; if not, saving for it only idles the team. */
    private boolean couldGather(Plan plan, Job gang, int tasks) {
        double services = 0;
        for (Job j : jobs.all()) {
            if (j.spec.service() && j.spec.owner().equals(gang.spec.owner()) && j.controller.equals(settings.member())) {
                services += j.placedCount() * j.spec.vcpus();
            }
        }
        return plan.block.allowance(gang.spec.owner()).cpus() - services >= tasks * gang.spec.vcpus() - 1e-9;
    }

    private void readLate(Plan plan) {
        long wall = loop.wall();
        for (Job job : jobs.byAge()) {
            if (!policy.inForce() && wall - job.acceptedAt < Constants.BEGIN_WITHIN_S * Constants.LATE_FROM * 1000) {
                break;
            }
            int entitled = job.cancelled() ? 0 : policy.entitled(job, wall);
            if (entitled > 0 && job.doneCount() + job.heldCount() <= entitled) {
                plan.late.put(job, entitled);
            }
        }
    }

    private void walk(Plan plan, List<Job> candidates, Ends ends) {
        long wall = loop.wall();
        List<QueueOrder.Ranked> queue = new ArrayList<>(candidates.size());
        for (Job j : candidates) {
            QueueOrder.Ranked r = order.rank(j, plan.guaranteed.contains(j), wall);
            if (operator.zones().on() && j.spec.service()) {
                // One replica of every model before any second one; then those of which the largest part is missing.
                r = r.back(1 + j.heldCount() / (double) j.spec.members(), Integer.MAX_VALUE);
                if (j.heldCount() == 0 && j.spec.members() > 1) {
                    queue.add(r.back(0, 1));
                }
            }
            queue.add(r);
            int first = plan.late.getOrDefault(j, 0) - j.doneCount() - j.heldCount();
            int begins = j.spec.gang() ? first : j.doneCount() + j.heldCount() > 0 ? 0 : Math.min(first, 1 + j.spec.members() / Constants.LATE_BEGIN_PART);
            if (begins > 0) {
                queue.add(r.late(true, begins));
            }
            if (first > Math.max(0, begins) && r.tier() > QueueOrder.LATE) {
                queue.add(r.late(false, first - Math.max(0, begins)));
            }
        }
        queue.sort(QueueOrder.ORDER);
        Placer placer = new Placer(operator, machines, images, policy, plan);
        boolean pressed = store.pressure() > Constants.PRESSED;
        Preemption preemption = new Preemption(loop, settings, jobs, plan, pressed, policy);
        Elsewhere elsewhere = new Elsewhere(plan);
        boolean sought = plan.kinds.values().stream().anyMatch(k -> k.sought);
        boolean lowDue = loop.now() >= lowAt;
        if (lowDue) {
            lowAt = loop.now() + store.paced(0, Constants.LOW_GAP_MAX_MS);
        }
        Set<Job> stuck = new HashSet<>();
        // Teams whose ends are all on record or in this plan, and whose allowance is short all the same.
        Set<String> unfreed = new HashSet<>();
        Map<String, Integer> saving = new HashMap<>();
        int lateOnes = (int) Math.min(Constants.LATE_RECORDS, queue.stream().filter(r -> r.tier() == QueueOrder.LATE).count());
        int lateWritten = 0;
        boolean ended = false;
        for (QueueOrder.Ranked r : queue) {
            Job job = r.job();
            boolean low = r.urgency() == JobSpec.Urgency.BEST_EFFORT.ordinal();
            if (r.late() && (low && !lowDue || pressed && lateWritten >= Constants.LATE_RECORDS && !plan.holds(job))) {
                // Late work gets its turn, but where changes are short not those that urgent work needs next.
                continue;
            }
            if (!ended && low && !r.late()) {
                // Where changes are short, urgent work comes before the record of ends, and that before low work.
                ended = true;
                ends.record(plan);
            }
            // Where changes are short, what is guaranteed would take all records of every round.
            int kept = r.tier() == QueueOrder.GUARANTEED ? lateOnes : 0;
            if (plan.full(kept) && !plan.holds(job)) {
                // No further record fits, but those in the change may hold more: a job that enters with it gets its places at once.
                plan.truncated = true;
                if (stuckSince.containsKey(job)) {
                    stuck.add(job);
                }
                continue;
            }
            if (!lowDue && low) {
                stuck.add(job);
                continue;
            }
            if (r.tier() >= saving.getOrDefault(job.spec.owner(), Integer.MAX_VALUE)) {
                // What comes free of the team's allowance is gathered for a gang that would be left behind.
                stuck.add(job);
                continue;
            }
            int wanted = plan.pending(job);
            if (plan.quota(job.spec) < wanted && unfreed.add(job.spec.owner())) {
                ends.free(plan, job.spec, wanted);
                if (plan.quota(job.spec) >= wanted) {
                    unfreed.remove(job.spec.owner());
                }
            }
            boolean held = r.late() && plan.holds(job);
            int left = placer.place(r, false);
            if (sought && left < Math.min(r.most(), wanted)) {
                passedOver.put(job, loop.now());
            }
            if (left > 0 && r.late()) {
                if (!job.spec.ordinary()) {
                    // Ordinary work finds machines elsewhere: those whose GPUs gangs seek are no way out for it.
                    left = placer.place(r, true);
                }
                lateWritten += !held && plan.holds(job) ? 1 : 0;
                placer.hold(job.spec, left);
                if (job.spec.gang() && plan.quota(job.spec) < left && couldGather(plan, job, left)) {
                    saving.putIfAbsent(job.spec.owner(), r.tier());
                }
                preemption.makeRoom(r, left, placer.zonesFor(job));
            } else if (r.late()) {
                lateWritten += held ? 0 : 1;
            } else if (left > 0) {
                boolean waitedLong = r.tier() <= QueueOrder.GUARANTEED && wall - job.acceptedAt > Constants.LATE_AFTER_S * 1000;
                if (waitedLong && job.spec.gang() && plan.quota(job.spec) < left && couldGather(plan, job, left)) {
                    // Urgent work comes first anyway, but single tasks of all other work fit into what is too little for a gang.
                    saving.putIfAbsent(job.spec.owner(), r.tier());
                }
                int unmet = preemption.makeRoom(r, left, placer.zonesFor(job));
                // What is kept for others' GPUs serves work that nothing else has served for long: empty, it would serve nobody.
                boolean passed = sought && loop.now() - passedOver.computeIfAbsent(job, j -> loop.now()) > Constants.PASSED_OVER_MS;
                if (unmet > 0 && (r.urgency() == JobSpec.Urgency.PRODUCTION.ordinal() || waitedLong || passed)) {
                    left = placer.place(r, true);
                }
                if (left > 0 && !plan.leading && elsewhere.better(job, stuck)) {
                    plan.misfits.add(job);
                }
            }
        }
        if (!ended) {
            ends.record(plan);
        }
        stuckSince.keySet().retainAll(stuck);
        lasting.keySet().retainAll(stuck);
        passedOver.keySet().removeIf(j -> j.waitingCount() == 0 || jobs.get(j.spec.id()) != j);
    }

    /**
     * Leaves room here to work that comes first and that the leader is placing, where it could go. A leader that hasn't used the room in
     * this time can't; waiting on would idle the block.
     */
    private void ahead(Plan plan, List<Job> chiefWaits) {
        leaderSince.keySet().retainAll(Set.copyOf(chiefWaits));
        Unmet none = new Unmet();
        for (Job j : chiefWaits) {
            JobSpec s = j.spec;
            boolean room = !none.covers(s) && room(plan, s);
            if (!room) {
                none.add(s);
                leaderSince.remove(j);
            } else if (loop.now() - leaderSince.computeIfAbsent(j, x -> loop.now()) > Constants.LEADER_FIRST_MS) {
                continue;
            }
            for (Room.Kind k : plan.kinds.values()) {
                if (k.allows(s)) {
                    k.leftTo = Math.min(k.leftTo, plan.tier(j));
                }
            }
        }
    }

    private static boolean room(Plan plan, JobSpec s) {
        for (Room.Kind k : plan.kinds.values()) {
            for (Room r : k.allows(s) ? k.rooms : List.<Room>of()) {
                if (r.open() && r.cap(s) > 0) {
                    return true;
                }
            }
        }
        return false;
    }

    /** Whether jobs that found no room here should go to the leader. */
    private final class Elsewhere {
        private final Plan plan;
        /** Machines of other blocks that have room; read when first needed. */
        private Map<List<Object>, Room.Kind> others;
        /** Tasks that others had room for, of jobs that had too little of it. */
        private final Map<JobSpec, Integer> found = new HashMap<>();

        Elsewhere(Plan plan) {
            this.plan = plan;
        }

        /**
         * One whose kind of machine this block hasn't got goes at once; any other one when it has waited here for a while and
         * others have room that this block lacks. Without the second condition a full cluster would hand every job to the
         * leader, who would then place all work alone. Little room counts when it lasts: it was left to a team at its limit whose
         * allowance lay with controllers without room, for as long as tasks run.
         */
        boolean better(Job job, Set<Job> stuck) {
            JobSpec s = job.spec;
            if (plan.quota(s) < (s.gang() ? job.pendingCount() : 1)) {
                // Its team's allowance here is what it lacks; that comes to where the want is. But of two gangs on two
                // controllers each could be given half of what it needs, for ever: the leader serves one after the other.
                stuck.add(job);
                return s.gang() && loop.now() - stuckSince.computeIfAbsent(job, j -> loop.now()) >= Constants.GANG_HAND_OVER_MS;
            }
            if (s.gang() || s.oneZone() || s.scatter() || plan.kinds.values().stream().noneMatch(k -> k.allows(s))) {
                return true;
            }
            stuck.add(job);
            long since = stuckSince.computeIfAbsent(job, j -> loop.now());
            if (loop.now() - since < Constants.HAND_OVER_AFTER_MS || loop.now() < elsewhereAt && others == null) {
                return false;
            }
            elsewhereAt = loop.now() + Constants.ELSEWHERE_EVERY_MS;
            int least = Math.min(job.pendingCount(), Constants.HAND_OVER_LEAST);
            for (Map.Entry<JobSpec, Integer> f : found.entrySet()) {
                if (f.getValue() < least && Unmet.harder(s, f.getKey())) {
                    return false;
                }
            }
            int n = 0;
            String any = null;
            boolean still = false;
            Lasting before = lasting.get(job);
            for (Room.Kind k : others().values()) {
                for (Room r : k.allows(s) ? k.rooms : List.<Room>of()) {
                    int cap = r.cap(s);
                    n += cap;
                    if (n >= least) {
                        return true;
                    }
                    any = cap > 0 ? r.host : any;
                    still |= cap > 0 && before != null && before.host.equals(r.host);
                }
            }
            found.put(s, n);
            if (any == null) {
                lasting.remove(job);
            } else if (!still) {
                lasting.put(job, new Lasting(any, loop.now()));
            }
            // Room for one serves one: all that wait here would else go to the leader for it. What low work leaves to urgent arrivals lasts, too.
            boolean low = s.urgency() == JobSpec.Urgency.BEST_EFFORT && s.ordinary() && plan.reserve > 0;
            if (low || !still || loop.now() - before.since < Constants.HAND_OVER_LASTING_MS) {
                return false;
            }
            lasting.clear();
            return true;
        }

        private Map<List<Object>, Room.Kind> others() {
            if (others == null) {
                Plan rest = new Plan(plan.block, false, 0, 0, 0);
                for (MachineTable.Machine m : machines.all()) {
                    Catalog.Shape shape = catalog.get(m.shape());
                    if (blocks.owner(m.host()) != null && !plan.block.machines().containsKey(m.host()) && shape != null && !m.returning()
                            && !m.closed() && images.known(m.host())) {
                        rest.add(new Room(m.host(), rest.kind(shape, m.site(), m.spot()), false, jobs.load(m.host())));
                    }
                }
                others = rest.kinds;
            }
            return others;
        }
    }

    /** {@code urgent}: work waits for which it counts how soon a worker can be told. */
    private void readRooms(Plan plan, boolean urgent) {
        readMachines(plan);
        seen.forEach((of, hosts) -> {
            Catalog.Shape shape = catalog.get((String) of.get(0));
            if (shape == null) {
                return;
            }
            Room.Kind kind = plan.kind(shape, (String) of.get(1), (Boolean) of.get(2));
            for (Seen s : hosts) {
                if (fitness.fit(s.owner, s.host)) {
                    Room r = new Room(s.host, kind, s.inBlock, jobs.load(s.host));
                    r.reachS = urgent ? fitness.reachS(s.host) : 0;
                    plan.add(r);
                }
            }
        });
        plan.kinds.values().removeIf(k -> k.rooms.isEmpty());
        plan.kinds.values().forEach(k -> k.sought = kinds.cardsWanted(k.shape, k.site, k.spot));
    }

    /** Most rounds see the same machines as the one before. */
    private void readMachines(Plan plan) {
        if (seenMachines == machines.version() && seenBlocks == blocks.version() && seenLeading == plan.leading) {
            return;
        }
        seenMachines = machines.version();
        seenBlocks = blocks.version();
        seenLeading = plan.leading;
        seen.clear();
        Map<String, Long> mine = plan.block.machines();
        if (plan.leading) {
            for (MachineTable.Machine m : machines.all()) {
                readMachine(m, mine.containsKey(m.host()));
            }
        } else {
            for (String host : mine.keySet()) {
                MachineTable.Machine m = machines.get(host);
                if (m != null) {
                    readMachine(m, true);
                }
            }
        }
    }

    private void readMachine(MachineTable.Machine m, boolean inBlock) {
        String owner = blocks.owner(m.host());
        if (!m.returning() && !m.closed() && owner != null) {
            seen.computeIfAbsent(List.of(m.shape(), m.site(), m.spot()), k -> new ArrayList<>()).add(new Seen(m.host(), owner, inBlock));
        }
    }
}
