package io.quincelead.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.config.TestSettings;
import io.quincelead.simulation.SimulatedClock;
import io.quincelead.transport.WireFormat;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class GroupCommitterTest {
    private final SimulatedClock clock = new SimulatedClock(1);
    private final SimulatedClock.SimulatedProcess loop = clock.newProcess();

    /** Keys written by each commit request, in the order of the requests. */
    private final List<List<String>> commits = new ArrayList<>();

    private final List<String> outcomes = new ArrayList<>();

    /**
     * Status of each commit request in the order of the requests, the last one repeated; 0 for no
     * response.
     */
    private final List<Integer> statuses = new ArrayList<>();

    private GroupCommitter newCommitter() {
        StoreClient store =
                new StoreClient(
                        loop,
                        (address, method, path, codec, body, timeoutMillis, handler) -> {
                            List<String> keys = new ArrayList<>();
                            ObjectNode request = WireFormat.CBOR.decodeMap(body);
                            request.path("then")
                                    .forEach(operation -> keys.add(operation.path("put").asText()));
                            commits.add(keys);
                            int status =
                                    statuses.get(Math.min(commits.size(), statuses.size()) - 1);
                            ObjectNode response = WireFormat.newMap().put("generation", 7);
                            clock.schedule(
                                    1,
                                    () ->
                                            handler.onResponse(
                                                    status, WireFormat.CBOR.encode(response)));
                        },
                        TestSettings.SINGLE_CONTROLLER);
        return new GroupCommitter(loop, store, new WatchCache(loop, store, 400));
    }

    private void submit(GroupCommitter committer, String key) {
        submitValue(committer, key, WireFormat.newMap());
    }

    private void submitValue(GroupCommitter committer, String key, ObjectNode value) {
        committer.submit(
                new Transaction().requireRevision(key, 0).put(key, value),
                1_000,
                outcome -> outcomes.add(key + " " + outcome.result()));
    }

    @Test
    void transactionsThatWaitTogetherShareACommit() {
        statuses.add(200);
        GroupCommitter committer = newCommitter();

        submit(committer, "a/j/1");
        submit(committer, "a/j/2");
        clock.runUntil(500);

        assertEquals(List.of(List.of("a/j/1", "a/j/2")), commits);
        assertEquals(List.of("a/j/1 COMMITTED", "a/j/2 COMMITTED"), outcomes);
    }

    @Test
    void transactionsOfAConflictingBatchAreCommittedAlone() {
        statuses.addAll(List.of(409, 200, 409));
        GroupCommitter committer = newCommitter();

        submit(committer, "a/j/1");
        submit(committer, "a/j/2");
        clock.runUntil(500);

        assertEquals(
                List.of(List.of("a/j/1", "a/j/2"), List.of("a/j/1"), List.of("a/j/2")), commits);
        assertEquals(List.of("a/j/1 COMMITTED", "a/j/2 CONFLICT"), outcomes);
    }

    @Test
    void throttledTransactionIsRepeatedUntilItsDeadlineThenRejected() {
        statuses.add(429);
        GroupCommitter committer = newCommitter();

        submit(committer, "a/j/1");
        clock.runUntil(800);
        assertEquals(List.of(), outcomes);
        clock.runUntil(1_500);

        assertEquals(List.of("a/j/1 REJECTED"), outcomes);
    }

    /**
     * A value that can't be encoded left the committer busy for good, and all commits unanswered.
     */
    @Test
    void transactionThatCantBeEncodedFailsAlone() {
        statuses.add(200);
        GroupCommitter committer = newCommitter();

        submit(committer, "a/j/1");
        submitValue(committer, "a/j/2", WireFormat.newMap().put("c", "img-\ud83d"));
        submit(committer, "a/j/3");
        clock.runUntil(200);
        submit(committer, "a/j/4");
        clock.runUntil(500);

        assertEquals(List.of(List.of("a/j/1"), List.of("a/j/3"), List.of("a/j/4")), commits);
        assertEquals(
                List.of("a/j/1 COMMITTED", "a/j/2 INVALID", "a/j/3 COMMITTED", "a/j/4 COMMITTED"),
                outcomes);
    }

    /** An exception of one handler kept the outcome from the others of its batch. */
    @Test
    void exceptionOfAHandlerLeavesNoOtherUnanswered() {
        statuses.add(200);
        GroupCommitter committer = newCommitter();

        committer.submit(
                new Transaction().put("a/j/1", WireFormat.newMap()),
                1_000,
                outcome -> {
                    throw new IllegalStateException("handler");
                });
        submit(committer, "a/j/2");
        assertThrows(IllegalStateException.class, () -> clock.runUntil(500));

        assertEquals(List.of("a/j/2 COMMITTED"), outcomes);
    }
}
