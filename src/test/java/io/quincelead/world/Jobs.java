package io.quincelead.world;

import io.quincelead.records.JobSpec;
import java.util.List;
import java.util.SplittableRandom;

/** Jobs for tests. */
public final class Jobs {
    private Jobs() { }

    public static JobSpec array(int id, String team, JobSpec.Urgency urgency, int members, double vcpus, double runtimeS) {
        return job(id, team, JobSpec.Mode.ARRAY, urgency, members, vcpus, 0, runtimeS, null, null, false, false, true, 0);
    }

    public static JobSpec job(int id, String team, JobSpec.Mode mode, JobSpec.Urgency urgency, int members, double vcpus, double cards,
            double runtimeS, List<String> shapes, String site, boolean oneZone, boolean scatter, boolean spot, double saveEveryS) {
        return new JobSpec(String.format("wk-%06d", id), urgency == JobSpec.Urgency.BEST_EFFORT ? "slow" : "quick", team, mode, urgency, members,
                vcpus, cards, vcpus * 2, shapes, site, oneZone, scatter, spot, "img-1", 0.5, mode == JobSpec.Mode.STANDING ? 0 : runtimeS,
                saveEveryS, saveEveryS > 0 ? 2 : 0, -1);
    }

    /** A job of any kind that the test world can run. */
    public static JobSpec any(int id, SplittableRandom r) {
        JobSpec.Urgency urgency = JobSpec.Urgency.values()[r.nextInt(4)];
        String team = r.nextBoolean() ? "red" : "blue";
        double run = 2 + r.nextInt(25);
        return switch (r.nextInt(8)) {
            case 0 -> job(id, team, JobSpec.Mode.ENSEMBLE, urgency, 2 + r.nextInt(4), 2, 0, run, null, null, r.nextBoolean(), false, true, r.nextBoolean() ? 5 : 0);
            case 1 -> job(id, team, JobSpec.Mode.STANDING, urgency, 2 + r.nextInt(2), 1, 0, 0, null, null, false, true, r.nextBoolean(), 0);
            case 2 -> job(id, team, JobSpec.Mode.ARRAY, urgency, 1 + r.nextInt(3), 1, 1, run, List.of("big"), null, false, false, true, 0);
            case 3 -> job(id, team, JobSpec.Mode.ARRAY, urgency, 1 + r.nextInt(6), 2, 0, run, null, "b", false, false, false, 5);
            case 4 -> job(id, team, JobSpec.Mode.ARRAY, urgency, 1 + r.nextInt(5), 1, 0, run, null, null, true, false, true, 0);
            default -> array(id, team, urgency, 1 + r.nextInt(20), 1 + r.nextInt(3), run);
        };
    }
}
