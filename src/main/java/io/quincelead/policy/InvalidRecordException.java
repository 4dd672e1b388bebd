package io.quincelead.policy;

/** An operators' record that can't be used: the message names the field and what is allowed. */
public final class InvalidRecordException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidRecordException(String path, String requirement) {
        this(path, requirement, null);
    }

    InvalidRecordException(String path, String requirement, Throwable cause) {
        super(path + ": " + requirement, cause, false, false);
    }
}
