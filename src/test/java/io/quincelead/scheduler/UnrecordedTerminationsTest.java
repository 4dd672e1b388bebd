package io.quincelead.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.quincelead.cluster.Job;
import io.quincelead.cluster.JobSpec;
import io.quincelead.cluster.Placement;
import io.quincelead.cluster.TaskStatePageEdit;
import io.quincelead.simulation.JobFixtures;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Guards against a completed gang whose placements are removed without evidence.
 *
 * <p>A gang's tasks complete together, so a controller that saw one of them complete recorded all
 * of them as completed, also those on other controllers' machines. In scenario {@code quick 1019}
 * every machine lost its tasks in a store outage of 20 s, and the gang wk-000031 was cancelled. At
 * 131.596 s one controller saw tasks 2 and 3 complete again and recorded tasks 0 and 1, too (commit
 * at 131.591 s, {@code "d":[0,3],"p":""}); without placements the job was finished, and its user
 * was told "cancelled" at 131.712 s. The owner of i-000008 had sent the starts of tasks 0 and 1 at
 * 131.511 s, by the records that its watch had last delivered (revision 355; the cancellation was
 * 361), so both started after the user had been told. A placement's record entitles its machine's
 * owner to start the task, so only that owner's evidence may remove it.
 */
class UnrecordedTerminationsTest {
    private static final int WRITE_BUDGET = 12;

    private final ClusterFixture cluster = new ClusterFixture(8, new SplittableRandom(1));
    private final UnrecordedTerminations terminations =
            new UnrecordedTerminations(
                    cluster.loop, cluster.store, cluster.jobs, ClusterFixture.MEMBER_ID);

    private Job runningGang(int tasks) {
        JobSpec spec =
                JobFixtures.gang(1, "red", JobSpec.Priority.NORMAL, tasks)
                        .cpus(2)
                        .runtimeSeconds(20)
                        .build();
        cluster.addRunningJob(spec, new SplittableRandom(2));
        return cluster.jobs.get(spec.jobId());
    }

    private static Placement placementOf(Job job, int taskIndex) {
        return job.pageOrEmpty(0).placements.stream()
                .filter(placement -> placement.taskIndex == taskIndex)
                .findFirst()
                .orElseThrow();
    }

    private void observe(Job job, int taskIndex, Placement.Phase phase) {
        Placement placement = placementOf(job, taskIndex);
        placement.transitionTo(phase);
        terminations.add(placement, false);
    }

    private TaskStatePageEdit recordDue(Job job) {
        SchedulingPlan plan = cluster.newPlan(WRITE_BUDGET);
        terminations.recordDue(plan);
        return plan.edit(job, 0);
    }

    private static List<Integer> placedTasks(TaskStatePageEdit edit) {
        return edit.placements().stream().map(placement -> placement.taskIndex).toList();
    }

    @Test
    void completedGangKeepsPlacementsWithoutEvidence() {
        Job gang = runningGang(4);
        observe(gang, 2, Placement.Phase.COMPLETED);
        observe(gang, 3, Placement.Phase.COMPLETED);
        assertEquals(List.of(0, 1), placedTasks(recordDue(gang)));
    }

    @Test
    void terminatedTaskOfCompletedGangIsCompletedToo() {
        Job gang = runningGang(3);
        observe(gang, 1, Placement.Phase.COMPLETED);
        observe(gang, 2, Placement.Phase.GONE);
        TaskStatePageEdit edit = recordDue(gang);
        assertEquals(List.of(0), placedTasks(edit));
        assertFalse(edit.isPending(2), "task 2 would start again");
    }

    /** A job whose record the store refuses once kept the terminations of all later jobs back. */
    @Test
    void jobWithARefusedRecordKeepsNoOtherTerminationBack() {
        Job refused = runningGang(2);
        JobSpec spec = JobFixtures.array(2, "red", JobSpec.Priority.NORMAL, 2, 1, 20);
        cluster.addRunningJob(spec, new SplittableRandom(3));
        Job other = cluster.jobs.get(spec.jobId());
        for (Job job : List.of(refused, other)) {
            Placement placement = placementOf(job, 0);
            placement.transitionTo(Placement.Phase.GONE);
            terminations.add(placement, true);
        }
        assertTrue(terminations.isAnyDue());
        SchedulingPlan plan = cluster.newPlan(WRITE_BUDGET);
        plan.unrecordableJobs = Set.of(refused);

        terminations.recordDue(plan);

        assertEquals(Set.of(other.pages[0]), plan.edits.keySet());
    }
}
