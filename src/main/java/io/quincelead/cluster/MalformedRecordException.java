package io.quincelead.cluster;

/** A stored record that this version can't decode; whoever reads it leaves the record alone. */
final class MalformedRecordException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Both the message, which says what was read, and the cause are required. */
    MalformedRecordException(String message, Throwable cause) {
        super(message, cause);
    }
}
