package io.quincelead.leadership;

import io.quincelead.cluster.JobSpec;

/** What one team's jobs at one controller use, reserve and still need of the team's limit. */
final class MemberDemand {
    final ResourceDemand cpus = new ResourceDemand();
    final ResourceDemand gpus = new ResourceDemand();

    /** Use, reservation and pending demand of one resource, in CPUs or GPUs. */
    static final class ResourceDemand {
        private static final int PRIORITIES = JobSpec.Priority.values().length;

        private double used;
        private double reserved;
        private final double[] pendingByPriority = new double[PRIORITIES];

        /** The smallest amount with which some pending work can start; 0 if none is pending. */
        private final double[] unitByPriority = new double[PRIORITIES];

        /** The use of tasks with a placement on record. */
        double used() {
            return used;
        }

        /** The amount reserved for overdue first starts; not part of the pending demand. */
        double reserved() {
            return reserved;
        }

        private void addPending(int priority, double amount, double unit) {
            if (amount <= 0 || unit <= 0) {
                return;
            }
            pendingByPriority[priority] += amount;
            double minUnit = unitByPriority[priority];
            unitByPriority[priority] = minUnit > 0 ? Math.min(minUnit, unit) : unit;
        }

        QuotaShareCalculator.MemberQuota toMemberQuota(double share) {
            return new QuotaShareCalculator.MemberQuota(
                    share, used, pendingByPriority, unitByPriority);
        }
    }

    /** Adds the use of tasks of a job that have a placement on record. */
    void addUsed(int taskCount, JobSpec spec) {
        cpus.used += taskCount * spec.cpus();
        gpus.used += taskCount * spec.gpus();
    }

    /** Adds the quota that is reserved for tasks of a job. */
    void addReserved(int taskCount, JobSpec spec) {
        cpus.reserved += taskCount * spec.cpus();
        gpus.reserved += taskCount * spec.gpus();
    }

    /** Adds the demand of a job's pending tasks; the tasks of a gang can only start together. */
    void addPending(int priority, int taskCount, JobSpec spec) {
        int unitTasks = spec.isGang() ? spec.taskCount() : 1;
        cpus.addPending(priority, taskCount * spec.cpus(), unitTasks * spec.cpus());
        gpus.addPending(priority, taskCount * spec.gpus(), unitTasks * spec.gpus());
    }
}
