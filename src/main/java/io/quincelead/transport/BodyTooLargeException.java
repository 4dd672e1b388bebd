package io.quincelead.transport;

import java.io.IOException;

/** A body is longer than its reader accepts. */
final class BodyTooLargeException extends IOException {
    private static final long serialVersionUID = 1L;

    BodyTooLargeException(int maxBytes) {
        super("the body is longer than " + maxBytes + " bytes");
    }
}
