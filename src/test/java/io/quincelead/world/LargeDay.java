package io.quincelead.world;

import io.quincelead.base.Settings;
import io.quincelead.records.JobSpec;
import java.util.List;

/**
 * A large simulated day without troubles, for profiles of the controllers: {@code LargeDay MACHINES SECONDS}. Not a test;
 * run with a recorder such as {@code -XX:StartFlightRecording}.
 */
public final class LargeDay {
    private LargeDay() { }

    public static void main(String[] args) {
        int machines = Integer.parseInt(args[0]);
        long seconds = Long.parseLong(args[1]);
        World w = world(machines);
        w.start();
        load(w, machines, seconds);
        for (long t = 10; t <= seconds; t += 10) {
            w.sim.run(t * 1000);
            System.out.printf("%d s: %d machines, %d tasks begun, %d jobs open, broken %s%n", t, w.cloud.machines.size(),
                    w.starts.values().stream().mapToInt(x -> x).sum(), w.unfinished().size(), w.broken());
        }
    }

    static World world(int machines) {
        World w = new World(1, List.of(new Cloud.Shape("small", 8, 0, 64, 0.46, 0.17, 25, List.of("a", "b"), machines / 3),
                new Cloud.Shape("middle", 16, 0, 64, 0.83, 0.36, 15, List.of("a", "b"), machines / 8),
                new Cloud.Shape("large", 64, 0, 512, 3.81, 1.7, 20, List.of("a", "b"), machines / 40)), 5);
        w.reportMs = 3_000;
        w.leaseMs = 17_500;
        w.state = new Settings.State(600, 250, 8, 12);
        w.watchRules = false;
        double f = machines / 742.0;
        w.teams.put("red", new Settings.Team("red", 5_000 * f, 12_000 * f, 0, 0));
        w.teams.put("blue", new Settings.Team("blue", 2_700 * f, 6_500 * f, 0, 0));
        return w;
    }

    /** Some 1.2 wide short jobs, 0.9 urgent ones and 0.3 long ones a second for 742 machines. */
    private static void load(World w, int machines, long seconds) {
        double f = machines / 742.0;
        int id = 0;
        for (double t = 2; t < seconds; t += 1 / (2.4 * f)) {
            int kind = w.sim.random.nextInt(24);
            String team = w.sim.random.nextInt(3) == 0 ? "blue" : "red";
            double vary = 0.7 + w.sim.random.nextDouble() * 0.6;
            JobSpec s = kind < 12 ? Jobs.array(++id, team, JobSpec.Urgency.NORMAL, 20 + w.sim.random.nextInt(200), vary, 6 + w.sim.random.nextInt(20))
                    : kind < 21 ? Jobs.array(++id, team, JobSpec.Urgency.HIGH, 4 + w.sim.random.nextInt(30), vary, 15 + w.sim.random.nextInt(50))
                    : kind < 23 ? Jobs.array(++id, team, JobSpec.Urgency.BEST_EFFORT, 10 + w.sim.random.nextInt(40), 4 * vary, 50 + w.sim.random.nextInt(100))
                    : Jobs.array(++id, team, JobSpec.Urgency.NORMAL, 40 + w.sim.random.nextInt(150), 2 * vary, 30 + w.sim.random.nextInt(100));
            w.sim.after((long) (t * 1000), () -> w.submit(s));
        }
    }
}
