package io.quincelead.world;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.records.JobSpec;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Troubles that meet: each of the kinds that broke rules on real machines, alone or drawn together a few seconds apart. */
final class Meetings {
    private Meetings() { }

    /** What can meet. */
    enum Kind {
        /** The leader is cut from the store and from the other controllers; its workers and users still reach it. */
        LEADER_CUT,
        /** Transactions get no answer and are carried out 2 to 12 s later. */
        LATE_WRITES,
        /** The store answers slowly. */
        SLOW_STORE,
        /** The store refuses the leader alone. */
        LEADER_REFUSED,
        /** The store is down for all. */
        STORE_DOWN,
        /** The leader ends, and is back late or at once. */
        LEADER_ENDS,
        /** Machines can't be reached, nor reach anybody. */
        MACHINES_CUT,
        /** Machines' reports arrive; answers and direct commands to them are lost. */
        MACHINES_DEAF,
        /** Old reports arrive again. */
        LATE_REPORTS,
        /** Direct commands and their answers are held for seconds. */
        HELD_COMMANDS,
        /** Machines stand still and go on. */
        MACHINES_HANG,
        /** All controllers end; one is back at once, the others later. */
        ALL_END,
        /** Transactions are carried out at once; only their answers are lost. */
        LOST_ANSWERS,
        /** Copies of reports are kept and brought to every controller as the next leader begins. */
        KEPT_REPORTS,
        /** Reports are held up until a new leader has acted. */
        HELD_REPORTS,
        /** Machines reach no controller; direct commands reach them. */
        MACHINES_MUTE,
        /** Users ask all controllers and repeat submissions within milliseconds of each piece of news; some cancel at once. */
        CLOSE_LOOKS,
        /** Users repeat submissions of unfinished jobs, cancel what is done, and submit what fits nothing or lacks a field. */
        ODD_REQUESTS,
        /** Many running jobs are cancelled within 0.2 s. */
        CANCEL_NOW,
        /** The same, and their machines hang. */
        CANCEL_AND_HANG,
        /** Jobs are cancelled at the moment at which their last task ends. */
        CANCEL_AT_END,
        /** New machines are up within two seconds. */
        QUICK_BOOTS,
        /** One-task jobs come four a second, a quarter of them cancelled. */
        ONE_TASK_JOBS,
        /** Links are slow while there is more work than room. */
        SLOW_LINKS,
        /** A zone's machines and one controller are cut off from all else. */
        ZONE_CUT,
        /** Leaders change again and again. */
        LEADERS_CHANGE
    }

    /** The kinds that the first drawn days know, whose seeds stay what they were. */
    private static final int FIRST_KINDS = Kind.ALL_END.ordinal() + 1;

    /** The leader's place among the controllers; -1: nobody leads. */
    static int leader(World w) {
        return w.store.value("a/lead") == null ? -1 : w.index(w.store.value("a/lead").path("m").asText());
    }

