package io.quincelead.world;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** Plays random days of the test world over many seeds, for hunts: {@code Seeds rough|flood|quick|meetings|first|operators|zones FROM TO THREADS}. Not a test. */
public final class Seeds {
    private Seeds() { }

    public static void main(String[] args) throws Exception {
        ExecutorService pool = Executors.newFixedThreadPool(Integer.parseInt(args[3]));
        List<Future<Boolean>> days = new ArrayList<>();
        for (long seed = Long.parseLong(args[1]); seed <= Long.parseLong(args[2]); seed++) {
            long s = seed;
            days.add(pool.submit(() -> play(args[0], s)));
        }
        int bad = 0;
        for (Future<Boolean> d : days) {
            bad += d.get() ? 0 : 1;
        }
        pool.shutdown();
        System.out.println(days.size() + " days, " + bad + " with a broken rule, an open job or somebody left behind");
        System.exit(bad == 0 ? 0 : 1);
    }

    private static boolean play(String kind, long seed) {
        World w;
        if (kind.equals("operators") || kind.equals("zones")) {
            String wrong = kind.equals("zones") ? ZonesTest.random(seed) : OperatorsTest.random(seed);
            if (!wrong.isEmpty()) {
                System.out.println(kind + " " + seed + ": " + wrong);
            }
            return wrong.isEmpty();
        }
        if (kind.equals("flood")) {
            w = DaysTest.flood(seed);
        } else {
            w = new World(seed);
            switch (kind) {
                case "quick" -> DaysTest.quick(w);
                case "meetings" -> Meetings.playAll(w);
                case "first" -> Meetings.play(w);
                default -> DaysTest.rough(w);
            }
        }
        List<String> behind = kind.equals("meetings") || kind.equals("first") ? Meetings.leftBehind(w) : w.service().leftBehind();
        if (kind.equals("meetings") && !behind.isEmpty()) {
            List<String> could = Meetings.leftBehindThoughTheyCould(w);
            behind = behind.stream().map(t -> could.contains(t) ? t : t + " (there was no room for it, or its team was at its limit)").toList();
        }
        boolean good = w.broken().isEmpty() && w.unfinished().isEmpty() && behind.isEmpty();
        if (!good) {
            System.out.println(kind + " " + seed + ": broken " + w.broken() + " open " + w.unfinished() + " left behind " + behind);
        }
        return good;
    }
}
