package io.quincelead.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/** Builds and sends operators' commands to a simulated cluster. */
final class OperatorCommands {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** The UTC date at the start of every simulation. */
    static final String DATE =
            Instant.ofEpochMilli(SimulatedClock.EPOCH_MILLIS).toString().substring(0, 10);

    private OperatorCommands() {}

    /** Parses a JSON object in which single quotation marks may stand for double ones. */
    static ObjectNode json(String text) {
        try {
            return (ObjectNode) JSON.readTree(text.replace('\'', '"'));
        } catch (java.io.IOException e) {
            throw new IllegalArgumentException(e);
        }
    }

    /** The UTC time of day at a time in ms since the start of the simulation. */
    static String timeOfDay(long simulatedMillis) {
        return Instant.ofEpochMilli(SimulatedClock.EPOCH_MILLIS + simulatedMillis)
                .toString()
                .substring(11, 19);
    }

    /**
     * Retries a command at random controllers, as an operator would, until the response is
     * something other than a timeout, 503 or 409.
     */
    static void commandUntilAnswered(
            SimulatedCluster cluster,
            String path,
            ObjectNode body,
            Map<String, ObjectNode> answers) {
        cluster.sendOperatorCommand(
                cluster.random().nextInt(cluster.controllers.size()),
                path,
                body,
                (status, response) -> {
                    if (status == 0 || status == 503 || status == 409) {
                        cluster.after(
                                700, () -> commandUntilAnswered(cluster, path, body, answers));
                    } else {
                        answers.put(path, response);
                        assertEquals(200, status, "" + response);
                    }
                });
    }

    /** Retries a command until it is answered, and discards the response. */
    static void commandUntilAnswered(SimulatedCluster cluster, String path, ObjectNode body) {
        commandUntilAnswered(cluster, path, body, new HashMap<>());
    }

    /** The command that adds a daily entry to the calendar. */
    static ObjectNode calendarEntry(
            String name, long publicationMillis, double leadSeconds, String covers) {
        return json(
                "{'change':'add-"
                        + name
                        + "','entry':{'name':'"
                        + name
                        + "','time':'"
                        + timeOfDay(publicationMillis)
                        + "','zone':'UTC','days':['mon','tue','wed','thu','fri','sat','sun'],"
                        + "'covers':["
                        + covers
                        + "],'leadS':"
                        + leadSeconds
                        + ",'graceS':20}}");
    }
}
