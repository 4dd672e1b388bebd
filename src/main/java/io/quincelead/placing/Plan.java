package io.quincelead.placing;

import io.quincelead.base.Constants;
import io.quincelead.records.Blocks;
import io.quincelead.records.Catalog;
import io.quincelead.records.Chunk;
import io.quincelead.records.Job;
import io.quincelead.records.JobSpec;
import io.quincelead.records.Placement;
import io.quincelead.state.Txn;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** One round's plan: the changes of chunks it would write, and what room and use there is under them. */
final class Plan {
    final Txn txn = new Txn();
    final Map<Chunk, Chunk.Edit> edits = new LinkedHashMap<>();
    final Map<String, Room> rooms = new LinkedHashMap<>();
    /** The same rooms by what every job sees alike in them. */
    final Map<List<Object>, Room.Kind> kinds = new LinkedHashMap<>();
    /**
     * What tasks of this controller's jobs use by team: those on record, less the ends that this very change puts on record.
     * An end that is only known here doesn't count: were the machine to change hands before it is on record, the record
     * would entitle the new owner to start the task again, beside what took its place.
     */
    final Map<String, double[]> myUse = new HashMap<>();
    /** What tasks of all jobs use by team, ends by evidence left out: for the choice of whom to displace. */
    final Map<String, double[]> allUse = new HashMap<>();
    final List<Job> misfits = new ArrayList<>();
    /** Jobs that this round would record for the first time. */
    final Set<Job> entering = new LinkedHashSet<>();
    /** Jobs within their team's guarantee. */
    Set<Job> guaranteed = Set.of();
    /** Jobs of which no more has begun than they would else be left behind by, with how many tasks that is. */
    final Map<Job, Integer> late = new HashMap<>();
    final Blocks.Block block;
    final boolean leading;
    final int blocks;
    final int changes;
    final int txnOps;
    boolean truncated;
    /** CPUs free in rooms whose GPUs nobody seeks; NaN when they have to be summed up anew. */
    private double freeCpus = Double.NaN;
    /** CPUs of the rooms that low work leaves free. */
    double reserve;

    Plan(Blocks.Block block, boolean leading, int blocks, int changes, int txnOps) {
        this.block = block;
        this.leading = leading;
        this.blocks = blocks;
        this.changes = changes;
        this.txnOps = txnOps;
    }

    /** How many records one change may hold: each needs two guards, beside those of the leadership, the operators' records and the blocks. */
    static int most(int changes, int blocks, int txnOps) {
        return Math.min(changes, (txnOps * Constants.GUARDS_PER_OP - 6 - blocks) / 2);
    }

    /** Whether no further record fits into the change. */
    boolean full() {
        return edits.size() >= most(changes, blocks, txnOps);
    }

    /** Whether it only fits as long as so many others are kept. */
    boolean full(int kept) {
        return edits.size() >= most(changes, blocks, txnOps) - kept;
    }

    /** The job's tier in the queue. */
    int tier(Job job) {
        return QueueOrder.tier(job.spec.urgency().ordinal(), guaranteed.contains(job), late.containsKey(job));
    }

    /** Whether a record of the job is in the change already. */
    boolean holds(Job job) {
        for (int k = 0; k < job.chunks.length; k++) {
            if (edits.containsKey(job.chunk(k))) {
                return true;
            }
        }
        return false;
    }

    Room.Kind kind(Catalog.Shape shape, String site, boolean spot) {
        return kinds.computeIfAbsent(List.of(shape.label(), site, spot), k -> new Room.Kind(shape, site, spot));
    }

    void add(Room r) {
        rooms.put(r.host, r);
        r.kind.rooms.add(r);
        freeCpus = Double.NaN;
    }

    /** Room of a machine is taken by tasks that get their place in this plan. */
    void take(Room r, JobSpec s, int n) {
        r.take(s, n);
        freeCpus = Double.NaN;
    }

    /** The edit of a chunk, with the ends known by evidence; null when the transaction has no room for one more. */
    Chunk.Edit edit(Job job, int number) {
        Chunk c = job.chunk(number);
        Chunk.Edit e = edits.get(c);
        if (e == null) {
            if (full()) {
                truncated = true;
                return null;
            }
            e = c.edit();
            edits.put(c, e);
            for (Placement p : c.placed) {
                if (p.phase() == Placement.Phase.DONE && !job.spec.service()) {
                    e.done(p.index);
                } else if (p.over()) {
                    e.gone(p.index);
                }
                if (p.over() && job.controller.equals(block.member())) {
                    use(myUse, job.spec, -1);
                }
            }
        }
        return e;
    }

    Chunk.Edit edit(Placement p) {
        return edit(p.job, p.index / Constants.CHUNK_TASKS);
    }

    /** Tasks of the job that may get a place and have none in this plan. */
    int pending(Job job) {
        int n = job.waitingCount();
        for (int k = 0; !edits.isEmpty() && k < job.chunks.length; k++) {
            Chunk c = job.chunk(k);
            Chunk.Edit e = edits.get(c);
            n += e == null ? 0 : e.waiting() - waiting(c);
        }
        return n;
    }

    int pending(Job job, int number) {
        Chunk c = job.chunk(number);
        Chunk.Edit e = edits.get(c);
        return e != null ? e.waiting() : waiting(c);
    }

    private static int waiting(Chunk c) {
        int n = c.pending();
        if (!c.job.spec.gang()) {
            for (Placement p : c.placed) {
                n += p.phase() == Placement.Phase.GONE ? 1 : 0;
            }
        }
        return n;
    }

    /** CPUs that are free in rooms whose GPUs nobody seeks. */
    double freeCpus() {
        if (Double.isNaN(freeCpus)) {
            freeCpus = freeCpus(false);
        }
        return freeCpus;
    }

    /** The same, also in the others if {@code anywhere}. */
    double freeCpus(boolean anywhere) {
        double free = 0;
        for (Room r : rooms.values()) {
            free += r.open() && (anywhere || !r.kind.sought) ? r.freeCpus() : 0;
        }
        return free;
    }

    boolean edits(Job job) {
        return edits.values().stream().anyMatch(e -> e.chunk().job == job && e.changed());
    }

    void use(Map<String, double[]> use, JobSpec s, int n) {
        double[] u = use.computeIfAbsent(s.owner(), t -> new double[2]);
        u[0] += n * s.vcpus();
        u[1] += n * s.cards();
    }

    /** How many more tasks of the job its team's allowance here lets in. */
    int quota(JobSpec s) {
        return quota(block, myUse, s);
    }

    static int quota(Blocks.Block block, Map<String, double[]> uses, JobSpec s) {
        Blocks.Amount allowance = block.allowance(s.owner());
        double[] use = uses.getOrDefault(s.owner(), new double[2]);
        return Tebas.remainCap(allowance.cpus() - use[0], Double.MAX_VALUE, allowance.gpus() - use[1], s.vcpus(), 0, s.cards());
    }
}
