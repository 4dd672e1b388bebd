package io.quincelead.records;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.base.Constants;
import io.quincelead.net.Codec;
import io.quincelead.state.Keys;
import java.nio.charset.StandardCharsets;
import java.util.BitSet;
import java.util.Collection;

/** The recorded states of up to {@link Constants#CHUNK_TASKS} tasks of a job: done, placed, or else pending. */
public final class Chunk {
    /** After the attempt of a task that is to be stopped. */
    private static final char STOP = '!';
    public final Job job;
    public final int number;
    /** The highest attempt used so far. */
    public final long lastTry;
    public final BitSet done;
    public final Places placed;
    private final String key;

    private Chunk(Job job, int number, String key, long lastTry, BitSet done, Places placed) {
        this.job = job;
        this.key = key;
        this.number = number;
        this.lastTry = lastTry;
        this.done = done;
        this.placed = placed;
    }

    static Chunk empty(Job job, int number) {
        return new Chunk(job, number, job.single() ? job.key() : key(job.spec.id(), number), 0, new BitSet(), new Places(number * Constants.CHUNK_TASKS, size(job, number)));
    }

    /** The record it is kept in: the job's own, if one chunk is all there is. */
    public String key() {
        return key;
    }

    /** Four digits, so that a job's chunks are listed in their order. */
    private static String key(String job, int number) {
        String digits = Integer.toString(number);
        return Keys.CHUNK + job + "/" + "0".repeat(Math.max(0, 4 - digits.length())) + digits;
    }

    public int first() {
        return number * Constants.CHUNK_TASKS;
    }

    public int size() {
        return size(job, number);
    }

    private static int size(Job job, int number) {
        return Math.min(Constants.CHUNK_TASKS, job.spec.members() - number * Constants.CHUNK_TASKS);
    }

    public int pending() {
        return size() - done.cardinality() - placed.size();
    }

    /** Whether the task waits for a place on record. */
    public boolean wasPending(int index) {
        return !placed.has(index) && !done.get(index - first());
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
        Places placed = new Places(number * Constants.CHUNK_TASKS, size(job, number));
        String text = places(n.path("p"));
        byte[] p = text.getBytes(StandardCharsets.ISO_8859_1);
        int first = number * Constants.CHUNK_TASKS;
        for (int at = 0; at < p.length;) {
            int host = after(p, at, ' ');
            int index = first + (int) number(p, at, host - 1);
            int attemptAt = after(p, host, ' ');
            int end = after(p, attemptAt, ';');
            boolean stop = p[end - 2] == STOP;
            long attempt = number(p, attemptAt, stop ? end - 2 : end - 1);
            at = end;
            Placement old = before == null ? null : before.placed.get(index);
            boolean same = old != null && old.attempt == attempt && old.host.length() == attemptAt - 1 - host && text.startsWith(old.host, host);
            if (same && old.stop == stop) {
                // Most of a chunk is as before: nothing to make, nothing to index.
                placed.put(old);
                continue;
            }
            Placement next = new Placement(job, index, same ? old.host : text.substring(host, attemptAt - 1), attempt, stop, now);
            if (same) {
                next.inherit(old);
            }
            placed.put(next);
        }
        return new Chunk(job, number, job.empty(number).key, n.path("t").asLong(), done, placed);
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

    /** Behind the next such mark; a text that has none any more is an {@link IndexOutOfBoundsException}. */
    private static int after(byte[] text, int from, char mark) {
        int at = from;
        while (text[at] != mark) {
            at++;
        }
        return at + 1;
    }

    /** A number in decimal digits. */
    private static long number(byte[] text, int from, int to) {
        if (from >= to) {
            throw new NumberFormatException("a number is missing");
        }
        long n = 0;
        for (int i = from; i < to; i++) {
            int digit = text[i] - '0';
            if (digit < 0 || digit > 9 || n > Long.MAX_VALUE / 10 - 1) {
                throw new NumberFormatException("not a number");
            }
            n = n * 10 + digit;
        }
        return n;
    }

    /** A planned change of a chunk. It becomes real only when the store has confirmed it. */
    public static final class Edit {
        private final Chunk chunk;
        private final BitSet done;
        private final Places placed;
        private long lastTry;
        private boolean changed;

        private Edit(Chunk chunk) {
            this.chunk = chunk;
            this.done = (BitSet) chunk.done.clone();
            this.placed = new Places(chunk.placed);
            this.lastTry = chunk.lastTry;
        }

        public Chunk chunk() {
            return chunk;
        }

        public boolean changed() {
            return changed;
        }

        public boolean pending(int index) {
            return !placed.has(index) && !done.get(index - chunk.first());
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
            return placed;
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
            placed.put(new Placement(chunk.job, index, host, attempt, false, 0));
            lastTry = Math.max(lastTry, attempt);
            changed = true;
        }

        public void stop(int index) {
            Placement p = placed.get(index);
            if (p == null) {
                return;
            }
            placed.put(new Placement(p.job, p.index, p.host, p.attempt, true, p.since));
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

    private static ObjectNode encode(int first, long lastTry, BitSet done, Places placed) {
        ObjectNode n = Codec.map().put("t", lastTry);
        ArrayNode d = n.putArray("d");
        for (int from = done.nextSetBit(0); from >= 0;) {
            int to = done.nextClearBit(from);
            d.add(from).add(to);
            from = done.nextSetBit(to);
        }
        // One text instead of four values a task: every controller reads every change, and this is most of what it reads.
        StringBuilder p = new StringBuilder(placed.size() * 16);
        for (Placement x : placed) {
            p.append(x.index - first).append(' ').append(x.host).append(' ').append(x.attempt);
            if (x.stop) {
                p.append(STOP);
            }
            p.append(';');
        }
        return n.put("p", p.toString());
    }
}