    static void bring(World w, Kind kind) {
        long span = 3_000 + w.sim.random.nextLong(30_000);
        int leads = Math.max(0, leader(w));
        String ip = w.controllers.get(leads).ip;
        w.troubled(w.sim.now() + span);
        switch (kind) {
            case LEADER_CUT -> {
                List<String> others = new ArrayList<>(List.of("10.2.0.1"));
                w.controllers.forEach(c -> others.add(c.ip));
                others.remove(ip);
                Troubles.cut(w, ip, others, span);
            }
            case LATE_WRITES -> {
                w.store.lateWrites = 0.05 + w.sim.random.nextDouble() * 0.3;
                w.sim.after(span, () -> w.store.lateWrites = 0);
                w.troubled(w.sim.now() + span + 12_000);
            }
            case SLOW_STORE -> {
                w.store.slowMs = 200 + w.sim.random.nextLong(1_800);
                w.sim.after(span, () -> w.store.slowMs = 0);
            }
            case LEADER_REFUSED -> refuse(w, leads, span);
            case STORE_DOWN -> outage(w, span + w.sim.random.nextLong(40_000));
            case LEADER_ENDS -> Troubles.crash(w, leads, w.sim.random.nextBoolean() ? Troubles.soon(w) : 2_000 + w.sim.random.nextLong(20_000));
            case MACHINES_CUT -> some(w, m -> {
                List<String> all = new ArrayList<>();
                w.controllers.forEach(c -> all.add(c.ip));
                Troubles.cut(w, m.addr.substring(0, m.addr.indexOf(':')), all, span);
            });
            case MACHINES_DEAF -> some(w, m -> deaf(w, m, span));
            case LATE_REPORTS -> {
                w.net.lateReports = 0.05 + w.sim.random.nextDouble() * 0.3;
                w.sim.after(span, () -> w.net.lateReports = 0);
                w.troubled(w.sim.now() + span + 45_000);
            }
            case HELD_COMMANDS -> {
                w.net.heldCommands = 0.2 + w.sim.random.nextDouble() * 0.5;
                w.sim.after(span, () -> w.net.heldCommands = 0);
                w.troubled(w.sim.now() + span + 14_000);
            }
            case MACHINES_HANG -> some(w, m -> {
                m.hang(true);
                w.sim.after(Math.min(span, 9_000), () -> m.hang(false));
            });
            case ALL_END -> {
                int first = w.sim.random.nextInt(w.controllers.size());
                for (int i = 0; i < w.controllers.size(); i++) {
                    Troubles.crash(w, i, i == first ? Troubles.soon(w) : 1_000 + w.sim.random.nextLong(8_000));
                }
            }
            case LOST_ANSWERS -> {
                w.store.lostAnswers = 0.1 + w.sim.random.nextDouble() * 0.5;
                w.sim.after(span, () -> w.store.lostAnswers = 0);
            }
            case KEPT_REPORTS -> keepReports(w, 0.3, span + 10_000);
            case HELD_REPORTS -> holdReports(w, 0.3, Math.min(span, 10_000), span + 10_000);
            case MACHINES_MUTE -> some(w, m -> mute(w, m, span));
            case CLOSE_LOOKS -> {
                w.users.closeLooks = true;
                w.users.cancelledAtOnce = 0.2;
                w.sim.after(span, () -> {
                    w.users.closeLooks = false;
                    w.users.cancelledAtOnce = 0;
                });
            }
            case ODD_REQUESTS -> w.users.oddRequests(300, span);
            case CANCEL_NOW -> w.users.cancelNow(12, 0);
            case CANCEL_AND_HANG -> w.users.cancelNow(12, Math.min(span, 9_000));
            case CANCEL_AT_END -> {
                w.users.cancelledAtEnd = 0.6;
                w.sim.after(span, () -> w.users.cancelledAtEnd = 0);
            }
            case QUICK_BOOTS -> {
                w.cloud.quickBoots = true;
                w.sim.after(span, () -> w.cloud.quickBoots = false);
            }
            case ONE_TASK_JOBS -> w.users.oneTaskJobs((int) (span / 250), 250);
            case SLOW_LINKS -> {
                w.net.slowMs = 50 + w.sim.random.nextInt(350);
                w.sim.after(span, () -> w.net.slowMs = 0);
                for (int i = 0; i < 6; i++) {
                    JobSpec s = Jobs.array(w.users.id(), i % 2 == 0 ? "red" : "blue", JobSpec.Urgency.values()[w.sim.random.nextInt(4)], 12, 2, 12);
                    w.sim.after(w.sim.random.nextLong(5_000), () -> w.submit(s));
                }
            }
            case ZONE_CUT -> Troubles.cutZone(w, w.sim.random.nextBoolean() ? "a" : "b", w.sim.random.nextInt(w.controllers.size()), span);
            case LEADERS_CHANGE -> leadersChange(w, 5, 1_000 + w.sim.random.nextLong(8_000));
        }
    }

    /** The leader ends, and is back at once or a little later; so often, so many ms apart. */
    static void leadersChange(World w, int times, long everyMs) {
        for (int i = 0; i < times; i++) {
            w.sim.after(i * everyMs, () -> {
                if (leader(w) >= 0) {
                    Troubles.crash(w, leader(w), w.sim.random.nextBoolean() ? Troubles.soon(w) : 3_000);
                }
            });
        }
        w.troubled(w.sim.now() + times * everyMs + 5_000);
    }

    static void mute(World w, Worker m, long ms) {
        w.troubled(w.sim.now() + ms);
        m.mute = true;
        w.sim.after(ms, () -> m.mute = false);
    }

    /** Calls this each time that somebody comes to lead, for so many ms. */
    static void asLeaderBegins(World w, long forMs, Runnable what) {
        onChange(w, forMs, "a/lead", what);
    }

    private static void onChange(World w, long forMs, String prefix, Runnable what) {
        Consumer<ObjectNode> before = w.store.committed;
        boolean[] on = {true};
        w.store.committed = t -> {
            before.accept(t);
            for (JsonNode op : t.path("then")) {
                if (on[0] && op.path("put").asText().startsWith(prefix)) {
                    what.run();
                    return;
                }
            }
        };
        w.sim.after(forMs, () -> on[0] = false);
    }

