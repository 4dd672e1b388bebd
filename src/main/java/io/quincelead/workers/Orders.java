package io.quincelead.workers;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.base.Constants;
import io.quincelead.base.Loop;
import io.quincelead.net.Codec;
import io.quincelead.records.Blocks;
import io.quincelead.records.JobTable;
import io.quincelead.records.Placement;
import io.quincelead.state.Mirror;
import io.quincelead.state.Session;
import java.util.Map;

/** What a worker is told: starts, only in answers to reports; kills, at once; clears, only of ends that are on record. */
final class Orders {
    private final Loop loop;
    private final Session session;
    private final Mirror mirror;
    private final Blocks blocks;
    private final JobTable jobs;

    Orders(Loop loop, Session session, Mirror mirror, Blocks blocks, JobTable jobs) {
        this.loop = loop;
        this.session = session;
        this.mirror = mirror;
        this.blocks = blocks;
        this.jobs = jobs;
    }

    /** The answer to the worker's last report; the starts in it count as sent. */
    ObjectNode answer(Own o) {
        ObjectNode body = Codec.map().put("epoch", o.term);
        ArrayNode orders = body.putArray("orders");
        if (o.phase() == Own.Phase.FENCED) {
            if (session.joined()) {
                orders.addAll(stops(o));
            }
            if (session.valid() && blocks.mine() != null) {
                for (Placement p : jobs.on(o.host).values()) {
                    if (startDue(o, p) && orders.size() < Constants.MAX_ORDERS) {
                        orders.addObject().put("verb", "start").put("member", p.name()).put("try", p.attempt);
                        p.become(Placement.Phase.SENT);
                        p.sentTenure = o.reportTenure;
                        p.sentSerial = o.reportSerial;
                    }
                }
            }
        }
        return body;
    }

    /**
     * Kills to be sent at once; null if there are none. A kill of what we have sent no start of changes nothing on the machine, but its
     * answer shows at once that the task isn't there.
     */
    ArrayNode kills(Own o) {
        long now = loop.now();
        ArrayNode out = null;
        for (Placement p : jobs.on(o.host).values()) {
            boolean there = p.phase() == Placement.Phase.SEEN && !p.reported.equals("saving");
            if (!wanted(p) && (there || p.phase() == Placement.Phase.RECORDED)
                    && (p.killedAt == 0 || now - p.killedAt > Constants.KILL_AGAIN_MS)) {
                out = out == null ? Codec.list() : out;
                if (out.size() < Constants.MAX_ORDERS) {
                    kill(out, p.name(), p.attempt, graceS(p));
                    p.killedAt = now;
                }
            }
        }
        return out;
    }

    private boolean wanted(Placement p) {
        return !p.stop && !p.job.cancelled();
    }

    private boolean startDue(Own o, Placement p) {
        if (p.over() || !wanted(p) || o.phase() != Own.Phase.FENCED || mirror.generation() < o.grantedAt) {
            // A leader applies its own grant before the watch brings what its predecessors on that machine recorded:
            // a start by such a record could be of a task that has been placed elsewhere since.
            return false;
        }
        return p.phase() == Placement.Phase.RECORDED || Evidence.answered(o, p);
    }

    /** Whether there is something to tell the worker. */
    boolean due(Own o) {
        if (o.phase() != Own.Phase.FENCED || !session.valid()) {
            return true;
        }
        for (Placement p : jobs.on(o.host).values()) {
            if (startDue(o, p)) {
                return true;
            }
        }
        return !stops(o).isEmpty();
    }

    /** Kills for what must not run and clears for ends that are on record. */
    private ArrayNode stops(Own o) {
        ArrayNode out = Codec.list();
        Map<String, Placement> recorded = jobs.on(o.host);
        for (Report.Shown first : o.list.values()) {
            Placement p = recorded.get(first.member);
            for (Report.Shown t = first; t != null; t = t.next()) {
                boolean onRecord = p != null && p.attempt == t.attempt;
                if (t.ended()) {
                    if (!onRecord) {
                        out.addObject().put("verb", "clear").put("member", t.member).put("try", t.attempt);
                    }
                } else if (!onRecord) {
                    kill(out, t.member, t.attempt, 0);
                } else if (!wanted(p) && !t.status.equals("saving")) {
                    kill(out, t.member, t.attempt, graceS(p));
                } else if (p.job.cancelled()) {
                    kill(out, t.member, t.attempt, 0);
                }
            }
        }
        return out;
    }

    private static void kill(ArrayNode out, String name, long attempt, double graceS) {
        out.addObject().put("verb", "kill").put("member", name).put("try", attempt).put("drainS", graceS);
    }

    private static double graceS(Placement p) {
        return p.job.cancelled() || p.job.spec.snapshotEveryS() <= 0 ? 0 : Math.ceil(p.job.spec.snapshotS()) + 1;
    }
}
