package io.quincelead.transport;

import java.io.IOException;

/** A value that can't be encoded, because one of its texts isn't well-formed Unicode. */
public final class EncodingException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    EncodingException(IOException cause) {
        super(cause.getMessage(), cause);
    }
}
