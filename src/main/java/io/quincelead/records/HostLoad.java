package io.quincelead.records;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The tasks that may be on one machine, with what they use. The sums are read anew from the tasks only after one of them
 * has changed, so a round over all machines costs what has changed since the last one, and no sum ever drifts.
 */
public final class HostLoad {
    private static final int URGENCIES = JobSpec.Urgency.values().length;

    final Map<String, Placement> tasks = new LinkedHashMap<>();
    private boolean stale = true;
    private double cpus;
    private double ramGb;
    private double cards;
    private double leavingCpus;
    private double leavingRamGb;
    private double leavingCards;
    private final List<List<Placement>> stoppable = new ArrayList<>(Collections.nCopies(URGENCIES, List.of()));

    /** Something about one of the tasks has changed: its phase, whether it is to stop, or whether its job is cancelled. */
    void touch() {
        stale = true;
    }

    private void read() {
        if (!stale) {
            return;
        }
        stale = false;
        cpus = ramGb = cards = leavingCpus = leavingRamGb = leavingCards = 0;
        Collections.fill(stoppable, List.of());
        for (Placement p : tasks.values()) {
            if (p.over()) {
                continue;
            }
            JobSpec s = p.job.spec;
            cpus += s.vcpus();
            ramGb += s.ramGb();
            cards += s.cards();
            if (p.stop || p.job.cancelled()) {
                leavingCpus += s.vcpus();
                leavingRamGb += s.ramGb();
                leavingCards += s.cards();
            } else if (!s.gang()) {
                int u = s.urgency().ordinal();
                if (stoppable.get(u).isEmpty()) {
                    stoppable.set(u, new ArrayList<>());
                }
                stoppable.get(u).add(p);
            }
        }
    }

    /** CPUs of tasks that may be there. */
    public double cpus() {
        read();
        return cpus;
    }

    /** Memory in GB of tasks that may be there. */
    public double ramGb() {
        read();
        return ramGb;
    }

    /** GPUs of tasks that may be there. */
    public double cards() {
        read();
        return cards;
    }

    /** Of {@link #cpus}: those of tasks that are being stopped. */
    public double leavingCpus() {
        read();
        return leavingCpus;
    }

    /** Of {@link #ramGb}: that of tasks that are being stopped. */
    public double leavingRamGb() {
        read();
        return leavingRamGb;
    }

    /** Of {@link #cards}: those of tasks that are being stopped. */
    public double leavingCards() {
        read();
        return leavingCards;
    }

    /** Tasks of this urgency that could be stopped to make room: not of gangs, and not being stopped yet. */
    public List<Placement> stoppable(int urgency) {
        read();
        return stoppable.get(urgency);
    }
}
