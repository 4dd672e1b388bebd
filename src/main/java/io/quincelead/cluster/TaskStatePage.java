package io.quincelead.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.config.constants.RecordConstants;
import io.quincelead.store.StoreKeys;
import io.quincelead.transport.WireFormat;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.BitSet;
import java.util.Collection;

/**
 * The recorded states of up to {@link RecordConstants#TASKS_PER_STATE_PAGE} tasks of a job: done,
 * placed, or else pending.
 */
public final class TaskStatePage {
    /** After the attempt of a task that is to be stopped. */
    private static final char STOP_MARK = '!';

    public final Job job;
    public final int pageNumber;

    /** The highest attempt used so far. */
    public final long lastAttempt;

    public final BitSet completed;
    public final PlacementTable placements;
    private final String storeKey;

    /** The places as they are on record; null where no record was read. */
    private final byte[] recordedPlacements;

    private TaskStatePage(
            Job job,
            int pageNumber,
            String storeKey,
            long lastAttempt,
            BitSet completed,
            PlacementTable placements,
            byte[] recordedPlacements) {
        this.job = job;
        this.storeKey = storeKey;
        this.pageNumber = pageNumber;
        this.lastAttempt = lastAttempt;
        this.completed = completed;
        this.placements = placements;
        this.recordedPlacements = recordedPlacements;
    }

    static TaskStatePage empty(Job job, int pageNumber) {
        return new TaskStatePage(
                job,
                pageNumber,
                job.hasSinglePage() ? job.storeKey() : pageKey(job.spec.jobId(), pageNumber),
                0,
                new BitSet(),
                new PlacementTable(
                        pageNumber * RecordConstants.TASKS_PER_STATE_PAGE,
                        taskCount(job, pageNumber)),
                null);
    }

    /** The record it is kept in: the job's own, if one chunk is all there is. */
    public String storeKey() {
        return storeKey;
    }

    /** Four digits, so that a job's chunks are listed in their order. */
    private static String pageKey(String jobId, int pageNumber) {
        String digits = Integer.toString(pageNumber);
        return StoreKeys.TASK_STATE_PAGE_PREFIX
                + jobId
                + "/"
                + "0".repeat(Math.max(0, 4 - digits.length()))
                + digits;
    }

    public int firstTaskIndex() {
        return pageNumber * RecordConstants.TASKS_PER_STATE_PAGE;
    }

    public int taskCount() {
        return taskCount(job, pageNumber);
    }

    private static int taskCount(Job job, int pageNumber) {
        return Math.min(
                RecordConstants.TASKS_PER_STATE_PAGE,
                job.spec.taskCount() - pageNumber * RecordConstants.TASKS_PER_STATE_PAGE);
    }

    public int pendingTaskCount() {
        return taskCount() - completed.cardinality() - placements.size();
    }

    /** Whether the task waits for a place on record. */
    public boolean isPendingOnRecord(int taskIndex) {
        return !placements.hasPlacement(taskIndex) && !completed.get(taskIndex - firstTaskIndex());
    }

    public Edit edit() {
        return new Edit(this);
    }

    /** How many tasks of a record are done, and how many have a place. */
    public record TaskCounts(int completed, int placed) {
        /** Of a record as the store has it; none where it is missing. */
        public static TaskCounts of(JsonNode node) {
            int completed = 0;
            JsonNode completedRanges = node.path("d");
            for (int i = 0; i + 1 < completedRanges.size(); i += 2) {
                completed += completedRanges.get(i + 1).asInt() - completedRanges.get(i).asInt();
            }
            return new TaskCounts(
                    completed,
                    (int)
                            placementsText(node.path("p"))
                                    .chars()
                                    .filter(character -> character == ';')
                                    .count());
        }

        /** Both together. */
        public TaskCounts plus(TaskCounts other) {
            return new TaskCounts(completed + other.completed, placed + other.placed);
        }
    }

