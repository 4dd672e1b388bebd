package io.quincelead.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.transport.WireFormat;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.BitSet;

/**
 * The stored form of a {@link TaskStatePage}: {@code t} the highest attempt, {@code d} the
 * completed tasks as ranges {@code from, to, from, to...} ({@code to} exclusive), and {@code p} all
 * placements as one text with {@code index host attempt;} for each task, and {@code !} after the
 * attempt if the task must stop. Indexes count from the first task of the page.
 *
 * <p>Placements are stored as one text instead of four values per task because every controller
 * reads every change, and placements are most of that data. For the same reason only the part of
 * the text that differs from the previous one is decoded.
 */
final class TaskStatePageCodec {
    /** Follows the attempt of a task that must stop. */
    private static final char STOP_MARK = '!';

    /** Ends each placement. */
    private static final char PLACEMENT_END = ';';

    private static final char FIELD_END = ' ';

    private TaskStatePageCodec() {}

    /**
     * Decodes a page's record. The observations of a placement are kept if the record contains the
     * same start as before; an unchanged placement stays the same object.
     *
     * @param node the page's record, or the part of the job's record that contains the page
     * @param previousPage the page as previously recorded; null: it had no record
     * @param nowMillis event-loop time at which the record was seen
     * @throws MalformedRecordException if the ranges or the placements can't be read
     */
    static TaskStatePage decode(
            Job job, int pageIndex, JsonNode node, TaskStatePage previousPage, long nowMillis)
            throws MalformedRecordException {
        try {
            byte[] text = placementsText(node.path("p")).getBytes(StandardCharsets.ISO_8859_1);
            BitSet completed = decodeCompleted(node.path("d"));
            PlacementTable placements =
                    decodePlacements(job, pageIndex, text, previousPage, nowMillis);
            return TaskStatePage.recorded(
                    job, pageIndex, node.path("t").asLong(), completed, placements, text);
        } catch (IndexOutOfBoundsException | NumberFormatException e) {
            throw new MalformedRecordException(
                    "task states of " + job.spec.jobId() + ", page " + pageIndex, e);
        }
    }

    /** Counts completed and placed tasks in a page's record; zero if the record is missing. */
    static TaskStatePage.TaskCounts decodeCounts(JsonNode node) {
        int completed = 0;
        JsonNode ranges = node.path("d");
        for (int i = 0; i + 1 < ranges.size(); i += 2) {
            completed += ranges.get(i + 1).asInt() - ranges.get(i).asInt();
        }
        String text = placementsText(node.path("p"));
        int placed = 0;
        for (int i = 0; i < text.length(); i++) {
            placed += text.charAt(i) == PLACEMENT_END ? 1 : 0;
        }
        return new TaskStatePage.TaskCounts(completed, placed);
    }

    static ObjectNode encode(
            int firstTaskIndex, long lastAttempt, BitSet completed, PlacementTable placements) {
        ObjectNode node = WireFormat.newMap().put("t", lastAttempt);
        ArrayNode ranges = node.putArray("d");
        for (int from = completed.nextSetBit(0); from >= 0; ) {
            int to = completed.nextClearBit(from);
            ranges.add(from).add(to);
            from = completed.nextSetBit(to);
        }
        StringBuilder text = new StringBuilder(placements.size() * 16);
        for (Placement placement : placements) {
            text.append(placement.taskIndex - firstTaskIndex)
                    .append(FIELD_END)
                    .append(placement.host)
                    .append(FIELD_END)
                    .append(placement.attempt);
            if (placement.stopRequested) {
                text.append(STOP_MARK);
            }
            text.append(PLACEMENT_END);
        }
        return node.put("p", text.toString());
    }

    private static BitSet decodeCompleted(JsonNode ranges) {
        BitSet completed = new BitSet();
        for (int i = 0; i + 1 < ranges.size(); i += 2) {
            completed.set(ranges.get(i).asInt(), ranges.get(i + 1).asInt());
        }
        return completed;
    }

    private static PlacementTable decodePlacements(
            Job job, int pageIndex, byte[] text, TaskStatePage previousPage, long nowMillis) {
        int firstTaskIndex = TaskStatePage.firstTaskIndex(pageIndex);
        PlacementReader reader = new PlacementReader(job, firstTaskIndex, text, nowMillis);
        if (previousPage == null || previousPage.recordedPlacements() == null) {
            PlacementTable placements =
                    new PlacementTable(firstTaskIndex, TaskStatePage.taskCount(job, pageIndex));
            reader.readInto(placements, previousPage, 0, text.length);
            return placements;
        }
        // Most of a page is unchanged, so only the placements between the common prefix and the
        // common suffix of both texts are decoded.
        byte[] previousText = previousPage.recordedPlacements();
        int from = commonPrefixLength(previousText, text);
        int suffixLength = commonSuffixLength(previousText, text, from);
        PlacementTable placements = new PlacementTable(previousPage.placements);
        int previousEnd = previousText.length - suffixLength;
        for (int offset = from;
                offset < previousEnd;
                offset = indexAfterNext(previousText, offset, PLACEMENT_END)) {
            int indexEnd = indexAfterNext(previousText, offset, FIELD_END) - 1;
            placements.remove(firstTaskIndex + (int) parseDecimal(previousText, offset, indexEnd));
        }
        reader.readInto(placements, previousPage, from, text.length - suffixLength);
        return placements;
    }

