package io.quincelead.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.quincelead.config.constants.PeerConstants;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PeerStatusTest {
    private static PeerStatus status(long receivedAtMillis, long leaseId, long sequence) {
        return new PeerStatus(receivedAtMillis, leaseId, sequence, Set.of(), Set.of());
    }

    @ParameterizedTest(name = "lease {0}, sequence {1} after lease 5, sequence 8: {2}")
    @CsvSource({
        "5, 9, true",
        "5, 8, false",
        "5, 7, false",
        "6, 1, true",
        "4, 99, false",
        "0, 1, true"
    })
    void supersedesEarlierStatus(long leaseId, long sequence, boolean expected) {
        PeerStatus previous = status(0, 5, 8);

        assertEquals(expected, status(0, leaseId, sequence).supersedes(previous));
    }

    @ParameterizedTest(name = "after {0} ms short of its validity: {1}")
    @CsvSource({"1, true", "0, false", "-1, false"})
    void isValidForALimitedTime(long millisLeft, boolean expected) {
        long now = 10_000 + PeerConstants.STATUS_VALID_MILLIS - millisLeft;

        assertEquals(expected, status(10_000, 1, 1).isValidAt(now));
    }
}
