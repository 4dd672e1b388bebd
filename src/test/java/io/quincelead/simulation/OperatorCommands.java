package io.quincelead.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/** What operators of a simulated cluster send: commands, calendar entries, times of day. */
final class OperatorCommands {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** The date on which every simulation begins, in UTC. */
    static final String DATE =
            Instant.ofEpochMilli(SimulatedClock.EPOCH_MILLIS).toString().substring(0, 10);

    private OperatorCommands() {}

    /** The map in a text whose quotation marks may be single. */
    static ObjectNode json(String text) {
        try {
            return (ObjectNode) JSON.readTree(text.replace('\'', '"'));
        } catch (java.io.IOException e) {
            throw new IllegalArgumentException(e);
        }
    }

    /** The time of day in UTC at this ms of the simulation. */
    static String timeOfDay(long simulatedMillis) {
        return Instant.ofEpochMilli(SimulatedClock.EPOCH_MILLIS + simulatedMillis)
                .toString()
                .substring(11, 19);
    }

    /**
     * Repeats a command, at any controller, until it is answered with something else than "later":
     * as an operator would.
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

    /** The same where nobody wants to see the answer. */
    static void commandUntilAnswered(SimulatedCluster cluster, String path, ObjectNode body) {
        commandUntilAnswered(cluster, path, body, new HashMap<>());
    }

    /** A daily entry of the calendar, in the command that adds it. */
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
