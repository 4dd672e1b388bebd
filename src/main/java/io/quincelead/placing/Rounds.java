package io.quincelead.placing;

import io.quincelead.base.Constants;
import io.quincelead.base.Loop;
import io.quincelead.base.OperatorSettings;
import io.quincelead.base.Settings;
import io.quincelead.leader.Leader;
import io.quincelead.peers.Peers;
import io.quincelead.policy.Policy;
import io.quincelead.records.Blocks;
import io.quincelead.records.Catalog;
import io.quincelead.records.Chunk;
import io.quincelead.records.ImageCaches;
import io.quincelead.records.Job;
import io.quincelead.records.JobSpec;
import io.quincelead.records.JobTable;
import io.quincelead.records.Kinds;
import io.quincelead.records.MachineTable;
import io.quincelead.records.Placement;
import io.quincelead.state.Fence;
import io.quincelead.state.Keys;
import io.quincelead.state.Mirror;
import io.quincelead.state.Session;
import io.quincelead.state.StoreClient;
import io.quincelead.state.Txn;
import io.quincelead.workers.Desk;
import io.quincelead.workers.Own;
import java.util.ArrayDeque;
import java.util.ArrayList;
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
    private enum Phase {
        /** Nothing to do. */
        IDLE,
        /** It runs after the gap. */
        DUE,
        /** It was due and could not be made; it is tried again after a pause that nobody shortens. */
        PUT_OFF,
        /** Its change is on its way to the store. */
        COMMITTING
    }

    private final Loop loop;
    private final Settings settings;
    private final Session session;
    private final Mirror mirror;
    private final StoreClient store;
    private final Blocks blocks;
    private final JobTable jobs;
    private final MachineTable machines;
    private final Runnable settled;
    private final Policy policy;
    private Desk desk;
    private Leader leader;
    private Peers peers;
    private Phase phase = Phase.IDLE;
    private boolean again;
    /** Whether the last plan had more to write than one change holds. */
    private boolean full;
    private long lastRound;
    /** When the round that is due runs; far off if none is. A timer that finds another time here is out of date. */
    private long dueAt = Long.MAX_VALUE;
    private final QueuePass queue;
    /** Two rounds that know nothing of each other may use up the same allowance, or choose two zones for one job. */
    private final Fence fence;
    /** Chunks with ends that aren't on record, and when they should be. */
    private final Map<Ref, Long> ended = new LinkedHashMap<>();
    private record Ref(Job job, int chunk) { }

    /** Urgent jobs that are being submitted: recorded by the next round, with their first places if there are any. */
    private final ArrayDeque<Newcomer> newcomers = new ArrayDeque<>();

    private record Newcomer(Job job, long deadline, Txn.Done done) { }

    public Rounds(Loop loop, Settings settings, OperatorSettings operator, Session session, Mirror mirror, StoreClient store,
            Blocks blocks, JobTable jobs, MachineTable machines, Catalog catalog, ImageCaches images, Kinds kinds, Policy policy,
            Runnable settled) {
        this.policy = policy;
        this.loop = loop;
        this.settings = settings;
        this.session = session;
        this.mirror = mirror;
        this.store = store;
        this.blocks = blocks;
        this.jobs = jobs;
        this.machines = machines;
        this.settled = settled;
        this.fence = new Fence(loop, store, mirror, Keys.BLOCK + settings.member(), () -> blocks.mine() == null ? null
                : new Txn().guard(blocks.mine().key(), mirror.stamp(blocks.mine().key())).put(blocks.mine().key(), blocks.mine().encode(), session.grant()));
        this.queue = new QueuePass(loop, settings, operator, store, blocks, jobs, machines, catalog, images, kinds, policy, new QueuePass.Machines() {
            @Override public boolean fit(String owner, String host) {
                Own own = desk.own(host);
                return owner.equals(settings.member()) ? own != null && own.fit() : peers.fit(owner, host);
            }

            @Override public double reachS(String host) {
                Own own = desk.own(host);
                return own != null ? own.reachS() : settings.workers().reportS() / 2;
            }
        });
    }

    public void wire(Desk d, Leader l, Peers p) {
        desk = d;
        leader = l;
        peers = p;
    }

    private void become(Phase next) {
        phase = next;
    }

    /**
     * Takes in an urgent job that is being submitted. One change then records both that it is accepted and where its tasks
     * go, and its first start can leave as soon as its user is answered.
     */
    public boolean take(Job job, long patienceMs, Txn.Done done) {
        boolean urgent = job.spec.urgency().ordinal() <= JobSpec.Urgency.HIGH.ordinal();
        if (!urgent || !job.single() || !session.valid() || blocks.mine() == null || newcomers.size() >= Constants.MAX_WAITING_COMMITS
                || newcomers.stream().anyMatch(n -> n.job.spec.id().equals(job.spec.id()))) {
            return false;
        }
        newcomers.addLast(new Newcomer(job, loop.now() + patienceMs, done));
        wake();
        return true;
    }

    private void expireNewcomers() {
        while (!newcomers.isEmpty() && newcomers.peekFirst().deadline < loop.now()) {
            newcomers.pollFirst().done.got(new Txn.Outcome(Txn.Result.REFUSED, 0, Set.of()));
        }
    }

    /** Tells what became of the round to those who entered with it; who isn't concerned by a conflict tries again. */
    private void answer(List<Newcomer> entering, Txn.Outcome outcome) {
        for (int i = entering.size() - 1; i >= 0; i--) {
            Newcomer n = entering.get(i);
            boolean known = outcome.failed().contains(n.job.key()) || outcome.failed().contains(Keys.FINAL + n.job.spec.id());
            if (outcome.result() == Txn.Result.BUSY || outcome.result() == Txn.Result.CONFLICT && !known) {
                newcomers.addFirst(n);
            } else {
                n.done.got(outcome);
            }
        }
    }

    public boolean pending() {
        return phase != Phase.IDLE;
    }

    /** Something changed: a round follows, together with whatever else comes within the gap. */
    public void wake() {
        // Who is being submitted isn't kept waiting, nor what a full change had no room for; all else gathers longer while
        // changes are short, and shares records.
        wake(full || !newcomers.isEmpty() ? Constants.ROUND_GAP_MS : store.paced(Constants.ROUND_GAP_MS, Constants.ROUND_GAP_MAX_MS));
    }

    private void wake(long gapMs) {
        if (phase == Phase.IDLE) {
            become(Phase.DUE);
        }
        if (phase == Phase.DUE) {
            due(lastRound + gapMs);
        } else if (phase == Phase.COMMITTING) {
            // What came after the plan was made isn't in it: evidence would otherwise wait for the next event.
            again = true;
        }
    }

    /** Runs the round then, unless it is to run sooner. */
    private void due(long at) {
        if (at >= dueAt) {
            return;
        }
        dueAt = at;
        loop.after(Math.max(1, at - loop.now()), () -> {
            if (dueAt == at) {
                run();
            }
        });
    }

    private void putOff(long ms) {
        become(Phase.PUT_OFF);
        due(loop.now() + ms);
    }

    /**
     * There is evidence of an end. It counts here at once; on record it may come later, gathered with others of its
     * chunk, unless somebody else waits to hear of it: the task's next start, another controller, or the leader for room.
     */
    public void over(Placement p) {
        boolean ours = p.job.controller.equals(settings.member());
        boolean gone = p.phase() == Placement.Phase.GONE;
        // Low work that was displaced can wait for its next place while changes are short; others want theirs at once.
        boolean patient = gone && p.job.spec.urgency() == JobSpec.Urgency.BEST_EFFORT && store.pressure() > Constants.PRESSED;
        boolean soon = gone && !patient || p.job.spec.gang() || p.job.cancelled();
        int number = p.index / Constants.CHUNK_TASKS;
        boolean told = queue.leaderCouldUse(p.host) || !ours && p.job.chunk(number).placed.stream().allMatch(Placement::over);
        long pause = soon ? 0 : told ? Constants.END_TELL_MS
                : store.paced(ours ? Constants.END_GATHER_MS : Constants.END_TELL_MS, Constants.END_GATHER_MAX_MS);
        ended.merge(new Ref(p.job, number), loop.now() + pause, Math::min);
        if (soon || queue.waiting()) {
            wake();
        }
    }

    /** Wakes a round if work waits or an end should be on record by now. */
    public void look() {
        boolean due = blocks.mine() != null && ended.values().stream().anyMatch(t -> t <= loop.now());
        if (due || work()) {
            wake();
        }
    }

    private boolean work() {
        if (blocks.mine() == null) {
            return false;
        }
        for (Job j : jobs.all()) {
            if (!j.cancelled() && j.pendingCount() > 0 && j.controller.equals(settings.member()) || j.spec.gang()) {
                return true;
            }
        }
        return false;
    }

    private void run() {
        lastRound = loop.now();
        dueAt = Long.MAX_VALUE;
        expireNewcomers();
        if (!session.valid() || blocks.mine() == null || !mirror.synced()) {
            // Evidence may be waiting: the round is only put off, or nothing might wake it again.
            putOff(Constants.RETRY_MS);
            return;
        }
        if (!fence.clear()) {
            putOff(Constants.RETRY_MS);
            return;
        }
        int changes = Math.min(store.affordable(), store.txnOps());
        boolean entering = !newcomers.isEmpty() && store.urgentAffordable();
        if (entering) {
            changes = Math.max(changes, Math.min(newcomers.size(), store.txnOps()));
        } else if (changes < Math.min(Math.max(Constants.ROUND_LEAST_CHANGES, queue.gangChanges()), store.txnOps())) {
            // Over our share of the store's limit: a plan made now would be out of date when it may be written.
            putOff(Constants.BUSY_PAUSE_MS);
            return;
        }
        List<Newcomer> taken = new ArrayList<>();
        while (entering && !newcomers.isEmpty() && taken.size() < Plan.most(changes, blocks.all().size(), store.txnOps())) {
            Newcomer n = newcomers.pollFirst();
            if (jobs.get(n.job.spec.id()) == null) {
                taken.add(n);
            } else {
                // Recorded since it was taken in, by another submission of the same job: it must not be told as new, nor be planned twice.
                n.done.got(new Txn.Outcome(Txn.Result.CONFLICT, 0, Set.of(n.job.key())));
            }
        }
        Plan plan;
        try {
            plan = plan(changes, taken.stream().map(Newcomer::job).toList());
        } catch (RuntimeException e) {
            // A defect must not end all rounds: this one is given up, and what waits for it is looked at again.
            become(Phase.IDLE);
            answer(taken, new Txn.Outcome(Txn.Result.REFUSED, 0, Set.of()));
            throw e;
        }
        // Where the store's budget is what limits a change, another one right after it would be no fuller.
        full = plan.truncated && changes >= store.txnOps();
        if (plan.txn.isEmpty()) {
            become(Phase.IDLE);
            settled.run();
            return;
        }
        boolean more = plan.truncated || !plan.misfits.isEmpty() || !newcomers.isEmpty();
        become(Phase.COMMITTING);
        again = false;
        store.commit(plan.txn, outcome -> {
            become(Phase.IDLE);
            fence.heard(plan.txn, outcome);
            if (outcome.result() == Txn.Result.DONE) {
                mirror.applied(plan.txn, outcome.generation());
            }
            answer(taken, outcome);
            switch (outcome.result()) {
                case DONE -> {
                    if (more || again) {
                        wake();
                    }
                }
                case CONFLICT -> {
                    LOG.debug("round: conflict on {}", outcome.failed());
                    loop.after(Constants.ROUND_GAP_MS, this::wake);
                }
                // Refused: nothing happened, the plan is made anew. Unknown: the same, once the fence has settled it.
                default -> loop.after(Constants.RETRY_MS, this::wake);
            }
            settled.run();
        });
    }

    private Plan plan(int changes, List<Job> entering) {
        Plan plan = new Plan(blocks.mine(), leader.leading(), blocks.all().size(), changes, store.txnOps());
        plan.entering.addAll(entering);
        entering.forEach(j -> plan.edit(j, 0));
        gangsWithLosses(plan);
        drains(plan);
        queue.place(plan, peers.heard() ? blocks.leader() : null, new QueuePass.Ends() {
            @Override public void record(Plan p) {
                ends(p);
            }

            @Override public void free(Plan p, JobSpec s, int tasks) {
                freeAllowance(p, s, tasks);
            }
        });
        encode(plan);
        handOver(plan);
        return plan;
    }

    /** Puts the ends on record that are due; a chunk that is written anyway takes all its ends along. */
    private void ends(Plan plan) {
        long now = loop.now();
        for (Map.Entry<Ref, Long> x : new ArrayList<>(ended.entrySet())) {
            Ref ref = x.getKey();
            Chunk c = jobs.get(ref.job.spec.id()) == ref.job ? ref.job.chunks[ref.chunk] : null;
            if (c == null || c.placed.stream().noneMatch(Placement::over)) {
                ended.remove(ref);
            } else if (x.getValue() <= now) {
                Chunk.Edit e = plan.edit(ref.job, ref.chunk);
                if (e == null) {
                    return;
                }
                if (ref.job.spec.gang() && c.placed.stream().anyMatch(p -> p.phase() == Placement.Phase.DONE)) {
                    gangDone(plan, ref.job);
                }
            }
        }
    }

    private void freeAllowance(Plan plan, JobSpec s, int tasks) {
        for (Ref ref : ended.keySet()) {
            if (plan.quota(s) >= tasks || plan.full()) {
                return;
            }
            Job job = ref.job;
            if (job.spec.owner().equals(s.owner()) && job.controller.equals(settings.member()) && jobs.get(job.spec.id()) == job) {
                plan.edit(job, ref.chunk);
            }
        }
    }

    /** The tasks of a gang complete together: if one is done, all are. */
    private void gangDone(Plan plan, Job job) {
        for (int k = 0; k < job.chunks.length; k++) {
            Chunk.Edit e = plan.edit(job, k);
            for (int i = 0; e != null && i < e.chunk().size(); i++) {
                e.done(e.chunk().first() + i);
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
                for (Placement p : c == null ? List.<Placement>of() : c.placed) {
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
            for (Placement p : c == null ? List.<Placement>of() : c.placed) {
                stop(plan, p);
            }
        }
    }

    private static void stop(Plan plan, Placement p) {
        if (!p.stop && !p.over()) {
            Chunk.Edit e = plan.edit(p);
            if (e != null) {
                e.stop(p.index);
            }
        }
    }

    /**
     * A machine with a spot notice is drained of what can save or has not begun; the rest may still finish in time.
     * From a closed machine, only what saves and has run for a while is moved, so that it can be returned sooner.
     */
    private void drains(Plan plan) {
        for (Own o : desk.owns()) {
            boolean closed = machines.closed().contains(o.host);
            if (!o.draining() && !closed) {
                continue;
            }
            for (Placement p : jobs.on(o.host).values()) {
                JobSpec s = p.job.spec;
                boolean saves = s.snapshotEveryS() > 0 || s.service();
                boolean due = o.draining() ? saves || p.runningSince == 0
                        : saves && !s.gang() && p.runningSince > 0 && loop.now() - p.runningSince > Constants.MOVE_AFTER_MS;
                if (due && !p.job.cancelled()) {
                    stop(plan, p);
                }
            }
        }
    }

    // ---- the write

    private void encode(Plan plan) {
        boolean any = false;
        for (Map.Entry<Chunk, Chunk.Edit> x : plan.edits.entrySet()) {
            Chunk.Edit e = x.getValue();
            Job job = e.chunk().job;
            if (plan.entering.contains(job)) {
                String to = blocks.leader();
                boolean leaders = !e.changed() && plan.misfits.contains(job) && to != null && blocks.of(to) != null;
                plan.txn.guard(job.key(), 0).guard(Keys.FINAL + job.spec.id(), 0).put(job.key(), leaders ? job.encode(to, 0) : e.encode());
                any |= e.changed();
                continue;
            }
            if (!e.changed()) {
                continue;
            }
            any = true;
            plan.txn.put(e.chunk().key(), e.encode());
            plan.txn.guard(e.chunk().key(), mirror.stamp(e.chunk().key()));
            plan.txn.guard(job.key(), mirror.stamp(job.key()));
        }
        if (!any) {
            return;
        }
        plan.txn.guard(plan.block.key(), mirror.stamp(plan.block.key()));
        policy.guard(plan.txn);
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
            if (plan.edits(job) || plan.entering.contains(job)) {
                // Its use changes in this very write; the next round knows it exactly.
                continue;
            }
            handed = true;
            plan.txn.guard(job.key(), mirror.stamp(job.key())).put(job.key(), job.encode(to, 0));
            if (job.placedCount() > 0) {
                Blocks.Amount a = block.allowance(job.spec.owner());
                block.allowances().put(job.spec.owner(), a.without(job.placedCount(), job.spec.vcpus(), job.spec.cards()));
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
