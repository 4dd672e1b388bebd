package io.quincelead.leadership;

import io.quincelead.cluster.JobSpec;

/** What one team's jobs at one controller use and still want of the team's limit. */
final class MemberDemand {
    final ResourceDemand cpus = new ResourceDemand();
    final ResourceDemand gpus = new ResourceDemand();

    /** The same of one resource, in CPUs or GPUs. */
    static final class ResourceDemand {
        private static final int PRIORITIES = JobSpec.Priority.values().length;

        private double used;
        private double reserved;
        private final double[] wantedByPriority = new double[PRIORITIES];

        /** The least amount by which some waiting work can start; 0 where none waits. */
        private final double[] unitByPriority = new double[PRIORITIES];

        /** What tasks on record use. */
        double used() {
            return used;
        }

        /** What is reserved for overdue first starts; it isn't among what is wanted. */
        double reserved() {
            return reserved;
        }

        private void addWanted(int priority, double amount, double unit) {
            if (amount <= 0 || unit <= 0) {
                return;
            }
            wantedByPriority[priority] += amount;
            double least = unitByPriority[priority];
            unitByPriority[priority] = least > 0 ? Math.min(least, unit) : unit;
        }

        QuotaShareCalculator.MemberQuota toMemberQuota(double share) {
            return new QuotaShareCalculator.MemberQuota(
                    share, used, wantedByPriority, unitByPriority);
        }
    }

    /** Tasks of the job are on record. */
    void addUsed(int taskCount, JobSpec spec) {
        cpus.used += taskCount * spec.cpus();
        gpus.used += taskCount * spec.gpus();
    }

    /** Quota is reserved for tasks of the job. */
    void addReserved(int taskCount, JobSpec spec) {
        cpus.reserved += taskCount * spec.cpus();
        gpus.reserved += taskCount * spec.gpus();
    }

    /** Tasks of the job wait; a gang's start together. */
    void addPending(int priority, int taskCount, JobSpec spec) {
        int unitTasks = spec.isGang() ? spec.taskCount() : 1;
        cpus.addWanted(priority, taskCount * spec.cpus(), unitTasks * spec.cpus());
        gpus.addWanted(priority, taskCount * spec.gpus(), unitTasks * spec.gpus());
    }
}
