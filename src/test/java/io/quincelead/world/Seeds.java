package io.quincelead.world;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * Plays random days of the test world over many seeds: {@code Seeds rough|flood|quick|meetings|first|operators|zones FROM TO [THREADS]}. Not a test.
 * Prints kind, seed, number of messages and history digest of each, separated by tabs; what went wrong goes to standard error.
 */
public final class Seeds {
    /** A day that was played, and what is wrong with it, in words; empty if nothing is. */
    record Played(World world, String wrong) { }

    private Seeds() { }

    public static void main(String[] args) throws InterruptedException, ExecutionException {
        ExecutorService pool = Executors.newFixedThreadPool(args.length > 3 ? Integer.parseInt(args[3]) : 1);
        List<Future<Boolean>> days = new ArrayList<>();
        long from = Long.parseLong(args[1]);
        for (long seed = from; seed <= Long.parseLong(args[2]); seed++) {
            long s = seed;
            days.add(pool.submit(() -> report(args[0], s)));
        }
        int bad = 0;
        for (Future<Boolean> d : days) {
            bad += d.get() ? 0 : 1;
        }
        pool.shutdown();
        System.err.println(days.size() + " days, " + bad + " with a broken rule, an open job or somebody left behind");
        System.exit(bad == 0 ? 0 : 1);
    }

    private static boolean report(String kind, long seed) {
        Played played = play(kind, seed);
        System.out.println(kind + "\t" + seed + "\t" + played.world.net.history.finish());
        if (!played.wrong.isEmpty()) {
            System.err.println(kind + " " + seed + ": " + played.wrong);
        }
        return played.wrong.isEmpty();
    }

    private static Played play(String kind, long seed) {
        World w = new World(seed);
        switch (kind) {
            case "operators" -> {
                return OperatorsTest.random(seed);
            }
            case "zones" -> {
                return ZonesTest.random(seed);
            }
            case "flood" -> w = DaysTest.flood(seed);
            case "quick" -> DaysTest.quick(w);
            case "meetings" -> Meetings.playAll(w);
            case "first" -> Meetings.play(w);
            case "rough" -> DaysTest.rough(w);
            default -> throw new IllegalArgumentException("no such kind of day: " + kind);
        }
        List<String> behind = kind.equals("meetings") || kind.equals("first") ? Meetings.leftBehind(w) : w.service().leftBehind();
        if (kind.equals("meetings") && !behind.isEmpty()) {
            List<String> could = Meetings.leftBehindThoughTheyCould(w);
            behind = behind.stream().map(t -> could.contains(t) ? t : t + " (there was no room for it, or its team was at its limit)").toList();
        }
        boolean good = w.broken().isEmpty() && w.unfinished().isEmpty() && behind.isEmpty();
        return new Played(w, good ? "" : "broken " + w.broken() + " open " + w.unfinished() + " left behind " + behind);
    }
}
