package io.quincelead.workers;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import io.quincelead.net.Codec;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

/**
 * A worker's report (protocol, "Workers"). Read from the stream: reports are most of what a controller receives, each lists
 * every task of its machine, and a tree of it would be thrown away at once.
 */
final class Report {
    String host;
    String addr;
    String shape = "";
    String site = "";
    boolean spot;
    /** -1 where it is missing. */
    long tenure = -1;
    long serial = -1;
    long epoch = -1;
    /** Seconds until the cloud takes the machine away; -1: no notice. */
    double warningS = -1;
    /** What is on the machine, by task. */
    Map<String, Shown> members = Map.of();

    /** An attempt as a worker's list shows it, and the next one of the same task; those that are not over come first. */
    static final class Shown {
        String member = "";
        long attempt;
        String status = "";
        String reason = "";
        private Shown next;

        Shown next() {
            return next;
        }

        boolean ended() {
            return status.equals("ended");
        }

        /** The entry of this attempt among those of the task; null: not shown. */
        static Shown of(Shown task, long attempt) {
            Shown t = task;
            while (t != null && t.attempt != attempt) {
                t = t.next;
            }
            return t;
        }

        /** Puts another entry of the task among them and returns the first. */
        private Shown with(Shown other) {
            if (!ended() && other.ended()) {
                other.next = next;
                next = other;
                return this;
            }
            other.next = this;
            return other;
        }
    }

    private Report() { }

    /** Whether a message of a worker is newer than another one, by tenure and serial (protocol, "Workers"). */
    static boolean newer(long tenure, long serial, long thanTenure, long thanSerial) {
        return tenure > thanTenure || tenure == thanTenure && serial > thanSerial;
    }

    /** The report in a body; null if it is none: malformed input is never an exception. */
    static Report read(byte[] body) {
        if (body == null || body.length == 0) {
            return null;
        }
        try (JsonParser in = Codec.CBOR.parser(body)) {
            Report r = new Report();
            boolean whole = in.nextToken() == JsonToken.START_OBJECT && r.fields(in) && in.nextToken() == null;
            return whole && r.host != null && r.tenure >= 0 && r.serial >= 0 && r.epoch >= 0 ? r : null;
        } catch (IOException | RuntimeException e) {
            return null;
        }
    }

    private boolean fields(JsonParser in) throws IOException {
        for (String name = in.nextFieldName(); name != null; name = in.nextFieldName()) {
            JsonToken t = in.nextToken();
            switch (name) {
                case "host" -> host = text(in, t, null);
                case "addr" -> addr = text(in, t, null);
                case "shape" -> shape = text(in, t, "");
                case "site" -> site = text(in, t, "");
                case "preemptible" -> spot = t == JsonToken.VALUE_TRUE;
                case "tenure" -> tenure = whole(in, t);
                case "serial" -> serial = whole(in, t);
                case "epoch" -> epoch = whole(in, t);
                case "warningS" -> warningS = t.isNumeric() ? in.getDoubleValue() : -1;
                case "members" -> {
                    if (t != JsonToken.START_ARRAY && t != JsonToken.VALUE_NULL) {
                        return false;
                    }
                    if (t == JsonToken.START_ARRAY) {
                        list(in);
                    }
                }
                default -> in.skipChildren();
            }
        }
        return in.currentToken() == JsonToken.END_OBJECT;
    }

    private void list(JsonParser in) throws IOException {
        members = new HashMap<>();
        for (JsonToken t = in.nextToken(); t != JsonToken.END_ARRAY; t = in.nextToken()) {
            if (t != JsonToken.START_OBJECT) {
                in.skipChildren();
                continue;
            }
            Shown shown = new Shown();
            for (String name = in.nextFieldName(); name != null; name = in.nextFieldName()) {
                JsonToken v = in.nextToken();
                switch (name) {
                    case "member" -> shown.member = text(in, v, "");
                    case "try" -> shown.attempt = whole(in, v);
                    case "status" -> shown.status = text(in, v, "");
                    case "exitReason" -> shown.reason = text(in, v, "");
                    default -> in.skipChildren();
                }
            }
            Shown others = members.putIfAbsent(shown.member, shown);
            if (others != null) {
                members.put(shown.member, others.with(shown));
            }
        }
    }

    private static String text(JsonParser in, JsonToken t, String otherwise) throws IOException {
        if (t == JsonToken.VALUE_STRING) {
            return in.getText();
        }
        in.skipChildren();
        return otherwise;
    }

    private static long whole(JsonParser in, JsonToken t) throws IOException {
        if (t == JsonToken.VALUE_NUMBER_INT) {
            return in.getLongValue();
        }
        in.skipChildren();
        return -1;
    }
}
