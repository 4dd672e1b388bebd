package io.quincelead.records;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.base.Constants;
import io.quincelead.net.Codec;
import io.quincelead.state.Keys;

/** An unfinished job as the store has it. */
public final class Job {
    public final JobSpec spec;
    private final String key;
    /** The controller that places its tasks. */
    public String controller;
    /** Time of day in ms at which it was accepted. */
    public long acceptedAt;
    /** Time of day in ms at which its cancellation was recorded; 0: not cancelled. */
    public long cancelledAt;
    public final Chunk[] chunks;
    /** Stand in for chunks that have no record yet; always the same ones, so that a plan can tell them by identity. */
    private final Chunk[] empty;
    private int done;
    private int placed;
    /** Of the placed: those whose end this process has evidence of, though it may not be on record yet. */
    private int seenDone;
    private int seenGone;

    /** This process's own notes: failures in a row, and the loop time before which no task is to be started. */
    public int failures;
    /** Machines on which a task of it has failed, as far as this process saw. */
    public final java.util.Set<String> failedOn = new java.util.HashSet<>(2);
    public long notBefore;
    /** Machines types on which a task of it has completed or run well; used to tell faulty machines from faulty jobs. */
    public int successes;

    Job(JobSpec spec) {
        this.spec = spec;
        this.key = Keys.JOB + spec.id();
        this.chunks = new Chunk[(spec.members() + Constants.CHUNK_TASKS - 1) / Constants.CHUNK_TASKS];
        this.empty = new Chunk[chunks.length];
        for (int k = 0; k < empty.length; k++) {
            empty[k] = Chunk.empty(this, k);
        }
    }

    /** A job that is being submitted: on no record yet. */
    public Job(JobSpec spec, String controller, long acceptedAt) {
        this(spec);
        this.controller = controller;
        this.acceptedAt = acceptedAt;
    }

    public String key() {
        return key;
    }

    public boolean cancelled() {
        return cancelledAt > 0;
    }

    public int doneCount() {
        return done;
    }

    public int placedCount() {
        return placed;
    }

    /** Tasks that may still be on a machine, as far as this process knows. */
    public int heldCount() {
        return placed - seenDone - seenGone;
    }

    /**
     * How many tasks must have begun by now, so that nobody is left behind: none at first, then more and more of the stated share of
     * all; a gang begins as a whole. Urgent work goes first anyway. {@code beginWithinS}: seconds within which it should have begun.
     */
    public int entitled(long wallNow, double beginWithinS, double leastShare) {
        double ageS = (wallNow - acceptedAt) / 1000.0;
        double fromS = beginWithinS * Constants.LATE_FROM;
        if (ageS < fromS || leastShare <= 0 || spec.urgency().ordinal() <= JobSpec.Urgency.HIGH.ordinal()) {
            return 0;
        }
        double share = Math.min(1, (ageS - fromS) / (beginWithinS * (Constants.LATE_TO - Constants.LATE_FROM)));
        return spec.gang() ? spec.members() : (int) Math.max(1, Math.ceil(spec.members() * leastShare * share));
    }

    /** Tasks without a place, on record or by evidence. */
    public int waitingCount() {
        return pendingCount() + (spec.gang() ? 0 : seenGone);
    }

    /** Whether every task is done, on record or by evidence that isn't on record yet. */
    public boolean seenComplete() {
        return !spec.service() && done + seenDone == spec.members();
    }

    /** Keeps the counts of evidence in step with a placement that is on record. */
    void count(Placement p, int by) {
        Chunk c = p.over() ? chunks[p.index / Constants.CHUNK_TASKS] : null;
        if (c != null && c.placed.get(p.index) == p) {
            seenDone += p.phase() == Placement.Phase.DONE ? by : 0;
            seenGone += p.phase() == Placement.Phase.GONE ? by : 0;
        }
    }

    public int pendingCount() {
        return spec.members() - done - placed;
    }

    public boolean complete() {
        return !spec.service() && done == spec.members();
    }

    public Chunk chunk(int number) {
        return chunks[number] == null ? empty[number] : chunks[number];
    }

    /** A chunk as it is before it has a record. */
    Chunk empty(int number) {
        return empty[number];
    }

    void set(int number, Chunk next) {
        Chunk old = chunks[number];
        Places before = old == null ? null : old.placed;
        Places after = next == null ? null : next.placed;
        Places.changes(before, after, (was, is) -> {
            if (was != null) {
                count(was, -1);
            }
        });
        chunks[number] = next;
        if (old != null) {
            done -= old.done.cardinality();
            placed -= old.placed.size();
        }
        if (next != null) {
            done += next.done.cardinality();
            placed += next.placed.size();
        }
        Places.changes(before, after, (was, is) -> {
            if (is != null) {
                count(is, 1);
            }
        });
    }

    /** Whether its tasks' states are kept in the job's own record: most jobs then cost the store half the changes. */
    public boolean single() {
        return chunks.length == 1;
    }

    /** The job's record as it is known. */
    public ObjectNode encode() {
        return encode(controller, cancelledAt);
    }

    /** The job's record with the given controller and time of cancellation. */
    public ObjectNode encode(String byController, long cancelled) {
        return encode(byController, cancelled, single() && chunks[0] != null ? chunks[0].encode() : null);
    }

    ObjectNode encode(String byController, long cancelled, ObjectNode tasks) {
        ObjectNode n = Codec.map();
        n.set("s", spec.encode());
        n.put("c", byController).put("at", acceptedAt);
        if (cancelled > 0) {
            n.put("x", cancelled);
        }
        if (tasks != null) {
            n.set("k", tasks);
        }
        return n;
    }

    void read(JsonNode n) {
        controller = n.path("c").asText();
        acceptedAt = n.path("at").asLong();
        cancelledAt = n.path("x").asLong();
    }

    /** The state that users are told while the job is not finished; a cancelled one is called so when its tasks are gone. */
    public ObjectNode status() {
        return status(spec.id(), new Chunk.Counts(done, placed));
    }

    /** The same of a job whose records have just been read. */
    public static ObjectNode status(String id, Chunk.Counts tasks) {
        return Codec.map().put("nameId", id).put("status", tasks.placed() > 0 ? "running" : "pending").put("done", tasks.done()).put("running", tasks.placed());
    }
}
