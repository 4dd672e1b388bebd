package io.quincelead.records;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.base.Constants;
import io.quincelead.net.Codec;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.regex.Pattern;

/** What a user asks for, as submitted. */
public record JobSpec(String id, String jobClass, String owner, Mode mode, Urgency urgency, int members, double vcpus,
        double cards, double ramGb, List<String> shapes, String site, boolean oneZone, boolean scatter,
        boolean preemptible, String container, double sizeGb, double runtimeS, double snapshotEveryS, double snapshotS,
        double dueS) {

    private static final Pattern ID = Pattern.compile("wk-[0-9]{1,40}");
    private static final double MAX_AMOUNT = 1e9;

    /** Kinds of jobs: array, gang and service. */
    public enum Mode { ARRAY, ENSEMBLE, STANDING }

    /** Priorities, most urgent first. */
    public enum Urgency { PRODUCTION, HIGH, NORMAL, BEST_EFFORT }

    /** A submission that is not a job. */
    public static final class Malformed extends Exception {
        private static final long serialVersionUID = 1L;

        Malformed(String message) {
            super(message, null, false, false);
        }
    }

    public static boolean validId(String id) {
        return ID.matcher(id).matches();
    }

    public boolean gang() {
        return mode == Mode.ENSEMBLE;
    }

    public boolean service() {
        return mode == Mode.STANDING;
    }

    /** Whether any machine may run it and it is counted in CPUs alone. */
    public boolean ordinary() {
        return mode == Mode.ARRAY && cards == 0 && shapes == null && site == null && preemptible && !oneZone;
    }

    public static JobSpec parse(ObjectNode n) throws Malformed {
        if (n == null) {
            throw new Malformed("the body must be a CBOR map of at most 64 KiB");
        }
        String id = text(n, "nameId");
        if (!validId(id)) {
            throw new Malformed("nameId: must look like wk-000412");
        }
        List<String> shapes = null;
        JsonNode list = n.get("shapes");
        if (list != null && !list.isNull()) {
            if (!list.isArray()) {
                throw new Malformed("shapes: must be a list of texts or null");
            }
            shapes = new ArrayList<>();
            for (JsonNode s : list) {
                if (!s.isTextual()) {
                    throw new Malformed("shapes: must be a list of texts or null");
                }
                shapes.add(s.asText());
            }
        }
        JsonNode members = n.get("members");
        if (members == null || !members.isIntegralNumber() || !members.canConvertToInt() || members.asInt() < 1
                || members.asInt() > Constants.MAX_TASKS) {
            throw new Malformed("members: must be a whole number from 1 to " + Constants.MAX_TASKS);
        }
        double vcpus = amount(n, "vcpus");
        double cards = amount(n, "cards");
        double ram = amount(n, "ramGb");
        return new JobSpec(id, text(n, "jobClass"), text(n, "owner"), choice(n, "mode", Mode.class),
                choice(n, "urgency", Urgency.class), members.asInt(), vcpus, cards, ram, shapes, textOrNull(n, "site"),
                flag(n, "oneZone"), flag(n, "scatter"), flag(n, "preemptible"), text(n, "container"),
                amount(n, "sizeGb"), amount(n, "runtimeS"), amount(n, "snapshotEveryS"),
                amount(n, "snapshotS"), n.hasNonNull("dueS") ? amount(n, "dueS") : -1);
    }

    private static String text(ObjectNode n, String field) throws Malformed {
        JsonNode v = n.get(field);
        if (v == null || !v.isTextual() || v.asText().isEmpty() || v.asText().length() > 200) {
            throw new Malformed(field + ": must be a text of 1 to 200 characters");
        }
        return v.asText();
    }

    private static String textOrNull(ObjectNode n, String field) throws Malformed {
        return n.hasNonNull(field) ? text(n, field) : null;
    }

    private static boolean flag(ObjectNode n, String field) throws Malformed {
        JsonNode v = n.get(field);
        if (v == null || !v.isBoolean()) {
            throw new Malformed(field + ": must be true or false");
        }
        return v.asBoolean();
    }

    private static double amount(ObjectNode n, String field) throws Malformed {
        JsonNode v = n.get(field);
        if (v == null || !v.isNumber() || !Double.isFinite(v.asDouble()) || v.asDouble() < 0 || v.asDouble() > MAX_AMOUNT) {
            throw new Malformed(field + ": must be a number from 0 to " + (long) MAX_AMOUNT);
        }
        return v.asDouble();
    }

    private static <E extends Enum<E>> E choice(ObjectNode n, String field, Class<E> type) throws Malformed {
        String text = text(n, field);
        for (E e : type.getEnumConstants()) {
            if (e.name().toLowerCase(Locale.ROOT).equals(text)) {
                return e;
            }
        }
        throw new Malformed(field + ": unknown value \"" + text + "\"");
    }

    public ObjectNode encode() {
        ObjectNode n = Codec.map().put("nameId", id).put("jobClass", jobClass).put("owner", owner)
                .put("mode", mode.name().toLowerCase(Locale.ROOT)).put("urgency", urgency.name().toLowerCase(Locale.ROOT))
                .put("members", members).put("vcpus", vcpus).put("cards", cards).put("ramGb", ramGb);
        if (shapes != null) {
            ArrayNode s = n.putArray("shapes");
            shapes.forEach(s::add);
        }
        if (site != null) {
            n.put("site", site);
        }
        n.put("oneZone", oneZone).put("scatter", scatter).put("preemptible", preemptible);
        n.put("container", container).put("sizeGb", sizeGb).put("runtimeS", runtimeS).put("snapshotEveryS", snapshotEveryS).put("snapshotS", snapshotS);
        if (dueS >= 0) {
            n.put("dueS", dueS);
        }
        return n;
    }
}
