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

/** The stored form of occurrences: live records and their last ones in the ledger. */
final class OccurrenceCodec {
    private OccurrenceCodec() {}

    /**
     * Reads a live record or one of the ledger.
     *
     * @throws InvalidRecordException if its state isn't known or a selector can't be read
     */
    static ScheduledOccurrence decode(String entryName, String date, JsonNode node)
            throws InvalidRecordException {
        try {
            LocalDate.parse(date);
        } catch (DateTimeParseException e) {
            throw new InvalidRecordException("key", "must end with a date", e);
        }
        // Any case is accepted.
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

    /** The live record. */
    static ObjectNode encode(ScheduledOccurrence occurrence) {
        ObjectNode node = encodeSummary(occurrence);
        ArrayNode selectorNodes = node.putArray("cov");
        occurrence
                .selectors()
                .forEach(s -> selectorNodes.add(PriorityClassesCodec.encodeSelector(s)));
        ArrayNode jobIdNodes = node.putArray("ids");
        occurrence.openJobIds().forEach(jobIdNodes::add);
        return node;
    }

    /** The record's part that the ledger keeps. */
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

    /** The one final record, in the ledger. */
    static ObjectNode encodeFinal(ScheduledOccurrence occurrence, long closedAtMillis) {
        return encodeSummary(occurrence)
                .put("closed", closedAtMillis)
                .put("unfinished", occurrence.openJobIds().size());
    }
}
