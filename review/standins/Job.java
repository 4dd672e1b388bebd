package standins;

import java.util.LinkedHashMap;
import java.util.Map;

/** A job as its user submits it, and what its user was told. */
final class Job {
    String id;
    String jobClass = "wind-fields";
    String owner = "model-ops";
    String mode = "array";
    String urgency = "normal";
    int members = 1;
    double vcpus = 1;
    double ramGb = 2.7;
    String container = "img-01";
    double sizeGb = 0.2;
    double runtimeS = 10;
    double snapshotEveryS;
    double snapshotS;
    boolean oneZone;
    boolean scatter;
    Double dueS;
    boolean mistaken;

    /** What a task really takes. */
    double realRunS = 10;

    double spread = 0;

    // What its user was told.
    volatile long acceptedAt;
    volatile int acceptedBy = -1;
    volatile long doneToldAt;
    volatile long cancelledToldAt;
    volatile long cancelAskedAt;
    volatile String lastStatus = "";

    double runS(int index) {
        long h = (id.hashCode() * 1_000_003L + index) * 0x9E3779B97F4A7C15L;
        double unit = ((h >>> 11) & 0xFFFFF) / (double) 0x100000;
        return realRunS * (1 + spread * (2 * unit - 1));
    }

    Map<String, Object> submission() {
        Map<String, Object> out = new LinkedHashMap<>();
        out.put("nameId", id);
        out.put("jobClass", jobClass);
        out.put("owner", owner);
        out.put("mode", mode);
        out.put("urgency", urgency);
        out.put("members", members);
        out.put("vcpus", vcpus);
        out.put("cards", 0.0);
        out.put("ramGb", ramGb);
        out.put("container", container);
        out.put("sizeGb", sizeGb);
        out.put("shapes", null);
        out.put("site", null);
        out.put("oneZone", oneZone);
        out.put("scatter", scatter);
        out.put("preemptible", true);
        out.put("runtimeS", runtimeS);
        out.put("snapshotEveryS", snapshotEveryS);
        out.put("snapshotS", snapshotS);
        out.put("dueS", dueS);
        return out;
    }
}
