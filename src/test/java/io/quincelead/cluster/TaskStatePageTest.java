package io.quincelead.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.simulation.JobFixtures;
import io.quincelead.transport.WireFormat;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class TaskStatePageTest {
    private static List<String> describePlacements(TaskStatePage page) {
        return page.placements.stream()
                .map(
                        placement ->
                                placement.taskIndex
                                        + " "
                                        + placement.host
                                        + " "
                                        + placement.attempt
                                        + " "
                                        + placement.stopRequested)
                .toList();
    }

    /**
     * Decoding reads only the changed part of a record; the result must equal that of decoding the
     * whole record.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void incrementalDecodingMatchesFullDecoding(long seed) throws MalformedRecordException {
        SplittableRandom random = new SplittableRandom(seed);
        Job job = new Job(JobFixtures.array(1, "red", JobSpec.Priority.NORMAL, 430, 1, 10));
        for (int pageIndex = 0; pageIndex < 3; pageIndex++) {
            TaskStatePage current =
                    TaskStatePageCodec.decode(
                            job, pageIndex, WireFormat.newMap().put("p", ""), null, 0);
            for (int change = 0; change < 400; change++) {
                TaskStatePageEdit edit = current.edit();
                for (int remaining = random.nextInt(8); remaining >= 0; remaining--) {
                    int taskIndex = current.firstTaskIndex() + random.nextInt(current.taskCount());
                    switch (random.nextInt(5)) {
                        case 0 -> edit.markGone(taskIndex);
                        case 1 -> edit.requestStop(taskIndex);
                        case 2 -> edit.markCompleted(taskIndex);
                        default ->
                                edit.place(
                                        taskIndex,
                                        "i-00000" + random.nextInt(120),
                                        1 + random.nextInt(12));
                    }
                }
                ObjectNode record = edit.encode();
                TaskStatePage next = TaskStatePageCodec.decode(job, pageIndex, record, current, 0);
                TaskStatePage fullyDecoded =
                        TaskStatePageCodec.decode(job, pageIndex, record, null, 0);
                assertEquals(describePlacements(fullyDecoded), describePlacements(next));
                assertEquals(fullyDecoded.placements.size(), next.placements.size());
                for (Placement placement : next.placements) {
                    Placement before = current.placements.get(placement.taskIndex);
                    if (before != null
                            && before.isSameStart(
                                    placement.taskIndex, placement.host, placement.attempt)
                            && before.stopRequested == placement.stopRequested) {
                        assertSame(
                                before,
                                placement,
                                "a place that hasn't changed stays what is known of it");
                    }
                }
                current = next;
            }
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "0 i-1 1",
                "0 i-1;",
                "x i-1 1;",
                "0 i-1 y;",
                "200 i-1 1;",
                "-1 i-1 1;",
                "0  1;0",
                ";"
            })
    void unreadablePlacementsAreRejected(String placements) throws MalformedRecordException {
        Job job = new Job(JobFixtures.array(1, "red", JobSpec.Priority.NORMAL, 430, 1, 10));
        TaskStatePage before =
                TaskStatePageCodec.decode(
                        job, 0, WireFormat.newMap().put("p", "0 i-1 1;3 i-2 1;"), null, 0);
        for (TaskStatePage previous : new TaskStatePage[] {null, before}) {
            MalformedRecordException thrown =
                    assertThrows(
                            MalformedRecordException.class,
                            () ->
                                    TaskStatePageCodec.decode(
                                            job,
                                            0,
                                            WireFormat.newMap().put("p", placements),
                                            previous,
                                            0));
            assertEquals("task states of " + job.spec.jobId() + ", page 0", thrown.getMessage());
            assertEquals(
                    true,
                    thrown.getCause() instanceof IndexOutOfBoundsException
                            || thrown.getCause() instanceof NumberFormatException,
                    thrown.toString());
        }
    }
}
