package io.quincelead.workers;

import io.quincelead.base.Constants;
import io.quincelead.base.Loop;
import io.quincelead.base.Settings;
import io.quincelead.policy.Policy;
import io.quincelead.records.Catalog;
import io.quincelead.records.JobTable;
import io.quincelead.records.MachineTable;
import io.quincelead.records.Placement;
import io.quincelead.records.ZoneTable;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** Which machines of our block should be given up, and which zones are only cut off from here. */
final class Health {
    private final Loop loop;
    private final Settings settings;
    private final JobTable jobs;
    private final MachineTable machines;
    private final Catalog catalog;
    private final long silentMs;
    private final Policy policy;
    private final ZoneTable zones;
    /** When each zone was last cut off from here. */
    private final Map<String, Long> unreachedAt = new HashMap<>();

    Health(Loop loop, Settings settings, JobTable jobs, MachineTable machines, Catalog catalog, Policy policy, ZoneTable zones) {
        this.policy = policy;
        this.zones = zones;
        this.loop = loop;
        this.settings = settings;
        this.jobs = jobs;
        this.machines = machines;
        this.catalog = catalog;
        this.silentMs = silentMs(settings);
    }

    /** ms. A worker's lease, with what clocks may differ and the way of a report: longer silence is a dead or hung machine's. */
    static long silentMs(Settings settings) {
        return (long) (settings.workers().leaseS() * 1000 * (1 + Constants.DRIFT)) + Constants.SILENCE_SLACK_MS;
    }

    /** The machines to be given up, each with the reason. */
    Map<Own, String> lost(Collection<Own> mine) {
        long now = loop.now();
        Map<Own, String> lost = new LinkedHashMap<>();
        Set<String> unreached = unreached(mine);
        unreached.forEach(z -> unreachedAt.put(z, now));
        for (Own o : mine) {
            if (o.phase() == Own.Phase.LEAVING) {
                continue;
            }
            boolean cutOff = unreached.contains(site(o));
            // When a zone can be reached again, each of its machines has its time anew.
            long silence = now - (cutOff ? o.heardAt : Math.max(o.heardAt, unreachedAt.getOrDefault(site(o), Long.MIN_VALUE)));
            if (o.booting()) {
                if (bootOver(o.host) && silence > silentMs && !cutOff) {
                    lost.put(o, "never came up");
                }
                continue;
            }
            boolean taken = o.draining() && o.warningLeftS() < -1;
            if (silence > (taken ? Constants.SILENCE_SLACK_MS + (long) (settings.workers().reportS() * 1500) : patienceMs(o, cutOff))) {
                lost.put(o, "silent");
            } else if (o.deafFor(cutOff ? cutPatienceMs(o) : silentMs)) {
                lost.put(o, "doesn't hear us");
            } else if (o.failuresInRow >= Constants.SICK_FAILURES) {
                lost.put(o, "fails what runs elsewhere");
            } else if (overdueCancel(o)) {
                lost.put(o, "doesn't let go of cancelled work");
            }
        }
        return lost;
    }

    private String site(Own o) {
        MachineTable.Machine m = machines.get(o.host);
        return m == null ? "" : m.site();
    }

    /** Zones of which hardly a machine can be heard here, or hears us: not the machines are at fault but the way to them. */
    private Set<String> unreached(Collection<Own> mine) {
        long old = loop.now() - (long) (settings.workers().reportS() * 1000 * Constants.HEARD_REPORTS);
        Map<String, int[]> zones = new HashMap<>();
        for (Own o : mine) {
            if (!o.booting() || o.addr != null) {
                int[] n = zones.computeIfAbsent(site(o), z -> new int[2]);
                n[0]++;
                n[1] += o.heard && o.heardAt >= old && !o.deafFor(loop.now() - old) ? 1 : 0;
            }
        }
        Set<String> out = new HashSet<>();
        zones.forEach((zone, n) -> {
            if (n[0] >= Constants.ZONE_LEAST && n[1] < n[0] * Constants.ZONE_HEARD_SHARE) {
                out.add(zone);
            }
        });
        return out;
    }

    /**
     * How long a machine's silence is borne. In a zone that is cut off, its tasks go on, kept by a controller inside; giving them up
     * would only lose them. Elsewhere a silent machine hangs or is dead; what should run all the time is not left there for long.
     */
    private long patienceMs(Own o, boolean cutOff) {
        ZoneTable.Order order = zones.of(site(o)).order();
        if (order == ZoneTable.Order.HOLD && (cutOff || zones.avoid(site(o)))) {
            return Long.MAX_VALUE;
        }
        if (cutOff) {
            return order == ZoneTable.Order.RELEASE ? 0 : cutPatienceMs(o);
        }
        boolean always = false;
        for (Placement p : jobs.on(o.host).values()) {
            always |= p.job.spec.service() && !p.over();
        }
        return always ? silentMs / 2 : silentMs;
    }

    /** The shortest that the classes of its services state, but no shorter than silence means anything; else some leases. */
    private long cutPatienceMs(Own o) {
        double least = Double.MAX_VALUE;
        for (Placement p : jobs.on(o.host).values()) {
            double ms = p.over() ? -1 : policy.zonePatienceMs(p.job);
            least = ms < 0 ? least : Math.min(least, ms);
        }
        return (long) Math.min(Math.max(least, silentMs), settings.workers().leaseS() * 1000 * Constants.ZONE_PATIENCE_LEASES);
    }

    private boolean bootOver(String host) {
        MachineTable.Machine m = machines.get(host);
        Catalog.Shape shape = m == null ? null : catalog.get(m.shape());
        return shape != null && loop.wall() - m.rentedAt() > shape.bootS() * 1000 * Constants.BOOT_PATIENCE + Constants.BOOT_SLACK_MS;
    }

    private boolean overdueCancel(Own o) {
        double limitMs = settings.workers().cancelS() * 1000 * Constants.CANCEL_RELEASE_SHARE;
        for (Placement p : jobs.on(o.host).values()) {
            if (p.job.cancelled() && loop.wall() - p.job.cancelledAt > limitMs && !p.over()) {
                return true;
            }
        }
        return false;
    }
}