    static TaskStatePage decode(
            Job job, int pageNumber, JsonNode node, TaskStatePage previousPage, long nowMillis) {
        BitSet completed = new BitSet();
        JsonNode completedRanges = node.path("d");
        for (int i = 0; i + 1 < completedRanges.size(); i += 2) {
            completed.set(completedRanges.get(i).asInt(), completedRanges.get(i + 1).asInt());
        }
        byte[] text = placementsText(node.path("p")).getBytes(StandardCharsets.ISO_8859_1);
        int firstTaskIndex = pageNumber * RecordConstants.TASKS_PER_STATE_PAGE;
        PlacementTable placements;
        int from = 0;
        int to = text.length;
        if (previousPage == null || previousPage.recordedPlacements == null) {
            placements = new PlacementTable(firstTaskIndex, taskCount(job, pageNumber));
        } else {
            // Most of a chunk is as before: only the places between what both texts begin and end
            // with are read.
            byte[] old = previousPage.recordedPlacements;
            from = commonPrefixLength(old, text);
            int unchangedSuffix = commonSuffixLength(old, text, from);
            to = text.length - unchangedSuffix;
            placements = new PlacementTable(previousPage.placements);
            for (int at = from; at < old.length - unchangedSuffix; at = indexAfter(old, at, ';')) {
                placements.remove(
                        firstTaskIndex + (int) parseDecimal(old, at, indexAfter(old, at, ' ') - 1));
            }
        }
        for (int at = from; at < to; ) {
            int host = indexAfter(text, at, ' ');
            int taskIndex = firstTaskIndex + (int) parseDecimal(text, at, host - 1);
            int attemptAt = indexAfter(text, host, ' ');
            int end = indexAfter(text, attemptAt, ';');
            boolean stopRequested = text[end - 2] == STOP_MARK;
            long attempt = parseDecimal(text, attemptAt, stopRequested ? end - 2 : end - 1);
            at = end;
            Placement old = previousPage == null ? null : previousPage.placements.get(taskIndex);
            boolean same =
                    old != null
                            && old.attempt == attempt
                            && matches(old.host, text, host, attemptAt - 1);
            if (same && old.stopRequested == stopRequested) {
                placements.put(old);
                continue;
            }
            Placement next =
                    new Placement(
                            job,
                            taskIndex,
                            same
                                    ? old.host
                                    : new String(
                                            text,
                                            host,
                                            attemptAt - 1 - host,
                                            StandardCharsets.ISO_8859_1),
                            attempt,
                            stopRequested,
                            nowMillis);
            if (same) {
                next.inheritObservations(old);
            }
            placements.put(next);
        }
        return new TaskStatePage(
                job,
                pageNumber,
                job.emptyPage(pageNumber).storeKey,
                node.path("t").asLong(),
                completed,
                placements,
                text);
    }

    /** Bytes that both texts begin with, up to the end of a place. */
    private static int commonPrefixLength(byte[] left, byte[] right) {
        int length = Arrays.mismatch(left, right);
        length = length < 0 ? left.length : length;
        while (length > 0 && left[length - 1] != ';') {
            length--;
        }
        return length;
    }

    /** Bytes that both end with behind the first {@code from}, from the beginning of a place on. */
    private static int commonSuffixLength(byte[] left, byte[] right, int from) {
        int limit = Math.min(left.length, right.length) - from;
        int length = 0;
        while (length < limit
                && left[left.length - 1 - length] == right[right.length - 1 - length]) {
            length++;
        }
        // A place begins behind the end of another one, or where both texts begin to differ.
        while (length > 0
                && !(isPlacementStart(left, left.length - length, from)
                        && isPlacementStart(right, right.length - length, from))) {
            length--;
        }
        return length;
    }

    private static boolean isPlacementStart(byte[] text, int offset, int from) {
        return offset == from || text[offset - 1] == ';';
    }

