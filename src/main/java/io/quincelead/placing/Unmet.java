package io.quincelead.placing;

import io.quincelead.records.JobSpec;
import java.util.ArrayList;
import java.util.List;

/**
 * Demands for which a round found nothing. Room only shrinks while a round is planned, so a job that asks for as much or
 * more, and may go to no other machines, finds nothing either and need not be tried. Most waiting jobs are alike.
 */
final class Unmet {
    private final List<JobSpec> least = new ArrayList<>();

    /** Whether one that asks for no more than this has found nothing. */
    boolean covers(JobSpec s) {
        for (JobSpec a : least) {
            if (harder(s, a)) {
                return true;
            }
        }
        return false;
    }

    void add(JobSpec s) {
        least.removeIf(a -> harder(a, s));
        least.add(s);
    }

    void clear() {
        least.clear();
    }

    /** Whether every machine that would do for a task of {@code b} would do for one of {@code a}. */
    static boolean harder(JobSpec b, JobSpec a) {
        boolean more = b.vcpus() >= a.vcpus() && b.ramGb() >= a.ramGb() && b.cards() >= a.cards() && b.urgency().ordinal() >= a.urgency().ordinal();
        boolean fewer = (a.preemptible() || !b.preemptible()) && (a.site() == null || a.site().equals(b.site()))
                && (a.shapes() == null || b.shapes() != null && a.shapes().containsAll(b.shapes()));
        // Work without GPUs that may run anywhere doesn't see the machines whose GPUs are sought.
        boolean seesGpus = a.cards() > 0 || a.shapes() != null || b.cards() == 0 && b.shapes() == null;
        return more && fewer && seesGpus;
    }
}
