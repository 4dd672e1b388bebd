package io.quincelead.records;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.base.Constants;
import io.quincelead.net.Codec;
import io.quincelead.state.Keys;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
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
    /** The places as they are on record; null where no record was read. */
    private final byte[] text;

    private Chunk(Job job, int number, String key, long lastTry, BitSet done, Places placed, byte[] text) {
        this.job = job;
        this.key = key;
        this.number = number;
        this.lastTry = lastTry;
        this.done = done;
        this.placed = placed;
        this.text = text;
    }

    static Chunk empty(Job job, int number) {
        return new Chunk(job, number, job.single() ? job.key() : key(job.spec.id(), number), 0, new BitSet(), new Places(number * Constants.CHUNK_TASKS, size(job, number)), null);
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

    /** How many tasks of a record are done, and how many have a place. */
    public record Counts(int done, int placed) {
        /** Of a record as the store has it; none where it is missing. */
        public static Counts of(JsonNode n) {
            int done = 0;
            JsonNode d = n.path("d");
            for (int i = 0; i + 1 < d.size(); i += 2) {
                done += d.get(i + 1).asInt() - d.get(i).asInt();
            }
            return new Counts(done, (int) places(n.path("p")).chars().filter(c -> c == ';').count());
        }

        /** Both together. */
        public Counts and(Counts other) {
            return new Counts(done + other.done, placed + other.placed);
        }
    }

    static Chunk decode(Job job, int number, JsonNode n, Chunk before, long now) {
        BitSet done = new BitSet();
        JsonNode d = n.path("d");
        for (int i = 0; i + 1 < d.size(); i += 2) {
            done.set(d.get(i).asInt(), d.get(i + 1).asInt());
        }
        byte[] p = places(n.path("p")).getBytes(StandardCharsets.ISO_8859_1);
        int first = number * Constants.CHUNK_TASKS;
        Places placed;
        int from = 0;
        int to = p.length;
        if (before == null || before.text == null) {
            placed = new Places(first, size(job, number));
        } else {
            // Most of a chunk is as before: only the places between what both texts begin and end with are read.
            byte[] old = before.text;
            from = alike(old, p);
            int behind = alikeFromEnd(old, p, from);
            to = p.length - behind;
            placed = new Places(before.placed);
            for (int at = from; at < old.length - behind; at = after(old, at, ';')) {
                placed.remove(first + (int) number(old, at, after(old, at, ' ') - 1));
            }
        }
        for (int at = from; at < to;) {
            int host = after(p, at, ' ');
            int index = first + (int) number(p, at, host - 1);
            int attemptAt = after(p, host, ' ');
            int end = after(p, attemptAt, ';');
            boolean stop = p[end - 2] == STOP;
            long attempt = number(p, attemptAt, stop ? end - 2 : end - 1);
            at = end;
            Placement old = before == null ? null : before.placed.get(index);
            boolean same = old != null && old.attempt == attempt && is(old.host, p, host, attemptAt - 1);
            if (same && old.stop == stop) {
                placed.put(old);
                continue;
            }
            Placement next = new Placement(job, index, same ? old.host : new String(p, host, attemptAt - 1 - host, StandardCharsets.ISO_8859_1),
                    attempt, stop, now);
            if (same) {
                next.inherit(old);
            }
            placed.put(next);
        }
        return new Chunk(job, number, job.empty(number).key, n.path("t").asLong(), done, placed, p);
    }

    /** Bytes that both texts begin with, up to the end of a place. */
    private static int alike(byte[] a, byte[] b) {
        int n = Arrays.mismatch(a, b);
        n = n < 0 ? a.length : n;
        while (n > 0 && a[n - 1] != ';') {
            n--;
        }
        return n;
    }

    /** Bytes that both end with behind the first {@code from}, from the beginning of a place on. */
    private static int alikeFromEnd(byte[] a, byte[] b, int from) {
        int most = Math.min(a.length, b.length) - from;
        int n = 0;
        while (n < most && a[a.length - 1 - n] == b[b.length - 1 - n]) {
            n++;
        }
        // A place begins behind the end of another one, or where both texts begin to differ.
        while (n > 0 && !(begins(a, a.length - n, from) && begins(b, b.length - n, from))) {
            n--;
        }
        return n;
    }

    private static boolean begins(byte[] text, int at, int from) {
        return at == from || text[at - 1] == ';';
    }

    private static boolean is(String host, byte[] text, int from, int to) {
        if (host.length() != to - from) {
            return false;
        }
        for (int i = 0; i < host.length(); i++) {
            if (host.charAt(i) != text[from + i]) {
                return false;
            }
        }
        return true;
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
