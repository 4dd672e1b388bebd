package io.quincelead.policy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.transport.WireFormat;
import java.time.LocalDate;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Encodes and decodes the stored forms of occurrences: live records, and final records in the
 * ledger.
 */
final class OccurrenceCodec {
    private OccurrenceCodec() {}

    /**
     * Decodes a live record or one of the ledger.
     *
     * @throws InvalidRecordException if the date is invalid, the state isn't known or a selector
     *     can't be read
     */
    static ScheduledOccurrence decode(String entryName, String date, JsonNode node)
            throws InvalidRecordException {
        try {
            LocalDate.parse(date);
        } catch (DateTimeParseException e) {
            throw new InvalidRecordException("key", "must end with a date", e);
        }
        // The state is accepted in upper or lower case.
        ScheduledOccurrence.State state;
        try {
            state =
                    ScheduledOccurrence.State.valueOf(
                            node.path("st").asText().toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw new InvalidRecordException("st", "unknown state " + node.path("st"), e);
        }
        List<JobSelector> selectors = new ArrayList<>();
        for (JsonNode selectorNode : node.path("cov")) {
            selectors.add(PriorityClassesCodec.decodeSelector(selectorNode, "cov"));
        }
        ScheduledOccurrence occurrence =
                new ScheduledOccurrence(
                        entryName,
                        date,
                        state,
                        node.path("pub").asLong(),
                        node.path("open").asLong(),
                        node.path("grace").asDouble(),
                        selectors);
        List<String> openJobIds = new ArrayList<>();
        node.path("ids").forEach(id -> openJobIds.add(id.asText()));
        List<Long> leaderTokens = new ArrayList<>();
        node.path("leaders").forEach(token -> leaderTokens.add(token.asLong()));
        occurrence.restore(
                new OccurrenceCounts(
                        node.path("n").asInt(),
                        node.path("done").asInt(),
                        node.path("cancelled").asInt(),
                        node.path("last").asLong(),
                        node.path("peak").asDouble()),
                openJobIds,
                leaderTokens);
        return occurrence;
    }

    /** Encodes the live record. */
    static ObjectNode encode(ScheduledOccurrence occurrence) {
        ObjectNode node = encodeSummary(occurrence);
        ArrayNode selectorNodes = node.putArray("cov");
        occurrence
                .selectors()
                .forEach(
                        selector ->
                                selectorNodes.add(PriorityClassesCodec.encodeSelector(selector)));
        ArrayNode jobIdNodes = node.putArray("ids");
        occurrence.openJobIds().forEach(jobIdNodes::add);
        return node;
    }

    /** Encodes the fields that the live and the final record share. */
    static ObjectNode encodeSummary(ScheduledOccurrence occurrence) {
        OccurrenceCounts counts = occurrence.counts();
        ObjectNode node =
                WireFormat.newMap()
                        .put("st", occurrence.state().wireName())
                        .put("pub", occurrence.publicationMillis())
                        .put("open", occurrence.opensAtMillis())
                        .put("grace", occurrence.graceSeconds())
                        .put("n", counts.jobs())
                        .put("done", counts.done())
                        .put("cancelled", counts.cancelled())
                        .put("last", counts.lastDoneMillis())
                        .put("peak", counts.peakCpus());
        ArrayNode tokenNodes = node.putArray("leaders");
        occurrence.leaderTokens().forEach(tokenNodes::add);
        return node;
    }

    /** Encodes the one final record, for the ledger. */
    static ObjectNode encodeFinal(ScheduledOccurrence occurrence, long closedAtMillis) {
        return encodeSummary(occurrence)
                .put("closed", closedAtMillis)
                .put("unfinished", occurrence.openJobIds().size());
    }
}
