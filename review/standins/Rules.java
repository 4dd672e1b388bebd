package standins;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** What the machines see: checks the protocol's rules about tasks. */
final class Rules {
    private final World world;
    private final Map<String, Map<String, Integer>> machinesByMember = new HashMap<>();
    private final Map<String, Double> cpusByOwner = new HashMap<>();
    private final Map<String, Double> peakCpusByOwner = new HashMap<>();
    private final Set<String> done = new HashSet<>();
    private final Set<String> begun = new HashSet<>();
    final List<String> broken = new ArrayList<>();
    int starts;

    Rules(World world) {
        this.world = world;
    }

    synchronized void breakRule(String text) {
        broken.add(text);
        world.log("RULE " + text);
    }

    synchronized void started(Worker.Task task, Cloud.Machine machine) {
        starts++;
        begun.add(task.member);
        Map<String, Integer> on = machinesByMember.computeIfAbsent(task.member, m -> new HashMap<>());
        for (String other : on.keySet()) {
            if (!other.equals(machine.name)) {
                breakRule("ran_twice: " + task.member + " starts on " + machine.name + " while on " + other);
            }
        }
        on.merge(machine.name, 1, Integer::sum);
        double used = cpusByOwner.merge(task.job.owner, task.job.vcpus, Double::sum);
        peakCpusByOwner.merge(task.job.owner, used, Math::max);
        Double limit = world.limits.get(task.job.owner);
        if (limit != null && used > limit + 1e-6) {
            breakRule("quota: " + task.job.owner + " uses " + used + " of " + limit + " with " + task.member);
        }
        if (task.job.cancelledToldAt > 0) {
            long late = Threads.now() - task.job.cancelledToldAt;
            world.log("starts after told cancelled: " + task.member + " " + late + " ms");
            if (late > world.cancelS * 1000) {
                breakRule("ran_cancelled: " + task.member);
            }
        }
    }

    synchronized void left(Worker.Task task, Cloud.Machine machine, String why) {
        Map<String, Integer> on = machinesByMember.get(task.member);
        if (on.merge(machine.name, -1, Integer::sum) <= 0) {
            on.remove(machine.name);
        }
        cpusByOwner.merge(task.job.owner, -task.job.vcpus, Double::sum);
        if (world.verbose) {
            world.log("end " + task.member + " try " + task.attempt + " on " + machine.name + ": " + why);
        }
        if (task.job.cancelledToldAt > 0
                && Threads.now() - task.job.cancelledToldAt > world.cancelS * 1000) {
            breakRule("ran_cancelled: " + task.member + " ends late");
        }
    }

    synchronized void done(Worker.Task task) {
        done.add(task.member);
    }

    synchronized boolean isDone(String member) {
        return done.contains(member);
    }

    synchronized int doneCount(Job job) {
        int n = 0;
        for (int i = 0; i < job.members; i++) {
            n += done.contains(job.id + "/" + i) ? 1 : 0;
        }
        return n;
    }

    synchronized int begunCount(Job job) {
        int n = 0;
        for (int i = 0; i < job.members; i++) {
            n += begun.contains(job.id + "/" + i) ? 1 : 0;
        }
        return n;
    }

    synchronized int onMachines(Job job) {
        int n = 0;
        for (int i = 0; i < job.members; i++) {
            Map<String, Integer> on = machinesByMember.get(job.id + "/" + i);
            n += on == null || on.isEmpty() ? 0 : 1;
        }
        return n;
    }

    synchronized Map<String, Double> usage() {
        return new HashMap<>(cpusByOwner);
    }
}
