package io.quincelead.cluster;

/** Thrown for a stored record that this version can't decode; the reader must not overwrite it. */
final class MalformedRecordException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception whose message names the record or describes the defect. */
    MalformedRecordException(String message) {
        super(message);
    }

    /** Creates an exception whose message names the record or field; the cause is the defect. */
    MalformedRecordException(String message, Throwable cause) {
        super(message, cause);
    }
}
