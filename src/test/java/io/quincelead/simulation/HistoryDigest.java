package io.quincelead.simulation;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * SHA-256 over all calls and responses of one simulation, in the order of simulated events. Equal
 * digests mean byte-for-byte equal behaviour.
 */
final class HistoryDigest {
    private final MessageDigest sha256;
    private long messageCount;

    HistoryDigest() {
        try {
            sha256 = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    void recordCall(
            long nowMillis, String from, String to, String method, String path, byte[] body) {
        add(nowMillis + from + to + method + path, body);
    }

    /** Adds a response as its caller sees it; status 0 is a timeout. */
    void recordResponse(long nowMillis, int status, int retryAfterSeconds, byte[] body) {
        add(nowMillis + " " + status + retryAfterSeconds, body);
    }

    private void add(String head, byte[] body) {
        messageCount++;
        sha256.update(head.getBytes(StandardCharsets.UTF_8));
        if (body != null) {
            sha256.update(body);
        }
    }

    /**
     * Returns the number of calls and responses, and the digest in hexadecimal; nothing may be
     * recorded afterwards.
     */
    String finish() {
        return messageCount + "\t" + HexFormat.of().formatHex(sha256.digest());
    }
}
