package io.quincelead.cluster;

/** A stored record that this version can't decode; whoever reads it leaves the record alone. */
final class MalformedRecordException extends Exception {
    private static final long serialVersionUID = 1L;

    /** The message says what was read and, without a cause, what is wrong with it. */
    MalformedRecordException(String message) {
        super(message);
    }

    /** The message says what was read, the cause what is wrong with it. */
    MalformedRecordException(String message, Throwable cause) {
        super(message, cause);
    }
}