    private static boolean matches(String host, byte[] text, int from, int to) {
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

    /**
     * The recorded places as one text: {@code index host attempt;} a task. Before version 0.2 they
     * were lists of four values.
     */
    private static String placementsText(JsonNode recorded) {
        if (!recorded.isArray()) {
            return recorded.asText();
        }
        StringBuilder text = new StringBuilder();
        for (int i = 0; i + 3 < recorded.size(); i += 4) {
            text.append(recorded.get(i).asInt())
                    .append(' ')
                    .append(recorded.get(i + 1).asText())
                    .append(' ')
                    .append(recorded.get(i + 2).asLong())
                    .append(recorded.get(i + 3).asInt() == 1 ? STOP_MARK + ";" : ";");
        }
        return text.toString();
    }

    /**
     * Behind the next such mark; a text that has none any more is an {@link
     * IndexOutOfBoundsException}.
     */
    private static int indexAfter(byte[] text, int from, char mark) {
        int offset = from;
        while (text[offset] != mark) {
            offset++;
        }
        return offset + 1;
    }

    /** A number in decimal digits. */
    private static long parseDecimal(byte[] text, int from, int to) {
        if (from >= to) {
            throw new NumberFormatException("a number is missing");
        }
        long value = 0;
        for (int i = from; i < to; i++) {
            int digit = text[i] - '0';
            if (digit < 0 || digit > 9 || value > Long.MAX_VALUE / 10 - 1) {
                throw new NumberFormatException("not a number");
            }
            value = value * 10 + digit;
        }
        return value;
    }

    /** A planned change of a chunk. It becomes real only when the store has confirmed it. */
    public static final class Edit {
        private final TaskStatePage page;
        private final BitSet completed;
        private final PlacementTable placements;
        private long lastAttempt;
        private boolean changed;

        private Edit(TaskStatePage page) {
            this.page = page;
            this.completed = (BitSet) page.completed.clone();
            this.placements = new PlacementTable(page.placements);
            this.lastAttempt = page.lastAttempt;
        }

        public TaskStatePage page() {
            return page;
        }

        public boolean isChanged() {
            return changed;
        }

        public boolean isPending(int taskIndex) {
            return !placements.hasPlacement(taskIndex)
                    && !completed.get(taskIndex - page.firstTaskIndex());
        }

        /**
         * Whether the plan may give the task a place: it waited on record, or there is evidence
         * that it is gone, which the same change puts on record. A gang's next attempt starts only
         * when all of the last one is on record as gone.
         */
        public boolean isPlaceable(int taskIndex) {
            return isPending(taskIndex)
                    && (page.isPendingOnRecord(taskIndex) || !page.job.spec.isGang());
        }

        /** Tasks that may get a place and have none in the plan. */
        public int placeableTaskCount() {
            int count = 0;
            for (int taskIndex = page.firstTaskIndex();
                    taskIndex < page.firstTaskIndex() + page.taskCount();
                    taskIndex++) {
                count += isPlaceable(taskIndex) ? 1 : 0;
            }
            return count;
        }

        /** Where the plan leaves or puts tasks. */
        public Collection<Placement> placements() {
            return placements;
        }

        /** Whether the plan leaves the task running: not over, and not told to stop. */
        public boolean isRunning(int taskIndex) {
            Placement placement = placements.get(taskIndex);
            return placement != null && !placement.stopRequested;
        }

        public void markCompleted(int taskIndex) {
            placements.remove(taskIndex);
            completed.set(taskIndex - page.firstTaskIndex());
            changed = true;
        }

        public void markGone(int taskIndex) {
            placements.remove(taskIndex);
            changed = true;
        }

        public void place(int taskIndex, String host, long attempt) {
            placements.put(new Placement(page.job, taskIndex, host, attempt, false, 0));
            lastAttempt = Math.max(lastAttempt, attempt);
            changed = true;
        }

        public void requestStop(int taskIndex) {
            Placement placement = placements.get(taskIndex);
            if (placement == null) {
                return;
            }
            placements.put(
                    new Placement(
                            placement.job,
                            placement.taskIndex,
                            placement.host,
                            placement.attempt,
                            true,
                            placement.recordSeenAtMillis));
            changed = true;
        }

        /** The record under the chunk's key with this change made. */
        public ObjectNode encode() {
            ObjectNode node =
                    TaskStatePage.encode(page.firstTaskIndex(), lastAttempt, completed, placements);
            return page.job.hasSinglePage()
                    ? page.job.encode(page.job.controllerId, page.job.cancelledAtEpochMillis, node)
                    : node;
        }
    }

    ObjectNode encode() {
        return encode(firstTaskIndex(), lastAttempt, completed, placements);
    }

    private static ObjectNode encode(
            int firstTaskIndex, long lastAttempt, BitSet completed, PlacementTable placements) {
        ObjectNode node = WireFormat.newMap().put("t", lastAttempt);
        ArrayNode completedRanges = node.putArray("d");
        for (int from = completed.nextSetBit(0); from >= 0; ) {
            int to = completed.nextClearBit(from);
            completedRanges.add(from).add(to);
            from = completed.nextSetBit(to);
        }
        // One text instead of four values a task: every controller reads every change, and this is
        // most of what it reads.
        StringBuilder text = new StringBuilder(placements.size() * 16);
        for (Placement placement : placements) {
            text.append(placement.taskIndex - firstTaskIndex)
                    .append(' ')
                    .append(placement.host)
                    .append(' ')
                    .append(placement.attempt);
            if (placement.stopRequested) {
                text.append(STOP_MARK);
            }
            text.append(';');
        }
        return node.put("p", text.toString());
    }
}
