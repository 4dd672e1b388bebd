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

    /** A restarted controller's statuses were ignored when its new lease had a smaller ID. */
    @ParameterizedTest(
            name = "lease {1}, sequence {2} after lease 5, sequence 8, on record {0}: {3}")
    @CsvSource({
        "5, 5, 9, true",
        "5, 5, 8, false",
        "5, 5, 7, false",
        "5, 6, 99, false",
        "5, 4, 99, false",
        "5, 0, 99, false",
        "6, 6, 1, true",
        "4, 4, 1, true",
        "4, 5, 9, false",
        "0, 5, 9, false",
        "0, 0, 9, false"
    })
    void isNewestByTheLeaseOnRecord(
            long recordedLeaseId, long leaseId, long sequence, boolean expected) {
        PeerStatus previous = status(0, 5, 8);

        assertEquals(expected, status(0, leaseId, sequence).isNewest(previous, recordedLeaseId));
    }

    @ParameterizedTest
    @CsvSource({"5, true", "4, false", "0, false"})
    void firstStatusMustBeOfTheLeaseOnRecord(long leaseId, boolean expected) {
        assertEquals(expected, status(0, leaseId, 1).isNewest(null, 5));
    }

    @ParameterizedTest(name = "after {0} ms short of its validity: {1}")
    @CsvSource({"1, true", "0, false", "-1, false"})
    void isValidForALimitedTime(long millisLeft, boolean expected) {
        long now = 10_000 + PeerConstants.STATUS_VALID_MILLIS - millisLeft;

        assertEquals(expected, status(10_000, 1, 1).isValidAt(now));
    }
}