    /** Copies of that share of the reports arrive at every controller just as the next leader begins. */
    static void keepReports(World w, double share, long ms) {
        w.net.keptReports = share;
        List<String> all = w.controllers.stream().map(c -> c.listen).toList();
        asLeaderBegins(w, ms, () -> w.net.bringKept(all));
        w.sim.after(ms, () -> w.net.keptReports = 0);
        w.troubled(w.sim.now() + ms);
    }

    /** That share of the reports is held up and arrives when the next leader has granted machines; at the latest after {@code latestMs}. */
    static void holdReports(World w, double share, long holdMs, long latestMs) {
        w.net.heldReports = share;
        w.sim.after(holdMs, () -> w.net.heldReports = 0);
        long[] ledAt = {-1};
        asLeaderBegins(w, latestMs, () -> ledAt[0] = w.sim.now());
        onChange(w, latestMs, "a/b/", () -> {
            if (ledAt[0] >= 0) {
                w.net.letGo();
            }
        });
        w.sim.after(latestMs, w.net::letGo);
        w.troubled(w.sim.now() + latestMs + 1_000);
    }

    static void refuse(World w, int controller, long ms) {
        String ip = w.controllers.get(controller).ip;
        w.troubled(w.sim.now() + ms);
        w.store.refuse(ip, true);
        w.sim.after(ms, () -> w.store.refuse(ip, false));
    }

    static void outage(World w, long ms) {
        if (w.store.down) {
            return;
        }
        w.troubled(w.sim.now() + ms);
        w.store.outage(true);
        w.sim.after(ms, () -> w.store.outage(false));
    }

    static void deaf(World w, Worker m, long ms) {
        w.troubled(w.sim.now() + ms);
        m.deaf = true;
        w.sim.after(ms, () -> m.deaf = false);
    }

    /** A third of the machines that are up. */
    private static void some(World w, java.util.function.Consumer<Worker> what) {
        for (Worker m : new ArrayList<>(w.cloud.machines.values())) {
            if (m.up && !m.dead && w.sim.random.nextInt(3) == 0) {
                what.accept(m);
            }
        }
    }

    /** s. Who could have begun for so long and did not is left behind; less is what a gap between two tasks of a team at its limit looks like. */
    private static final int COULD_S = 45;

    /** The same without those whose team was at its limit with work as urgent, or for whom there was no room: by what was on the machines. */
    static List<String> leftBehindThoughTheyCould(World w) {
        return leftBehind(w).stream().filter(t -> !t.startsWith("wk-") || w.couldBegin(t.substring(0, t.indexOf(' '))) > COULD_S).toList();
    }

    /** Who was left behind, though the time in which the store was down is not counted: nothing begins without it. */
    static List<String> leftBehind(World w) {
        return w.service().leftBehind(Service.BEGIN_MS + w.store.downMs);
    }

    /** Three times on a day, two or three kinds meet, 0 to 10 s apart; users submit, cancel and ask all the while. */
    static void play(World w) {
        play(w, 0, FIRST_KINDS);
    }

    /** The same with every kind; the first of those that meet is always a newer one. */
    static void playAll(World w) {
        play(w, FIRST_KINDS, Kind.values().length);
    }

    private static void play(World w, int firstFrom, int kinds) {
        w.patienceMs = 300_000;
        w.start();
        for (int i = 1; i <= 45; i++) {
            JobSpec any = Jobs.any(i, w.sim.random);
            // Long tasks, and jobs of two or three that end far apart: what is under way when a leader changes.
            JobSpec s = i % 3 == 0 ? Jobs.array(i, i % 2 == 0 ? "red" : "blue", JobSpec.Urgency.values()[w.sim.random.nextInt(4)], 2 + w.sim.random.nextInt(2), 2,
                    20 + w.sim.random.nextInt(60)) : any;
            long at = 3_000 + w.sim.random.nextLong(130_000);
            w.sim.after(at, () -> w.submit(s));
            if (s.service() || w.sim.random.nextInt(3) == 0) {
                w.sim.after(at + (s.service() ? 40_000 : 0) + w.sim.random.nextLong(40_000), () -> w.cancel(s.id()));
            }
            w.sim.after(at + 500, () -> w.query("wk-9" + s.id().substring(3)));
        }
        for (int i = 0; i < 3; i++) {
            long at = 12_000 + i * 55_000L + w.sim.random.nextLong(15_000);
            int n = 2 + w.sim.random.nextInt(2);
            for (int k = 0; k < n; k++) {
                Kind kind = Kind.values()[k == 0 ? w.sim.random.nextInt(firstFrom, kinds) : w.sim.random.nextInt(kinds)];
                long apart = k == 0 ? 0 : w.sim.random.nextLong(10_000);
                w.sim.after(at + apart, () -> bring(w, kind));
            }
        }
        w.sim.run(700_000);
    }
}
