package io.quincelead.jobs;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.app.Constants;
import io.quincelead.net.Codec;
import io.quincelead.state.Keys;
import java.util.BitSet;
import java.util.Collection;
import java.util.TreeMap;

/** The recorded states of up to {@link Constants#CHUNK_TASKS} tasks of a job: done, placed, or else pending. */
public final class Chunk {
    /** After the attempt of a task that is to be stopped. */
    private static final char STOP = '!';
    public final Job job;
    public final int number;
    /** The highest attempt used so far. */
    public final long lastTry;
    public final BitSet done;
    public final TreeMap<Integer, Placement> placed;

    Chunk(Job job, int number, long lastTry, BitSet done, TreeMap<Integer, Placement> placed) {
        this.job = job;
        this.number = number;
        this.lastTry = lastTry;
        this.done = done;
        this.placed = placed;
    }

    static Chunk empty(Job job, int number) {
        return new Chunk(job, number, 0, new BitSet(), new TreeMap<>());
    }

    /** The record it is kept in: the job's own, if one chunk is all there is. */
    public String key() {
        return job.single() ? job.key() : Keys.CHUNK + job.spec.id() + "/" + String.format("%04d", number);
    }


    public int first() {
        return number * Constants.CHUNK_TASKS;
    }

    public int size() {
        return Math.min(Constants.CHUNK_TASKS, job.spec.members() - first());
    }

    public int pending() {
        return size() - done.cardinality() - placed.size();
    }

    /** Whether the task waits for a place on record. */
    public boolean wasPending(int index) {
        return !placed.containsKey(index) && !done.get(index - first());
    }

    public Edit edit() {
        return new Edit(this);
    }

    static Chunk decode(Job job, int number, JsonNode n, Chunk before, long now) {
        BitSet done = new BitSet();
        JsonNode d = n.path("d");
        for (int i = 0; i + 1 < d.size(); i += 2) {
            done.set(d.get(i).asInt(), d.get(i + 1).asInt());
        }
        TreeMap<Integer, Placement> placed = new TreeMap<>();
        String p = places(n.path("p"));
        int first = number * Constants.CHUNK_TASKS;
        for (int at = 0; at < p.length();) {
            int index = first + (int) number(p, at, p.indexOf(' ', at));
            int host = p.indexOf(' ', at) + 1;
            int afterHost = p.indexOf(' ', host);
            int end = p.indexOf(';', afterHost);
            boolean stop = p.charAt(end - 1) == STOP;
            long attempt = number(p, afterHost + 1, stop ? end - 1 : end);
            at = end + 1;
            Placement old = before == null ? null : before.placed.get(index);
            boolean same = old != null && old.attempt == attempt && old.host.length() == afterHost - host && p.startsWith(old.host, host);
            if (same && old.stop == stop) {
                // Most of a chunk is as before: nothing to make, nothing to index.
                placed.put(index, old);
                continue;
            }
            Placement next = new Placement(job, index, same ? old.host : p.substring(host, afterHost), attempt, stop, now);
            if (same) {
                next.inherit(old);
            }
            placed.put(index, next);
        }
        return new Chunk(job, number, n.path("t").asLong(), done, placed);
    }

    /** The recorded places as one text: {@code index host attempt;} a task. Before version 0.2 they were lists of four values. */
    private static String places(JsonNode p) {
        if (!p.isArray()) {
            return p.asText();
        }
        StringBuilder text = new StringBuilder();
        for (int i = 0; i + 3 < p.size(); i += 4) {
            text.append(p.get(i).asInt()).append(' ').append(p.get(i + 1).asText()).append(' ').append(p.get(i + 2).asLong())
                    .append(p.get(i + 3).asInt() == 1 ? STOP + ";" : ";");
        }
        return text.toString();
    }

    private static long number(String text, int from, int to) {
        return Long.parseLong(text, from, to, 10);
    }

    /** A planned change of a chunk. It becomes real only when the store has confirmed it. */
    public static final class Edit {
        private final Chunk chunk;
        private final BitSet done;
        private final TreeMap<Integer, Placement> placed;
        private long lastTry;
        private boolean changed;

        private Edit(Chunk chunk) {
            this.chunk = chunk;
            this.done = (BitSet) chunk.done.clone();
            this.placed = new TreeMap<>(chunk.placed);
            this.lastTry = chunk.lastTry;
        }

        public Chunk chunk() {
            return chunk;
        }

        public boolean changed() {
            return changed;
        }

        public boolean pending(int index) {
            return !placed.containsKey(index) && !done.get(index - chunk.first());
        }

        /**
         * Whether the plan may give the task a place: it waited on record, or there is evidence that it is gone, which the same
         * change puts on record. A gang's next attempt starts only when all of the last one is on record as gone.
         */
        public boolean placeable(int index) {
            return pending(index) && (chunk.wasPending(index) || !chunk.job.spec.gang());
        }

        /** Tasks that may get a place and have none in the plan. */
        public int waiting() {
            int n = 0;
            for (int i = chunk.first(); i < chunk.first() + chunk.size(); i++) {
                n += placeable(i) ? 1 : 0;
            }
            return n;
        }

        /** Where the plan leaves or puts tasks. */
        public Collection<Placement> holding() {
            return placed.values();
        }

        /** Whether the plan leaves the task running: not over, and not told to stop. */
        public boolean running(int index) {
            Placement p = placed.get(index);
            return p != null && !p.stop;
        }

        public void done(int index) {
            placed.remove(index);
            done.set(index - chunk.first());
            changed = true;
        }

        public void gone(int index) {
            placed.remove(index);
            changed = true;
        }

        public void place(int index, String host, long attempt) {
            placed.put(index, new Placement(chunk.job, index, host, attempt, false, 0));
            lastTry = Math.max(lastTry, attempt);
            changed = true;
        }

        public void stop(int index) {
            Placement p = placed.get(index);
            if (p == null) {
                return;
            }
            placed.put(index, new Placement(p.job, p.index, p.host, p.attempt, true, p.since));
            changed = true;
        }

        /** The record under the chunk's key with this change made. */
        public ObjectNode encode() {
            ObjectNode n = Chunk.encode(chunk.first(), lastTry, done, placed);
            return chunk.job.single() ? chunk.job.encode(chunk.job.controller, chunk.job.cancelledAt, n) : n;
        }
    }

    ObjectNode encode() {
        return encode(first(), lastTry, done, placed);
    }

    private static ObjectNode encode(int first, long lastTry, BitSet done, TreeMap<Integer, Placement> placed) {
        ObjectNode n = Codec.map().put("t", lastTry);
        ArrayNode d = n.putArray("d");
        for (int from = done.nextSetBit(0); from >= 0;) {
            int to = done.nextClearBit(from);
            d.add(from).add(to);
            from = done.nextSetBit(to);
        }
        // One text instead of four values a task: every controller reads every change, and this is most of what it reads.
        StringBuilder p = new StringBuilder(placed.size() * 16);
        for (Placement x : placed.values()) {
            p.append(x.index - first).append(' ').append(x.host).append(' ').append(x.attempt);
            if (x.stop) {
                p.append(STOP);
            }
            p.append(';');
        }
        return n.put("p", p.toString());
    }
}
