package io.quincelead.worker;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import io.quincelead.transport.UnicodeText;
import io.quincelead.transport.WireFormat;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

/**
 * A worker's heartbeat. The response to a direct command has the same form (protocol, "Workers")
 * and is parsed as one, too. Parsing reads the token stream without building a tree: heartbeats are
 * most of what a controller receives, each lists every task of its machine, and the tree would be
 * discarded immediately.
 */
final class Heartbeat {
    static final String STATUS_RUNNING = "running";

    /** The task is saving a checkpoint before it is killed. */
    static final String STATUS_SAVING = "saving";

    private static final String STATUS_ENDED = "ended";

    String host;
    String address;
    String machineType = "";
    String zone = "";
    boolean spot;

    /**
     * Counts the restarts of the worker's agent; -1 if the field is missing, as with {@link
     * #serial} and {@link #fencingToken}.
     */
    long agentEpoch = -1;

    long serial = -1;
    long fencingToken = -1;

    /** Seconds until the cloud reclaims the machine; -1 without a reclaim notice. */
    double reclaimNoticeSeconds = -1;

    /** The attempts on the machine: the first of each task's linked list, by task ID. */
    Map<String, ReportedAttempt> attempts = Map.of();

    /**
     * An attempt of a task as a worker reports it, linked to the next attempt of the same task.
     * Attempts that haven't terminated come first.
     */
    static final class ReportedAttempt {
        String taskId = "";
        long attempt;
        String status = "";
        String exitReason = "";
        private ReportedAttempt next;

        ReportedAttempt next() {
            return next;
        }

        boolean isTerminated() {
            return status.equals(STATUS_ENDED);
        }

        /**
         * Finds an attempt by its number in the list that begins with {@code first}; null if it
         * isn't reported.
         */
        static ReportedAttempt find(ReportedAttempt first, long attempt) {
            ReportedAttempt reported = first;
            while (reported != null && reported.attempt != attempt) {
                reported = reported.next;
            }
            return reported;
        }

        /**
         * Adds another attempt of the same task to the list that begins with this one, and returns
         * the new first element.
         */
        private ReportedAttempt insert(ReportedAttempt other) {
            if (!isTerminated() && other.isTerminated()) {
                other.next = next;
                next = other;
                return this;
            }
            other.next = this;
            return other;
        }
    }

    private Heartbeat() {}

    /**
     * Whether a worker's message is newer than another one, compared by agent epoch and then serial
     * (protocol, "Workers").
     */
    static boolean isNewer(long agentEpoch, long serial, long otherAgentEpoch, long otherSerial) {
        return agentEpoch > otherAgentEpoch
                || agentEpoch == otherAgentEpoch && serial > otherSerial;
    }

    /**
     * Parses a heartbeat. Returns null if the body is malformed or incomplete; never throws an
     * exception.
     */
    static Heartbeat parse(byte[] body) {
        if (body == null || body.length == 0) {
            return null;
        }
        try (JsonParser parser = WireFormat.CBOR.createParser(body)) {
            Heartbeat heartbeat = new Heartbeat();
            boolean complete =
                    parser.nextToken() == JsonToken.START_OBJECT
                            && heartbeat.readFields(parser)
                            && parser.nextToken() == null;
            return complete
                            && heartbeat.host != null
                            && heartbeat.agentEpoch >= 0
                            && heartbeat.serial >= 0
                            && heartbeat.fencingToken >= 0
                    ? heartbeat
                    : null;
        } catch (IOException | RuntimeException e) {
            return null;
        }
    }

    private boolean readFields(JsonParser parser) throws IOException {
        for (String name = parser.nextFieldName(); name != null; name = parser.nextFieldName()) {
            JsonToken token = parser.nextToken();
            switch (name) {
                case "host" -> host = readText(parser, token, null);
                case "addr" -> address = readText(parser, token, null);
                case "shape" -> machineType = readText(parser, token, "");
                case "site" -> zone = readText(parser, token, "");
                case "preemptible" -> spot = token == JsonToken.VALUE_TRUE;
                case "tenure" -> agentEpoch = readInteger(parser, token);
                case "serial" -> serial = readInteger(parser, token);
                case "epoch" -> fencingToken = readInteger(parser, token);
                case "warningS" ->
                        reclaimNoticeSeconds = token.isNumeric() ? parser.getDoubleValue() : -1;
                case "members" -> {
                    if (token != JsonToken.START_ARRAY && token != JsonToken.VALUE_NULL) {
                        return false;
                    }
                    if (token == JsonToken.START_ARRAY) {
                        readTasks(parser);
                    }
                }
                default -> parser.skipChildren();
            }
        }
        return parser.currentToken() == JsonToken.END_OBJECT;
    }

    private void readTasks(JsonParser parser) throws IOException {
        attempts = new HashMap<>();
        for (JsonToken token = parser.nextToken();
                token != JsonToken.END_ARRAY;
                token = parser.nextToken()) {
            if (token != JsonToken.START_OBJECT) {
                parser.skipChildren();
                continue;
            }
            ReportedAttempt reported = new ReportedAttempt();
            for (String name = parser.nextFieldName();
                    name != null;
                    name = parser.nextFieldName()) {
                JsonToken value = parser.nextToken();
                switch (name) {
                    case "member" -> reported.taskId = readText(parser, value, "");
                    case "try" -> reported.attempt = readInteger(parser, value);
                    case "status" -> reported.status = readText(parser, value, "");
                    case "exitReason" -> reported.exitReason = readText(parser, value, "");
                    default -> parser.skipChildren();
                }
            }
            ReportedAttempt first = attempts.putIfAbsent(reported.taskId, reported);
            if (first != null) {
                attempts.put(reported.taskId, first.insert(reported));
            }
        }
    }

    /** Reads a text. Responses to the worker and records of its machine will contain it. */
    private static String readText(JsonParser parser, JsonToken token, String fallback)
            throws IOException {
        if (token == JsonToken.VALUE_STRING) {
            String text = parser.getText();
            if (!UnicodeText.isWellFormed(text)) {
                throw new IOException("a text of the message isn't UTF-8");
            }
            return text;
        }
        parser.skipChildren();
        return fallback;
    }

    private static long readInteger(JsonParser parser, JsonToken token) throws IOException {
        if (token == JsonToken.VALUE_NUMBER_INT) {
            return parser.getLongValue();
        }
        parser.skipChildren();
        return -1;
    }
}