    /** Decodes the placements of one record's text; allocated once per record, not per task. */
    private static final class PlacementReader {
        private final Job job;
        private final int firstTaskIndex;
        private final byte[] text;
        private final long nowMillis;
        private int position;

        PlacementReader(Job job, int firstTaskIndex, byte[] text, long nowMillis) {
            this.job = job;
            this.firstTaskIndex = firstTaskIndex;
            this.text = text;
            this.nowMillis = nowMillis;
        }

        void readInto(PlacementTable placements, TaskStatePage previousPage, int from, int to) {
            position = from;
            while (position < to) {
                placements.put(readNext(previousPage));
            }
        }

        private Placement readNext(TaskStatePage previousPage) {
            int hostStart = indexAfterNext(text, position, FIELD_END);
            int taskIndex = firstTaskIndex + (int) parseDecimal(text, position, hostStart - 1);
            int attemptStart = indexAfterNext(text, hostStart, FIELD_END);
            int end = indexAfterNext(text, attemptStart, PLACEMENT_END);
            boolean stopRequested = text[end - 2] == STOP_MARK;
            long attempt = parseDecimal(text, attemptStart, stopRequested ? end - 2 : end - 1);
            position = end;
            Placement previous =
                    previousPage == null ? null : previousPage.placements.get(taskIndex);
            boolean sameStart =
                    previous != null
                            && previous.attempt == attempt
                            && matches(previous.host, text, hostStart, attemptStart - 1);
            if (sameStart && previous.stopRequested == stopRequested) {
                return previous;
            }
            String host =
                    sameStart
                            ? previous.host
                            : new String(
                                    text,
                                    hostStart,
                                    attemptStart - 1 - hostStart,
                                    StandardCharsets.ISO_8859_1);
            Placement next = new Placement(job, taskIndex, host, attempt, stopRequested, nowMillis);
            if (sameStart) {
                next.inheritObservations(previous);
            }
            return next;
        }
    }

    /** The length in bytes of the common prefix that ends at the end of a placement. */
    private static int commonPrefixLength(byte[] left, byte[] right) {
        int length = Arrays.mismatch(left, right);
        length = length < 0 ? left.length : length;
        while (length > 0 && left[length - 1] != PLACEMENT_END) {
            length--;
        }
        return length;
    }

    /**
     * The length in bytes of the common suffix that starts at the start of a placement and doesn't
     * overlap the first {@code from} bytes.
     */
    private static int commonSuffixLength(byte[] left, byte[] right, int from) {
        int limit = Math.min(left.length, right.length) - from;
        int length = 0;
        while (length < limit
                && left[left.length - 1 - length] == right[right.length - 1 - length]) {
            length++;
        }
        // A placement starts after the end of another one, or where the common prefix ends.
        while (length > 0
                && !(isPlacementStart(left, left.length - length, from)
                        && isPlacementStart(right, right.length - length, from))) {
            length--;
        }
        return length;
    }

    private static boolean isPlacementStart(byte[] text, int offset, int from) {
        return offset == from || text[offset - 1] == PLACEMENT_END;
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

    /** The placements as one text; versions before 0.2 stored lists of four values per task. */
    private static String placementsText(JsonNode recorded) {
        if (!recorded.isArray()) {
            return recorded.asText();
        }
        StringBuilder text = new StringBuilder();
        for (int i = 0; i + 3 < recorded.size(); i += 4) {
            text.append(recorded.get(i).asInt())
                    .append(FIELD_END)
                    .append(recorded.get(i + 1).asText())
                    .append(FIELD_END)
                    .append(recorded.get(i + 2).asLong());
            if (recorded.get(i + 3).asInt() == 1) {
                text.append(STOP_MARK);
            }
            text.append(PLACEMENT_END);
        }
        return text.toString();
    }

    /**
     * The index after the next occurrence of the mark.
     *
     * @throws IndexOutOfBoundsException if the mark doesn't occur in the rest of the text
     */
    private static int indexAfterNext(byte[] text, int from, char mark) {
        int offset = from;
        while (text[offset] != mark) {
            offset++;
        }
        return offset + 1;
    }

    /**
     * Parses the decimal digits from {@code from} to {@code to}, exclusive.
     *
     * @throws NumberFormatException if there are no digits, there is any other character, or the
     *     number is too large
     */
    private static long parseDecimal(byte[] text, int from, int to) {
        if (from >= to) {
            throw new NumberFormatException("the number is missing");
        }
        long value = 0;
        for (int i = from; i < to; i++) {
            int digit = text[i] - '0';
            if (digit < 0 || digit > 9 || value > Long.MAX_VALUE / 10 - 1) {
                throw new NumberFormatException("not a decimal number");
            }
            value = value * 10 + digit;
        }
        return value;
    }
}
